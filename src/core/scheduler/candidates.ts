import type { MachineType } from '../types.js';
import { at, fitsNow, fitsType, lacksSpareRoom, machineShare, slackAfter } from './plan_machine.js';
import type { PlacementPenalties, PlanJob, PlanMachine } from './plan_types.js';

/** Starts are preferred in steps of half a second: those that close count as one, and best fit decides. */
const RANKS_PER_S = 2;
/** A cached image keeps a machine for jobs that need this much more of it. */
const LARGER_SHARE = 0.01;

/** Up to so many machines all are looked at; of more, so many with room now at least. */
const ALL_CONSIDERED = 800;
const MIN_CONSIDERED = 300;

/** A machine that may take tasks of a job, and the best that it offers now. */
export interface Candidate {
  readonly slot: number;
  machine: PlanMachine;
  readonly fetchS: number;
  readonly penaltyS: number;
  /** The step from which it takes `count` tasks; they start at `startS`. */
  step: number;
  count: number;
  startS: number;
  /** Preference by start time, penalty and doubt; less is better. Of equals the one with least slack is taken. */
  rank: number;
  slack: number;
}

export const rankOf = (seconds: number): number => Math.round(RANKS_PER_S * seconds);

export function isBefore(first: Candidate, second: Candidate): boolean {
  if (first.rank !== second.rank) return first.rank < second.rank;
  if (first.slack !== second.slack) return first.slack < second.slack;
  return first.slot < second.slot;
}

function penaltyS(job: PlanJob, machine: PlanMachine, share: number, penalties: PlacementPenalties): number {
  let seconds = 0;
  if (job.gpus === 0 && machine.type.gpus > 0) seconds += penalties.gpuS;
  if (job.spotOk && !machine.spot) {
    seconds += machine.reservedForGangs && !job.gang ? penalties.reservedS : penalties.onDemandS;
  }
  if (machine.largestCachedShare > share + LARGER_SHARE) seconds += penalties.cachedImageS;
  return seconds * job.penaltyFactor + (machine.spot ? job.spotDelayS : 0);
}

/** Whether the machine's kind and what it can spare are open to the job, which need not fit its type. */
const isOpenTo = (job: PlanJob, machine: PlanMachine): boolean =>
  (job.spotOk || !machine.spot) && !job.avoid?.has(machine.slot) && !lacksSpareRoom(machine, job);

/**
 * Of very many machines, enough that have room now, those first that hold the image; all of them where there are fewer. With
 * thousands of machines a round would otherwise cost all machines times all jobs it plans.
 */
export function slotsWithRoomNow(
  job: PlanJob,
  machines: readonly PlanMachine[],
  slots: readonly number[],
): readonly number[] {
  if (slots.length <= ALL_CONSIDERED) return slots;
  const enough = Math.max(MIN_CONSIDERED, job.tasks);
  const holders: number[] = [];
  const others: number[] = [];
  for (const slot of slots) {
    const machine = machines[slot] as PlanMachine;
    if (at(machine.times, 0) > 0 || !fitsNow(machine, job)) continue;
    // What `findCandidates` would leave out must not count as enough.
    if (!isOpenTo(job, machine) || !fitsType(job, machine.type)) continue;
    if (machine.fetchS(job.image, job.imageGb) === 0) holders.push(slot);
    else if (others.length < enough) others.push(slot);
    if (holders.length >= enough) return holders;
  }
  return holders.length + others.length >= enough ? [...holders, ...others] : slots;
}

/** The machines among `slots` that may take tasks of the job at some time. */
export function findCandidates(
  job: PlanJob,
  machines: readonly PlanMachine[],
  slots: Iterable<number>,
  penalties: PlacementPenalties,
): Candidate[] {
  const found: Candidate[] = [];
  /** By type, the share that one task takes; negative where it doesn't fit. */
  const shares = new Map<MachineType, number>();
  for (const slot of slots) {
    const machine = machines[slot] as PlanMachine;
    // Most machines with GPUs have nothing to spare: looking no further there is a third of the cost of small work.
    if (!isOpenTo(job, machine)) continue;
    let share = shares.get(machine.type);
    if (share === undefined) {
      share = fitsType(job, machine.type) ? machineShare(job, machine.type) : -1;
      shares.set(machine.type, share);
    }
    if (share < 0) continue;
    found.push({
      slot,
      machine,
      fetchS: machine.fetchS(job.image, job.imageGb),
      penaltyS: penaltyS(job, machine, share, penalties),
      step: 0,
      count: 0,
      startS: 0,
      rank: 0,
      slack: 0,
    });
  }
  return found;
}

/** Notes that the candidate takes `count` tasks from a step on. */
export function offer(candidate: Candidate, job: PlanJob, step: number, count: number, futureDiscount: number): void {
  const roomAtS = at(candidate.machine.times, step);
  candidate.count = count;
  candidate.step = step;
  candidate.startS = roomAtS + candidate.fetchS;
  candidate.rank = rankOf(candidate.startS + futureDiscount * roomAtS + candidate.penaltyS);
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
    if (first.count === 0) {
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
      if (child + 1 < items.length && isBefore(items[child + 1] as Candidate, items[child] as Candidate)) child += 1;
      if (!isBefore(items[child] as Candidate, moving)) break;
      items[i] = items[child] as Candidate;
      i = child;
    }
    items[i] = moving;
  }
}
