/** Candidates: which machines may take tasks of a job, and what each of them offers it. */
import type { MachineType } from '../types.js';
import { elementAt, fitsNow, fitsType, lacksSpareCapacity, machineShare, slackAfter } from './capacity_timeline.js';
import type { PlanJob, PlanMachine } from './plan_types.js';
import type { PlacementPenalties } from './policy.js';

/** Starts are preferred in steps of half a second: those that close count as one, and best fit decides. */
const DELAY_RANKS_PER_SECOND = 2;
/** A cached image keeps a machine for jobs that need so much more of it, as a share of the machine. */
const CACHED_IMAGE_SHARE_MARGIN = 0.01;

/** Up to so many machines all are considered; of more, so many with free capacity now at least. */
const MAX_MACHINES_ALL_CONSIDERED = 800;
const MIN_MACHINES_CONSIDERED = 300;

/** A machine that may take tasks of a job, and its present offer. */
export interface Candidate {
  readonly machineIndex: number;
  /** As the plan in progress has left it. */
  machine: PlanMachine;
  readonly imagePullSeconds: number;
  /** By how much later a start there counts. */
  readonly penaltySeconds: number;
  /** The step from which it takes `taskCount` tasks, 0 where it takes none; they start at `startSeconds`. */
  step: number;
  taskCount: number;
  startSeconds: number;
  /** Start time, penalty and doubt in steps of half a second; less is better. Of equals the least slack is taken. */
  delayRank: number;
  /** What one more task would leave of its scarcest resource, as a share of the machine. */
  slack: number;
}

/** Returns the step of half a second that a delay falls into. */
export const delayRankOf = (seconds: number): number => Math.round(DELAY_RANKS_PER_SECOND * seconds);

/** Returns whether the first offer is better; no two are equal, so that plans repeat. */
export function precedes(first: Candidate, second: Candidate): boolean {
  if (first.delayRank !== second.delayRank) return first.delayRank < second.delayRank;
  if (first.slack !== second.slack) return first.slack < second.slack;
  return first.machineIndex < second.machineIndex;
}

/** `share`: the part of the machine that one task takes. */
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

/** Whether the job may use the machine and what it can spare; whether it fits the type is not asked. */
const isEligible = (job: PlanJob, machine: PlanMachine): boolean =>
  (job.toleratesSpot || !machine.spot) &&
  !job.excludedMachines?.has(machine.index) &&
  !lacksSpareCapacity(machine, job);

/**
 * Returns, of very many machines, enough that have free capacity now, those first that hold the image; all of them where
 * there are fewer. With thousands of machines a round would otherwise cost all machines times all jobs that it plans.
 */
export function machinesWithFreeCapacityNow(
  job: PlanJob,
  machines: readonly PlanMachine[],
  machineIndices: readonly number[],
): readonly number[] {
  if (machineIndices.length <= MAX_MACHINES_ALL_CONSIDERED) return machineIndices;
  const enough = Math.max(MIN_MACHINES_CONSIDERED, job.tasks);
  const holders: number[] = [];
  const others: number[] = [];
  for (const machineIndex of machineIndices) {
    const machine = machines[machineIndex] as PlanMachine;
    if (elementAt(machine.stepTimesSeconds, 0) > 0 || !fitsNow(machine, job)) continue;
    // What `findCandidates` would leave out must not count as enough.
    if (!isEligible(job, machine) || !fitsType(job, machine.type)) continue;
    if (machine.imagePullSeconds(job.image, job.imageGb) === 0) holders.push(machineIndex);
    else if (others.length < enough) others.push(machineIndex);
    if (holders.length >= enough) return holders;
  }
  return holders.length + others.length >= enough ? [...holders, ...others] : machineIndices;
}

/** Returns the machines among those with these indices that may take tasks of the job at some time. */
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
    // Most machines with GPUs have nothing to spare: looking no further there is a third of the cost of small work.
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

/** By type, the part of a machine that one task takes; negative where it doesn't fit. Each type is reckoned once. */
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

/** Records that the candidate takes so many tasks from a step on, and how good an offer that is. */
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
