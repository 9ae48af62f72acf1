import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { Attempt, MachineType, ZoneName } from '../types.js';

/** What jobs allow and machines have room for: asked by the plan, by services and by all that moves work. */

/** Whether a job allows machines of a type in a zone, and one of its tasks fits an empty one. */
export function isFeasibleType({ spec }: Job, type: MachineType, zone: ZoneName): boolean {
  return (
    (spec.allowedMachineTypes === null || spec.allowedMachineTypes.includes(type.name)) &&
    (spec.zone === null || spec.zone === zone) &&
    spec.cpus <= type.cpus &&
    spec.gpus <= type.gpus &&
    spec.memoryGb <= type.memoryGb
  );
}

/** Whether a job asks for no GPUs and fits a type without any. */
export function fitsTypesWithoutGpus({ machineTypes }: Cluster, job: Job): boolean {
  if (job.spec.gpus > 0) return false;
  for (const type of machineTypes.values()) {
    if (type.gpus === 0 && type.zones.some((zone) => isFeasibleType(job, type, zone))) return true;
  }
  return false;
}

/** How many more tasks of a spread job each zone may take; null: no such limit. */
export function zoneAllowance({ context }: Cluster, job: Job): Map<ZoneName, number> | null {
  if (!job.spec.zoneSpread) return null;
  const counts = job.taskCountByZone();
  return new Map(
    context.settings.zones.map((zone) => [zone, Math.max(0, job.maxTasksPerZone - (counts.get(zone) ?? 0))]),
  );
}

/** Whether a job allows the machine: its type, its zone and its kind. */
export function isFeasibleMachine(job: Job, machine: Machine): boolean {
  return isFeasibleType(job, machine.type, machine.zone) && (job.spec.toleratesSpot || !machine.spot);
}

/** Whether a task of the job could go to this machine if its other tasks were not there. */
export function isFeasibleNow({ context }: Cluster, job: Job, machine: Machine): boolean {
  return (
    machine.isSchedulable(context.now.monotonic, context.settings.workers.heartbeatIntervalMs) &&
    machine.hasFreeCapacityFor(job.spec) &&
    isFeasibleMachine(job, machine)
  );
}

/** Whether one more task of the job may go to this machine, beside its other tasks and within its team's limit. */
export function canPlaceTask(cluster: Cluster, job: Job, machine: Machine): boolean {
  if (!isFeasibleNow(cluster, job, machine) || cluster.quotas.remainingTasks(job.spec) < 1) return false;
  if (job.spec.singleZone && !runsOnlyInZone(job, machine.zone)) return false;
  return !job.spec.zoneSpread || (job.taskCountByZone().get(machine.zone) ?? 0) < job.maxTasksPerZone;
}

/** Whether all tasks of the job that have a place are in the zone. */
export function runsOnlyInZone(job: Job, zone: ZoneName): boolean {
  for (const { machine } of job.placements.values()) if (machine.zone !== zone) return false;
  return true;
}

/** Gives the task its place: its start goes out once the job's first start is on record. */
export function placeTask(cluster: Cluster, job: Job, index: number, machine: Machine, attempt: Attempt): void {
  cluster.placements.add({ job, index, machine, attempt, phase: 'planned' });
  if (job.startTerm === 0)
    job.recordFirstStart(cluster.term, machine.zone, cluster.previousTerms.recordsStartZones(job));
  job.startZones?.add(machine.zone);
}
