import type { Cluster } from '../leadership/cluster.js';
import type { Machine } from '../machines/machine.js';
import { countFitting } from '../resource_amounts.js';
import type { MachineType, MachineTypeName, Resources } from '../types.js';

/** Cores and memory beside GPUs. */
export interface BesideGpus {
  readonly cpus: number;
  readonly memGb: number;
}

/** For each type with GPUs, what the GPU work there is now could use beside them if it had all of them. */
export type GpuDemand = ReadonlyMap<MachineTypeName, BesideGpus>;

const UNLIMITED: BesideGpus = { cpus: Number.POSITIVE_INFINITY, memGb: Number.POSITIVE_INFINITY };
const NOTHING: BesideGpus = { cpus: 0, memGb: 0 };

/** Once for each type and shape of task, not for each machine: hundreds of machines meet hundreds of shapes. */
export function gpuDemand(cluster: Cluster): GpuDemand {
  const shapes = gpuTaskShapes(cluster);
  const demand = new Map<MachineTypeName, BesideGpus>();
  for (const type of cluster.machineTypes.values()) demand.set(type.name, demandOn(type, shapes));
  return demand;
}

function gpuTaskShapes(cluster: Cluster): Resources[] {
  const shapes = new Map<string, Resources>();
  for (const { spec, state } of cluster.activeJobs) {
    if (spec.gpus <= 0 || state !== 'accepted') continue;
    const key = `${spec.gpus}|${spec.cpus}|${spec.memoryGb}`;
    if (!shapes.has(key)) shapes.set(key, spec);
  }
  return [...shapes.values()];
}

function demandOn(type: MachineType, shapes: readonly Resources[]): BesideGpus {
  let cpus = 0;
  let memGb = 0;
  for (const task of shapes) {
    if (task.gpus > type.gpus) continue;
    const tasks = countFitting(type.gpus, task.gpus);
    cpus = Math.max(cpus, Math.min(type.cpus, tasks * task.cpus));
    memGb = Math.max(memGb, Math.min(type.memoryGb, tasks * task.memoryGb));
  }
  return { cpus, memGb };
}

/** What an empty machine of the type leaves beside all that GPU work could use. */
export function spareOfType(type: MachineType, demand: GpuDemand): BesideGpus {
  const reserved = demand.get(type.name) ?? NOTHING;
  return { cpus: type.cpus - reserved.cpus, memGb: type.memoryGb - reserved.memGb };
}

/**
 * On machines with GPUs, the cores and memory that GPU work has no use for even when it has all the GPUs. Work without
 * GPUs that took more would keep GPUs idle: a gang that needs whole machines would wait for the last small task on each.
 */
export function spareRoom(machine: Machine, demand: GpuDemand): BesideGpus {
  const { type } = machine;
  if (type.gpus === 0) return UNLIMITED;
  let { cpus, memGb } = spareOfType(type, demand);
  for (const { job } of machine.placements.values()) {
    if (job.spec.gpus > 0) continue;
    cpus -= job.spec.cpus;
    memGb -= job.spec.memoryGb;
  }
  return { cpus, memGb };
}
