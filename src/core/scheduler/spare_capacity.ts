/** Computes spare capacity, which is what jobs without GPUs may use of machines with GPUs. */
import type { Machine } from '../machines/machine.js';
import { countFitting } from '../resource_amounts.js';
import type { MachineType, MachineTypeName, Resources } from '../types.js';
import type { ClusterState } from './cluster_state.js';

/** Amounts of cores and memory, without GPUs. */
export interface CpusAndMemory {
  readonly cpus: number;
  readonly memoryGb: number;
}

/**
 * For each machine type, the cores and memory that the unfinished GPU jobs could use on one machine if they had all of
 * its GPUs.
 */
export type GpuDemand = ReadonlyMap<MachineTypeName, CpusAndMemory>;

const UNLIMITED: CpusAndMemory = { cpus: Number.POSITIVE_INFINITY, memoryGb: Number.POSITIVE_INFINITY };
const NO_CAPACITY: CpusAndMemory = { cpus: 0, memoryGb: 0 };

/**
 * Returns the demand by machine type. It is computed once for each type and distinct task size, because there may be
 * hundreds of machines and hundreds of task sizes.
 */
export function gpuDemand(cluster: ClusterState): GpuDemand {
  const sizes = gpuTaskSizes(cluster);
  const demand = new Map<MachineTypeName, CpusAndMemory>();
  for (const type of cluster.machineTypes.values()) demand.set(type.name, demandOn(type, sizes));
  return demand;
}

function gpuTaskSizes(cluster: ClusterState): Resources[] {
  const sizes = new Map<string, Resources>();
  for (const { spec, state } of cluster.jobs.active) {
    if (spec.gpus <= 0 || state !== 'accepted') continue;
    const key = `${spec.gpus}|${spec.cpus}|${spec.memoryGb}`;
    if (!sizes.has(key)) sizes.set(key, spec);
  }
  return [...sizes.values()];
}

function demandOn(type: MachineType, sizes: readonly Resources[]): CpusAndMemory {
  let cpus = 0;
  let memoryGb = 0;
  for (const task of sizes) {
    if (task.gpus > type.gpus) continue;
    const tasks = countFitting(type.gpus, task.gpus);
    cpus = Math.max(cpus, Math.min(type.cpus, tasks * task.cpus));
    memoryGb = Math.max(memoryGb, Math.min(type.memoryGb, tasks * task.memoryGb));
  }
  return { cpus, memoryGb };
}

/** Returns the cores and memory of an empty machine of the type that GPU work could not use. */
export function spareCapacityOfType(type: MachineType, demand: GpuDemand): CpusAndMemory {
  const reserved = demand.get(type.name) ?? NO_CAPACITY;
  return { cpus: type.cpus - reserved.cpus, memoryGb: type.memoryGb - reserved.memoryGb };
}

/**
 * Returns the cores and memory that GPU work could not use even with all GPUs of the machine, minus what tasks without
 * GPUs already use. The result is unlimited for a machine without GPUs. If jobs without GPUs used more, GPUs would stay
 * idle. A gang that needs whole machines would wait for the last small task on each of them.
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
