/** Finds the machines for a whole gang, and the earliest time at which they are free together. */
import { RESOURCE_TOLERANCE } from '../resource_amounts.js';
import type { ZoneName } from '../types.js';
import { type Candidate, delayRankOf } from './candidates.js';
import { allowedTasks, elementAt, lastStepBy, slackAfter } from './capacity_timeline.js';
import type { PlanJob } from './plan_types.js';

/** So many start times of a gang are tried, from the first at which there may be capacity for all of it. */
const MAX_START_TIMES_TRIED = 10;
/** Capacity that is free later must let the gang start so much sooner, image pulls included, to be preferred. */
const MIN_GAIN_SECONDS = 0.5;

/** The tasks of a gang that one machine takes. */
interface GangAllocation {
  readonly candidate: Candidate;
  readonly tasks: number;
}

/** The machines that take a whole gang, and from when on. */
export interface GangPlacement {
  /** When the capacity of all of them is free. */
  readonly freeAtSeconds: number;
  /** When the last of them has the image too. */
  readonly startSeconds: number;
  readonly allocations: readonly GangAllocation[];
}

/** Capacity for some tasks of a gang that comes free at a time. */
interface FreedCapacity {
  readonly atSeconds: number;
  readonly tasks: number;
}

/** Looks among candidates for machines that take all tasks of a gang at once (Eq. (8)); those of one zone come first. */
export class GangSearch {
  /** Plan steps spent so far. */
  steps = 0;

  constructor(
    private readonly job: PlanJob,
    private readonly preferredZone: ZoneName,
    private readonly candidates: readonly Candidate[],
  ) {}

  /**
   * Eq. (12): returns the placement with the earliest start, where capacity that is free later counts `futureDiscount` times
   * its time more; null where the candidates never take the whole gang.
   */
  findEarliest(futureDiscount: number): GangPlacement | null {
    const discounted = (freeAtSeconds: number, startSeconds: number): number =>
      startSeconds + futureDiscount * freeAtSeconds;
    let best: GangPlacement | null = null;
    let tried = 0;
    for (const freeAtSeconds of this.possibleStartTimes()) {
      if (tried >= MAX_START_TIMES_TRIED) break;
      if (
        best !== null &&
        discounted(freeAtSeconds, freeAtSeconds) >= discounted(best.freeAtSeconds, best.startSeconds)
      )
        break;
      tried += 1;
      const placement = this.placeAt(freeAtSeconds);
      if (!placement) continue;
      const limit =
        best === null ? Number.POSITIVE_INFINITY : discounted(best.freeAtSeconds, best.startSeconds) - MIN_GAIN_SECONDS;
      if (discounted(freeAtSeconds, placement.startSeconds) < limit) best = placement;
    }
    return best;
  }

  /** The set T of Eq. (12): times at which capacity comes free and there may be enough for the whole gang. */
  private possibleStartTimes(): number[] {
    const freed = freedCapacity(this.job, this.candidates);
    const startTimes: number[] = [];
    let freedTasks = 0;
    freed.forEach(({ atSeconds, tasks }, index) => {
      freedTasks += tasks;
      const next = freed[index + 1];
      const moreAtOnce = next !== undefined && next.atSeconds <= atSeconds + RESOURCE_TOLERANCE;
      if (freedTasks >= this.job.tasks && !moreAtOnce) startTimes.push(atSeconds);
    });
    return startTimes;
  }

  /** Returns the best machines that take the whole gang from a time on; null if there are not enough. */
  placeAt(freeAtSeconds: number): GangPlacement | null {
    const { job } = this;
    const options = gangOptions(job, this.preferredZone, this.candidates, freeAtSeconds);
    this.steps += options.length;
    const allowance = job.zoneAllowance ? new Map(job.zoneAllowance) : null;
    const allocations: GangAllocation[] = [];
    let left = job.tasks;
    let pullSeconds = 0;
    for (const { candidate, taskCount } of options) {
      if (left === 0) break;
      const { zone } = candidate.machine;
      const allowed = allowance ? (allowance.get(zone) ?? 0) : left;
      const tasks = Math.min(left, taskCount, allowed);
      if (tasks <= 0) continue;
      allowance?.set(zone, allowed - tasks);
      allocations.push({ candidate, tasks });
      pullSeconds = Math.max(pullSeconds, candidate.imagePullSeconds);
      left -= tasks;
    }
    return left === 0 ? { freeAtSeconds, startSeconds: freeAtSeconds + pullSeconds, allocations } : null;
  }
}

/** When the candidates have capacity for how many more tasks of a gang, soonest first. */
function freedCapacity(job: PlanJob, candidates: readonly Candidate[]): FreedCapacity[] {
  const freed: FreedCapacity[] = [];
  for (const { machine, imagePullSeconds } of candidates) {
    let counted = 0;
    for (let step = 0; step < machine.stepTimesSeconds.length && counted < job.tasks; step++) {
      const taskCount = allowedTasks(machine, step, imagePullSeconds + job.durationSeconds, job);
      if (taskCount <= counted) continue;
      freed.push({ atSeconds: elementAt(machine.stepTimesSeconds, step), tasks: taskCount - counted });
      counted = taskCount;
    }
  }
  return freed.sort((first, second) => first.atSeconds - second.atSeconds);
}

/** A machine that takes some tasks of a gang at one time. */
interface GangOption {
  readonly candidate: Candidate;
  readonly taskCount: number;
  /** 0 in the preferred zone, 1 elsewhere. */
  readonly zoneDistance: number;
  readonly delayRank: number;
  readonly slack: number;
}

/** What the candidates offer a gang from a time on, the best first. */
function gangOptions(
  job: PlanJob,
  zone: ZoneName,
  candidates: readonly Candidate[],
  freeAtSeconds: number,
): GangOption[] {
  const options: GangOption[] = [];
  for (const candidate of candidates) {
    const { machine, imagePullSeconds, penaltySeconds } = candidate;
    if (elementAt(machine.stepTimesSeconds, 0) > freeAtSeconds + RESOURCE_TOLERANCE) continue;
    const step = lastStepBy(machine, freeAtSeconds);
    const durationSeconds =
      freeAtSeconds - elementAt(machine.stepTimesSeconds, step) + imagePullSeconds + job.durationSeconds;
    const taskCount = allowedTasks(machine, step, durationSeconds, job);
    if (taskCount === 0) continue;
    options.push({
      candidate,
      taskCount,
      zoneDistance: machine.zone === zone ? 0 : 1,
      delayRank: delayRankOf(imagePullSeconds + penaltySeconds),
      slack: slackAfter(machine, step, job),
    });
  }
  return options.sort(compareOptions);
}

/** Best fit in the preferred zone first; no two are equal, so that plans repeat. */
const compareOptions = (first: GangOption, second: GangOption): number =>
  first.zoneDistance - second.zoneDistance ||
  first.delayRank - second.delayRank ||
  first.slack - second.slack ||
  first.candidate.machineIndex - second.candidate.machineIndex;
