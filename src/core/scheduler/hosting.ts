import type { Job, Placement } from '../jobs/job.js';
import type { Cluster } from '../leadership/cluster.js';
import type { Machine } from '../machines/machine.js';
import type { MachineType, Resources, TypeName, ZoneName } from '../types.js';

/* What a job's wishes and the room on machines allow: asked by the plan, by services and by all that moves work. */

export function couldHost(job: Job, type: MachineType, zone: ZoneName): boolean {
  const { spec } = job;
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || spec.zone === zone) &&
    spec.cpus <= type.cpus &&
    spec.gpus <= type.gpus &&
    spec.memGb <= type.memGb
  );
}

/** Whether one more task of the job may go to this machine, by its job's wishes and the room really free. */
export function mayHost(cluster: Cluster, job: Job, machine: Machine, instead = false): boolean {
  const { spec } = job;
  if (
    !machine.isSchedulable(cluster.ctx.now.steady, cluster.ctx.settings.workers.reportMs) ||
    !machine.hasRoomFor(spec) ||
    (!instead && cluster.quotas.room(spec) < 1)
  )
    return false;
  if (!couldHost(job, machine.type, machine.zone) || (machine.spot && !spec.spotOk)) return false;
  // `instead`: asked for a place that it would take once it has left all of its present ones.
  if (instead) return true;
  if (spec.sameZone) for (const p of job.placements.values()) if (p.machine.zone !== machine.zone) return false;
  return !spec.spread || (job.zoneCounts().get(machine.zone) ?? 0) < job.zoneLimit;
}

/** Gives the task its place: it is sent once the job's first start is on record. */
export function placeTask(
  cluster: Cluster,
  job: Job,
  index: number,
  machine: Machine,
  attempt: Placement['attempt'],
): void {
  cluster.place(job, index, machine, attempt, 'planned');
  if (job.startTerm === 0) {
    job.startTerm = cluster.term;
    job.startZone = machine.zone;
  }
}

/** How much longer than it should a job has waited that has not begun; 0 or less: not too long. */
export function overdueS(cluster: Cluster, job: Job): number {
  if (job.startTerm !== 0) return 0;
  const { ctx } = cluster;
  return (ctx.now.wall - job.submittedAt) / 1000 - ctx.tuning.scheduler.overdue_after_s;
}

/** For each type with GPUs what GPU work there is now could use beside them, if it had all of them. */
export type GpuWork = ReadonlyMap<TypeName, { readonly cpus: number; readonly memGb: number }>;

/** Once for each type and shape of task, not for each machine: hundreds of machines meet hundreds of shapes. */
export function gpuWorkOf(cluster: Cluster): GpuWork {
  const shapes = new Map<string, Resources>();
  for (const { spec, state } of cluster.activeJobs) {
    if (spec.gpus <= 0 || state !== 'accepted') continue;
    const key = `${spec.gpus}|${spec.cpus}|${spec.memGb}`;
    if (!shapes.has(key)) shapes.set(key, spec);
  }
  const found = new Map<TypeName, { cpus: number; memGb: number }>();
  for (const type of cluster.types.values()) {
    const most = { cpus: 0, memGb: 0 };
    for (const resources of shapes.values()) {
      if (resources.gpus > type.gpus) continue;
      const n = Math.floor(type.gpus / resources.gpus + 1e-6);
      most.cpus = Math.max(most.cpus, Math.min(type.cpus, n * resources.cpus));
      most.memGb = Math.max(most.memGb, Math.min(type.memGb, n * resources.memGb));
    }
    found.set(type.name, most);
  }
  return found;
}

/**
 * On machines with GPUs, the cores and memory that GPU work has no use for even when it has all the GPUs. Work without
 * GPUs that took more would keep GPUs idle: a gang that needs whole machines would wait for the last small task on each.
 */
export function spareRoom(machine: Machine, gpuWork: GpuWork): { cpus: number; memGb: number } {
  const { type } = machine;
  if (type.gpus === 0) return { cpus: Number.POSITIVE_INFINITY, memGb: Number.POSITIVE_INFINITY };
  const taken = gpuWork.get(type.name) ?? { cpus: 0, memGb: 0 };
  let cpus = type.cpus - taken.cpus;
  let memGb = type.memGb - taken.memGb;
  for (const { job } of machine.placements.values()) {
    if (job.spec.gpus > 0) continue;
    cpus -= job.spec.cpus;
    memGb -= job.spec.memGb;
  }
  return { cpus, memGb };
}
