/**
 * Finds the lower-priority tasks to evict from a machine, and what their eviction costs. Preemption for gangs and
 * preemption for replicas both use it.
 */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import { fitsInto } from '../resource_amounts.js';
import type { Placement } from '../state/placement.js';
import type { ClusterState } from './cluster_state.js';
import type { Eviction } from './decisions.js';
import { isFeasibleMachine } from './placement_constraints.js';

/** Time for which the capacity freed by a preemption stays reserved for the job, in milliseconds. */
export const PREEMPTION_RESERVATION_MS = 6000;

/** Number of GPUs that a task without GPUs counts as in the cost of an eviction. */
const CPU_WORK_GPU_EQUIVALENT = 0.1;

/** A task that may be evicted. */
interface Victim {
  readonly placement: Placement;
  /** Work that its eviction would lose, in GPU seconds. */
  readonly lostGpuSeconds: number;
}

/**
 * Returns an eviction after which one task of the job fits on the machine, or null if there is none. To keep its cost
 * low, tasks are selected in ascending order of lost work until the task fits.
 */
export function findEviction(cluster: ClusterState, job: Job, machine: Machine): Eviction | null {
  if (!mayEvictOn(cluster, job, machine)) return null;
  const { spec } = job;
  const now = cluster.context.now.monotonic;
  let { cpus, gpus, memoryGb } = machine.allocations.free;
  const fits = (): boolean => fitsInto({ cpus, gpus, memoryGb }, spec);
  const pullSeconds = machine.images.remainingPullSeconds(spec.image, spec.imageGb, now);
  let cost = pullSeconds * gpuEquivalent(spec.gpus);
  const victims: Placement[] = [];
  for (const { placement, lostGpuSeconds } of lowerPriorityTasks(cluster, job, machine)) {
    if (fits()) break;
    const freed = placement.job.spec;
    victims.push(placement);
    cost += lostGpuSeconds;
    cpus += freed.cpus;
    gpus += freed.gpus;
    memoryGb += freed.memoryGb;
  }
  return fits() ? { machine, victims, cost } : null;
}

function mayEvictOn({ context, placements }: ClusterState, job: Job, machine: Machine): boolean {
  const now = context.now.monotonic;
  if (!machine.isSchedulable(now, context.settings.workers.heartbeatIntervalMs)) return false;
  if (!isFeasibleMachine(job, machine) || machine.isReservedForOther(job.id, now)) return false;
  // The capacity of tasks that are already being stopped becomes free without an eviction, and is not intended for this
  // job.
  for (const { pendingStop } of placements.onMachine(machine).values()) if (pendingStop !== null) return false;
  return true;
}

/** Returns the array tasks of lower priority on a machine, in ascending order of lost work. */
function lowerPriorityTasks({ context, placements }: ClusterState, job: Job, machine: Machine): Victim[] {
  const now = context.now.monotonic;
  const victims: Victim[] = [];
  for (const placement of placements.onMachine(machine).values()) {
    const { spec } = placement.job;
    if (spec.kind !== 'array' || spec.priorityLevel >= job.spec.priorityLevel) continue;
    const ranSeconds = placement.runningSince === null ? 0 : (now - placement.runningSince) / 1000;
    victims.push({ placement, lostGpuSeconds: ranSeconds * gpuEquivalent(spec.gpus) });
  }
  return victims.sort((first, second) => first.lostGpuSeconds - second.lostGpuSeconds);
}

const gpuEquivalent = (gpus: number): number => Math.max(gpus, CPU_WORK_GPU_EQUIVALENT);
