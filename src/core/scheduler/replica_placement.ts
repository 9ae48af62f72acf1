/** Selects the machine on which a replica of a service is placed. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import { delayRankOf } from './candidates.js';
import type { ClusterState } from './cluster_state.js';
import { type GpuDemand, gpuDemand, spareCapacity } from './spare_capacity.js';
import { hasZoneAllowance, type ZoneAllowance } from './zone_allowance.js';

/** Penalties for less suitable machines. A replica accepts this many seconds of start delay to avoid such a machine. */
interface ReplicaPenalties {
  /** For each other replica of the service on the machine. */
  readonly sharedMachineSeconds: number;
  /**
   * For a machine with GPUs if the job asks for none. Other work may need the machine's spare cores, and the replica
   * would keep the machine from being terminated.
   */
  readonly gpuMachineSeconds: number;
  /** For a spot machine, multiplied by the probability that it is lost within `spotLossHorizonSeconds`. */
  readonly spotLossSeconds: number;
  readonly spotLossHorizonSeconds: number;
}

const PENALTIES: ReplicaPenalties = {
  sharedMachineSeconds: 8,
  gpuMachineSeconds: 12,
  spotLossSeconds: 400,
  spotLossHorizonSeconds: 60,
};
/** Time during which a waiting replica may not use the cores that are reserved for GPU work, in milliseconds. */
const AVOID_GPU_MACHINES_MS = 20_000;

/**
 * Returns whether the machine is available to a replica now: it is not reserved for another job, the zone spread allows
 * its zone, and the job does not avoid it because of failures there. Capacity is not checked.
 */
export function isAvailableTo(cluster: ClusterState, job: Job, machine: Machine, allowance: ZoneAllowance): boolean {
  const now = cluster.context.now.monotonic;
  if (machine.isReservedForOther(job.id, now)) return false;
  return hasZoneAllowance(allowance, machine.zone, job) && !job.failureHistory.avoids(machine.id, now);
}

/** Returns whether the machine has GPUs although the job asks for none. */
export const leavesGpusUnused = (job: Job, machine: Machine): boolean => job.spec.gpus === 0 && machine.type.gpus > 0;

/**
 * Returns the machine, among those that `mayUse` allows, on which a replica starts soonest, or null if there is none.
 * Of machines with equal start delay, the one with the least free capacity is returned.
 */
export function bestFitMachine(
  cluster: ClusterState,
  job: Job,
  allowance: ZoneAllowance,
  mayUse: (machine: Machine) => boolean,
): Machine | null {
  let best: Machine | null = null;
  let bestRank = Number.POSITIVE_INFINITY;
  let bestSlack = Number.POSITIVE_INFINITY;
  for (const machine of cluster.machines.values()) {
    if (!isAvailableTo(cluster, job, machine, allowance) || !mayUse(machine)) continue;
    const rank = delayRankOf(startDelaySeconds(cluster, job, machine));
    const slack = scarcestFreeShare(machine);
    if (rank > bestRank || (rank === bestRank && slack >= bestSlack)) continue;
    best = machine;
    bestRank = rank;
    bestSlack = slack;
  }
  return best;
}

/**
 * Returns a predicate that tells whether a replica may use a machine's cores, in case the machine has GPUs. A job
 * without GPUs may use only the cores and memory that GPU work can't use. Once a replica of the service has waited for
 * `AVOID_GPU_MACHINES_MS`, the service may use them all (scenario service-takes-gpu-cores.txt).
 */
export function gpuMachineCheck(cluster: ClusterState, job: Job): (machine: Machine) => boolean {
  const { replicaPendingSince, spec } = job;
  const now = cluster.context.now.monotonic;
  if (replicaPendingSince !== null && now - replicaPendingSince >= AVOID_GPU_MACHINES_MS) return () => true;
  let demand: GpuDemand | null = null;
  return (machine) => {
    if (!leavesGpusUnused(job, machine)) return true;
    demand ??= gpuDemand(cluster);
    const spare = spareCapacity(machine, demand);
    return spare.cpus >= spec.cpus && spare.memoryGb >= spec.memoryGb;
  };
}

/** Returns the seconds until a replica would start on the machine, including the machine's penalties. */
function startDelaySeconds(
  { context, placements, spotInterruptions }: ClusterState,
  job: Job,
  machine: Machine,
): number {
  const { image, imageGb } = job.spec;
  const pullSeconds = machine.images.remainingPullSeconds(image, imageGb, context.now.monotonic);
  let delaySeconds = pullSeconds + PENALTIES.sharedMachineSeconds * placements.taskCountOn(job, machine);
  if (leavesGpusUnused(job, machine)) delaySeconds += PENALTIES.gpuMachineSeconds;
  if (machine.spot) {
    const lossChance = 1 - Math.exp(-PENALTIES.spotLossHorizonSeconds * spotInterruptions.perSecond);
    delaySeconds += PENALTIES.spotLossSeconds * lossChance;
  }
  return delaySeconds;
}

/** Returns the free share of the machine's scarcest resource, 0 to 1. */
function scarcestFreeShare({ type, allocations }: Machine): number {
  const freeShare = (used: number, capacity: number): number => (capacity > 0 ? (capacity - used) / capacity : 1);
  return Math.min(
    freeShare(allocations.usedCpus, type.cpus),
    freeShare(allocations.usedGpus, type.gpus),
    freeShare(allocations.usedMemoryGb, type.memoryGb),
  );
}
