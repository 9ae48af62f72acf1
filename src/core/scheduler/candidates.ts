import type { MachineType } from '../types.js';
import { elementAt, fitsNow, fitsType, lacksSpareCapacity, machineShare, slackAfter } from './capacity_timeline.js';
import type { PlanJob, PlanMachine } from './plan_types.js';
import type { PlacementPenalties } from './policy.js';

/** Starts are preferred in steps of half a second: those that close count as one, and best fit decides. */
const DELAY_RANKS_PER_SECOND = 2;
/** A cached image keeps a machine for jobs that need this much more of it. */
const CACHED_IMAGE_SHARE_MARGIN = 0.01;

/** Up to so many machines all are looked at; of more, so many with room now at least. */
const MAX_MACHINES_ALL_CONSIDERED = 800;
const MIN_MACHINES_CONSIDERED = 300;

/** A machine that may take tasks of a job, and the best that it offers now. */
export interface Candidate {
  readonly machineIndex: number;
  machine: PlanMachine;
  readonly imagePullSeconds: number;
  readonly penaltySeconds: number;
  /** The step from which it takes `count` tasks; they start at `startS`. */
  step: number;
  taskCount: number;
  startSeconds: number;
  /** Preference by start time, penalty and doubt; less is better. Of equals the one with least slack is taken. */
  delayRank: number;
  slack: number;
}

export const delayRankOf = (seconds: number): number => Math.round(DELAY_RANKS_PER_SECOND * seconds);

export function precedes(first: Candidate, second: Candidate): boolean {
  if (first.delayRank !== second.delayRank) return first.delayRank < second.delayRank;
  if (first.slack !== second.slack) return first.slack < second.slack;
  return first.machineIndex < second.machineIndex;
}

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

/** Whether the machine's kind and what it can spare are open to the job, which need not fit its type. */
const isEligible = (job: PlanJob, machine: PlanMachine): boolean =>
  (job.toleratesSpot || !machine.spot) &&
  !job.excludedMachines?.has(machine.index) &&
  !lacksSpareCapacity(machine, job);

/**
 * Of very many machines, enough that have room now, those first that hold the image; all of them where there are fewer. With
 * thousands of machines a round would otherwise cost all machines times all jobs it plans.
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
  for (const slot of machineIndices) {
    const machine = machines[slot] as PlanMachine;
    if (elementAt(machine.stepTimesSeconds, 0) > 0 || !fitsNow(machine, job)) continue;
    // What `findCandidates` would leave out must not count as enough.
    if (!isEligible(job, machine) || !fitsType(job, machine.type)) continue;
    if (machine.imagePullSeconds(job.image, job.imageGb) === 0) holders.push(slot);
    else if (others.length < enough) others.push(slot);
    if (holders.length >= enough) return holders;
  }
  return holders.length + others.length >= enough ? [...holders, ...others] : machineIndices;
}

/** The machines among `slots` that may take tasks of the job at some time. */
export function findCandidates(
  job: PlanJob,
  machines: readonly PlanMachine[],
  machineIndices: Iterable<number>,
  penalties: PlacementPenalties,
): Candidate[] {
  const found: Candidate[] = [];
  /** By type, the share that one task takes; negative where it doesn't fit. */
  const shares = new Map<MachineType, number>();
  for (const machineIndex of machineIndices) {
    const machine = machines[machineIndex] as PlanMachine;
    // Most machines with GPUs have nothing to spare: looking no further there is a third of the cost of small work.
    if (!isEligible(job, machine)) continue;
    let share = shares.get(machine.type);
    if (share === undefined) {
      share = fitsType(job, machine.type) ? machineShare(job, machine.type) : -1;
      shares.set(machine.type, share);
    }
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

/** Notes that the candidate takes `count` tasks from a step on. */
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

/** Candidates with the best on top: an array takes many places one after the other, from hundreds of machines. */
export class CandidateHeap {
  constructor(private readonly items: Candidate[]) {
    for (let i = (items.length >> 1) - 1; i >= 0; i--) this.siftDown(i);
  }

  get top(): Candidate | undefined {
    return this.items[0];
  }

  /** The top one has changed for the worse, or has nothing more to give. */
  updateTop(): void {
    const first = this.items[0];
    if (!first) return;
    if (first.taskCount === 0) {
      const last = this.items.pop() as Candidate;
      if (this.items.length === 0) return;
      this.items[0] = last;
    }
    this.siftDown(0);
  }

  private siftDown(from: number): void {
    const { items } = this;
    const moving = items[from] as Candidate;
    let i = from;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= items.length) break;
      if (child + 1 < items.length && precedes(items[child + 1] as Candidate, items[child] as Candidate)) child += 1;
      if (!precedes(items[child] as Candidate, moving)) break;
      items[i] = items[child] as Candidate;
      i = child;
    }
    items[i] = moving;
  }
}
