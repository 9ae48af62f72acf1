/** Finds machines for all tasks of a gang, and the earliest time at which these machines are free together. */
import { RESOURCE_TOLERANCE } from '../resource_amounts.js';
import type { ZoneName } from '../types.js';
import { type Candidate, delayRankOf } from './candidates.js';
import { allowedTasks, elementAt, lastStepBy, slackAfter } from './capacity_timeline.js';
import type { PlanJob } from './plan_types.js';

/**
 * Maximum number of start times that are tried for a gang, beginning with the first at which there may be capacity for
 * all of its tasks.
 */
const MAX_START_TIMES_TRIED = 10;
/**
 * Minimum gain in the discounted start time, image pulls included, for which capacity that is free later is preferred,
 * in seconds.
 */
const MIN_GAIN_SECONDS = 0.5;

/** The number of a gang's tasks that are allocated to one machine. */
interface GangAllocation {
  readonly candidate: Candidate;
  readonly tasks: number;
}

/** The machines for all tasks of a gang, and the times at which they are free and ready. */
export interface GangPlacement {
  /** When the capacity of all machines is free. */
  readonly freeAtSeconds: number;
  /** When the last machine has pulled the image as well. */
  readonly startSeconds: number;
  readonly allocations: readonly GangAllocation[];
}

/** Capacity for a number of a gang's tasks that becomes free at one time. */
interface FreedCapacity {
  readonly atSeconds: number;
  readonly tasks: number;
}

/**
 * Searches the candidates for machines that can run all tasks of a gang at the same time (Eq. (8) of the EVO-GP paper).
 * Machines of the preferred zone come first.
 */
export class GangSearch {
  /** Plan steps spent so far. */
  steps = 0;

  constructor(
    private readonly job: PlanJob,
    private readonly preferredZone: ZoneName,
    private readonly candidates: readonly Candidate[],
  ) {}

  /**
   * Returns the placement with the earliest start (Eq. (12)), or null if the candidates can never run the whole gang.
   * For the comparison, `futureDiscount` times the time at which the capacity becomes free is added to the start time.
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

  /** Returns the set T of Eq. (12): the times at which capacity becomes free and may suffice for the whole gang. */
  private possibleStartTimes(): number[] {
    const freed = freedCapacity(this.job, this.candidates);
    const startTimes: number[] = [];
    let freedTasks = 0;
    freed.forEach(({ atSeconds, tasks }, index) => {
      freedTasks += tasks;
      const next = freed[index + 1];
      const moreAtSameTime = next !== undefined && next.atSeconds <= atSeconds + RESOURCE_TOLERANCE;
      if (freedTasks >= this.job.tasks && !moreAtSameTime) startTimes.push(atSeconds);
    });
    return startTimes;
  }

  /** Returns the best machines that can run the whole gang from a time on, or null if there are too few. */
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

/** Returns the times at which candidates gain capacity for further tasks of a gang, earliest first. */
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

/** A machine that can run some tasks of a gang from a given time on. */
interface GangOption {
  readonly candidate: Candidate;
  readonly taskCount: number;
  /** 0 in the preferred zone, 1 elsewhere. */
  readonly zoneDistance: number;
  readonly delayRank: number;
  readonly slack: number;
}

/** Returns the candidates that can run tasks of a gang from a time on, best first. */
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

/**
 * Orders options by preferred zone, start delay and best fit. The machine index breaks ties, so that plans are
 * reproducible.
 */
const compareOptions = (first: GangOption, second: GangOption): number =>
  first.zoneDistance - second.zoneDistance ||
  first.delayRank - second.delayRank ||
  first.slack - second.slack ||
  first.candidate.machineIndex - second.candidate.machineIndex;
