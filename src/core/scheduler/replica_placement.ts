/** Which machine a replica of a service goes to. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import { delayRankOf } from './candidates.js';
import type { ClusterState } from './cluster_state.js';
import { type GpuDemand, gpuDemand, spareCapacity } from './spare_capacity.js';
import { hasZoneAllowance, type ZoneAllowance } from './zone_allowance.js';

/** Seconds of start time that a replica would rather lose than take a machine of some kind. */
interface ReplicaPenalties {
  /** For a machine that has another replica of its service, for each of them. */
  readonly sharedMachineSeconds: number;
  /** For a machine with GPUs, whose spare cores other work may want and which it would keep from being returned. */
  readonly gpuMachineSeconds: number;
  /** For a spot instance that is certain to be lost within `spotLossHorizonSeconds`; less by the chance of that. */
  readonly spotLossSeconds: number;
  readonly spotLossHorizonSeconds: number;
}

const PENALTIES: ReplicaPenalties = {
  sharedMachineSeconds: 8,
  gpuMachineSeconds: 12,
  spotLossSeconds: 400,
  spotLossHorizonSeconds: 60,
};
/** A replica leaves the cores that are kept for GPU work alone for so long. */
const AVOID_GPU_MACHINES_MS = 20_000;

/**
 * Returns whether a machine may take a replica now, as far as other claims to it go: reservations, the zone spread, and
 * failures of the job there.
 */
export function isAvailableTo(cluster: ClusterState, job: Job, machine: Machine, allowance: ZoneAllowance): boolean {
  const now = cluster.context.now.monotonic;
  if (machine.isReservedForOther(job.id, now)) return false;
  return hasZoneAllowance(allowance, machine.zone, job) && !job.failureHistory.avoids(machine.id, now);
}

/** Returns whether the machine has GPUs that the job doesn't ask for. */
export const leavesGpusUnused = (job: Job, machine: Machine): boolean => job.spec.gpus === 0 && machine.type.gpus > 0;

/** Returns the machine, among those that `mayUse` allows, on which a replica starts soonest; null if there is none. */
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
 * Returns a check of whether a replica may use a machine's cores if the machine has GPUs: those that GPU work has no use
 * for, and any once it has waited for long (service-takes-gpu-cores.txt).
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

/** Seconds until a replica would start there, with the penalties of the machine. */
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

/** The part of its scarcest resource that a machine has free, 0 to 1. */
function scarcestFreeShare({ type, allocations }: Machine): number {
  const freeShare = (used: number, capacity: number): number => (capacity > 0 ? (capacity - used) / capacity : 1);
  return Math.min(
    freeShare(allocations.usedCpus, type.cpus),
    freeShare(allocations.usedGpus, type.gpus),
    freeShare(allocations.usedMemoryGb, type.memoryGb),
  );
}
