import type { Machine } from '../machines/machine.js';
import { countFitting } from '../resource_amounts.js';
import type { MachineType, MachineTypeName, Resources } from '../types.js';
import type { ClusterState } from './cluster_state.js';

/** Cores and memory beside GPUs. */
export interface CpusAndMemory {
  readonly cpus: number;
  readonly memoryGb: number;
}

/** For each type with GPUs, what the GPU work there is now could use beside them if it had all of them. */
export type GpuDemand = ReadonlyMap<MachineTypeName, CpusAndMemory>;

const UNLIMITED: CpusAndMemory = { cpus: Number.POSITIVE_INFINITY, memoryGb: Number.POSITIVE_INFINITY };
const NO_CAPACITY: CpusAndMemory = { cpus: 0, memoryGb: 0 };

/** Once for each type and shape of task, not for each machine: hundreds of machines meet hundreds of shapes. */
export function gpuDemand(cluster: ClusterState): GpuDemand {
  const shapes = gpuTaskSizes(cluster);
  const demand = new Map<MachineTypeName, CpusAndMemory>();
  for (const type of cluster.machineTypes.values()) demand.set(type.name, demandOn(type, shapes));
  return demand;
}

function gpuTaskSizes(cluster: ClusterState): Resources[] {
  const shapes = new Map<string, Resources>();
  for (const { spec, state } of cluster.jobs.active) {
    if (spec.gpus <= 0 || state !== 'accepted') continue;
    const key = `${spec.gpus}|${spec.cpus}|${spec.memoryGb}`;
    if (!shapes.has(key)) shapes.set(key, spec);
  }
  return [...shapes.values()];
}

function demandOn(type: MachineType, shapes: readonly Resources[]): CpusAndMemory {
  let cpus = 0;
  let memoryGb = 0;
  for (const task of shapes) {
    if (task.gpus > type.gpus) continue;
    const tasks = countFitting(type.gpus, task.gpus);
    cpus = Math.max(cpus, Math.min(type.cpus, tasks * task.cpus));
    memoryGb = Math.max(memoryGb, Math.min(type.memoryGb, tasks * task.memoryGb));
  }
  return { cpus, memoryGb };
}

/** What an empty machine of the type leaves beside all that GPU work could use. */
export function spareCapacityOfType(type: MachineType, demand: GpuDemand): CpusAndMemory {
  const reserved = demand.get(type.name) ?? NO_CAPACITY;
  return { cpus: type.cpus - reserved.cpus, memoryGb: type.memoryGb - reserved.memoryGb };
}

/**
 * On machines with GPUs, the cores and memory that GPU work has no use for even when it has all the GPUs. Work without
 * GPUs that took more would keep GPUs idle: a gang that needs whole machines would wait for the last small task on each.
 */
export function spareCapacity(machine: Machine, demand: GpuDemand): CpusAndMemory {
  const { type } = machine;
  if (type.gpus === 0) return UNLIMITED;
  let { cpus, memoryGb } = spareCapacityOfType(type, demand);
  for (const spec of machine.allocations.jobSpecs()) {
    if (spec.gpus > 0) continue;
    cpus -= spec.cpus;
    memoryGb -= spec.memoryGb;
  }
  return { cpus, memoryGb };
}
