/** Finds the candidates for a job, which are the machines that may run its tasks, and compares their offers. */
import type { MachineType } from '../types.js';
import { elementAt, fitsNow, fitsType, lacksSpareCapacity, machineShare, slackAfter } from './capacity_timeline.js';
import type { PlanJob, PlanMachine } from './plan_types.js';
import type { PlacementPenalties } from './policy.js';

/**
 * Delays are compared in steps of half a second. Start times that differ by less usually have equal rank, and best fit
 * then decides.
 */
const DELAY_RANKS_PER_SECOND = 2;
/**
 * The penalty for cached images applies only if the largest task that uses one of them needs a larger share of the
 * machine than the job's task, by more than this margin.
 */
const CACHED_IMAGE_SHARE_MARGIN = 0.01;

/**
 * Up to `MAX_MACHINES_ALL_CONSIDERED` machines, all are considered. Beyond that, `MIN_MACHINES_CONSIDERED` machines
 * with free capacity now are sufficient for a job, or one for each of its tasks if that is more.
 */
const MAX_MACHINES_ALL_CONSIDERED = 800;
const MIN_MACHINES_CONSIDERED = 300;

/** A machine that may run tasks of a job, with its current offer. */
export interface Candidate {
  readonly machineIndex: number;
  /** The machine with the capacity that the plan in progress has reserved on it. */
  machine: PlanMachine;
  readonly imagePullSeconds: number;
  /** Placement penalty that is added to the start time when offers are compared. */
  readonly penaltySeconds: number;
  /**
   * The step from which `taskCount` tasks fit on the machine. They start at `startSeconds`, after the image pull.
   * Without an offer, `taskCount` is 0.
   */
  step: number;
  taskCount: number;
  startSeconds: number;
  /**
   * Sum of start time, penalty and discount of future capacity, in steps of half a second. Lower is better. Among equal
   * ranks, the offer with the least slack is preferred.
   */
  delayRank: number;
  /** Share of the machine's scarcest resource that would remain after one more task. */
  slack: number;
}

/** Returns a delay rounded to steps of half a second. */
export const delayRankOf = (seconds: number): number => Math.round(DELAY_RANKS_PER_SECOND * seconds);

/** Returns whether the first offer is better. Ties are broken by machine index, so that plans are deterministic. */
export function isBetterOffer(first: Candidate, second: Candidate): boolean {
  if (first.delayRank !== second.delayRank) return first.delayRank < second.delayRank;
  if (first.slack !== second.slack) return first.slack < second.slack;
  return first.machineIndex < second.machineIndex;
}

/** Returns the placement penalty of a job on a machine. `share` is the part of the machine that one task needs. */
function placementPenaltySeconds(
  job: PlanJob,
  machine: PlanMachine,
  share: number,
  penalties: PlacementPenalties,
): number {
  let seconds = 0;
  if (job.gpus === 0 && machine.type.gpus > 0) seconds += penalties.gpuMachineSeconds;
  if (job.toleratesSpot && !machine.spot) {
    seconds += machine.reservedForGangs && !job.isGang ? penalties.reservedTypeSeconds : penalties.onDemandSeconds;
  }
  if (machine.largestCachedImageShare > share + CACHED_IMAGE_SHARE_MARGIN) seconds += penalties.cachedImageSeconds;
  return seconds * job.penaltyFactor + (machine.spot ? job.spotDelaySeconds : 0);
}

/**
 * Returns whether the job may use the machine: it tolerates spot machines or the machine is not one, the machine is
 * not excluded, and spare capacity is sufficient where the job is limited to it. The machine type is not checked.
 */
const isEligible = (job: PlanJob, machine: PlanMachine): boolean =>
  (job.toleratesSpot || !machine.spot) &&
  !job.excludedMachines?.has(machine.index) &&
  !lacksSpareCapacity(machine, job);

/**
 * Returns the indices of the machines to consider for a job. If there are more than `MAX_MACHINES_ALL_CONSIDERED`,
 * these are a sufficient number with free capacity now, first those that have the image. If there are not enough of
 * these, all are returned. This limits the work of a round with thousands of machines, which would otherwise grow with
 * the product of all machines and all planned jobs.
 */
export function machinesWithFreeCapacityNow(
  job: PlanJob,
  machines: readonly PlanMachine[],
  machineIndices: readonly number[],
): readonly number[] {
  if (machineIndices.length <= MAX_MACHINES_ALL_CONSIDERED) return machineIndices;
  const requiredCount = Math.max(MIN_MACHINES_CONSIDERED, job.tasks);
  const indicesWithImage: number[] = [];
  const indicesWithoutImage: number[] = [];
  for (const machineIndex of machineIndices) {
    const machine = machines[machineIndex] as PlanMachine;
    if (elementAt(machine.stepTimesSeconds, 0) > 0 || !fitsNow(machine, job)) continue;
    // Machines that `findCandidates` would leave out must not count towards the required number.
    if (!isEligible(job, machine) || !fitsType(job, machine.type)) continue;
    if (machine.imagePullSeconds(job.image, job.imageGb) === 0) indicesWithImage.push(machineIndex);
    else if (indicesWithoutImage.length < requiredCount) indicesWithoutImage.push(machineIndex);
    if (indicesWithImage.length >= requiredCount) return indicesWithImage;
  }
  return indicesWithImage.length + indicesWithoutImage.length >= requiredCount
    ? [...indicesWithImage, ...indicesWithoutImage]
    : machineIndices;
}

/** Returns candidates for those of the given machines that may run tasks of the job at some time. */
export function findCandidates(
  job: PlanJob,
  machines: readonly PlanMachine[],
  machineIndices: Iterable<number>,
  penalties: PlacementPenalties,
): Candidate[] {
  const found: Candidate[] = [];
  const taskShareOn = taskShares(job);
  for (const machineIndex of machineIndices) {
    const machine = machines[machineIndex] as PlanMachine;
    // Most machines with GPUs have no spare capacity. Skipping them early avoids a third of the planning cost of small
    // jobs.
    if (!isEligible(job, machine)) continue;
    const share = taskShareOn(machine.type);
    if (share < 0) continue;
    found.push({
      machineIndex,
      machine,
      imagePullSeconds: machine.imagePullSeconds(job.image, job.imageGb),
      penaltySeconds: placementPenaltySeconds(job, machine, share, penalties),
      step: 0,
      taskCount: 0,
      startSeconds: 0,
      delayRank: 0,
      slack: 0,
    });
  }
  return found;
}

/**
 * Returns a function that gives the part of a machine of some type that one task needs, or a negative number if the
 * task does not fit. Each type is computed once.
 */
function taskShares(job: PlanJob): (type: MachineType) => number {
  const shares = new Map<MachineType, number>();
  return (type) => {
    let share = shares.get(type);
    if (share === undefined) {
      share = fitsType(job, type) ? machineShare(job, type) : -1;
      shares.set(type, share);
    }
    return share;
  };
}

/** Records the candidate's offer of `taskCount` tasks from a step on, with its start time, delay rank and slack. */
export function recordOffer(
  candidate: Candidate,
  job: PlanJob,
  step: number,
  taskCount: number,
  futureDiscount: number,
): void {
  const freeAtSeconds = elementAt(candidate.machine.stepTimesSeconds, step);
  candidate.taskCount = taskCount;
  candidate.step = step;
  candidate.startSeconds = freeAtSeconds + candidate.imagePullSeconds;
  candidate.delayRank = delayRankOf(candidate.startSeconds + futureDiscount * freeAtSeconds + candidate.penaltySeconds);
  candidate.slack = slackAfter(candidate.machine, step, job);
}
