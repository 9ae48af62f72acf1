import { RESOURCE_TOLERANCE } from '../resource_amounts.js';
import type { ZoneName } from '../types.js';
import { type Candidate, delayRankOf } from './candidates.js';
import { allowedTasks, elementAt, lastStepBy, slackAfter } from './capacity_timeline.js';
import type { PlanJob } from './plan_types.js';

/** Instants at which a gang's start is tried, from the first at which there is room for all of it. */
const MAX_START_TIMES_TRIED = 10;
/** A later start must be sooner by so much, fetches included, to be preferred. */
const MIN_GAIN_SECONDS = 0.5;

/** So many tasks of a gang on a machine. */
export interface GangAllocation {
  readonly candidate: Candidate;
  readonly tasks: number;
}

/** The machines that take a whole gang, and from when on. */
export interface GangPlacement {
  readonly freeAtSeconds: number;
  readonly startSeconds: number;
  readonly allocations: readonly GangAllocation[];
}

/** Room for some tasks of a gang that comes free at a time. */
interface FreedCapacity {
  readonly atSeconds: number;
  readonly tasks: number;
}

/** Looks for the machines that take a whole gang; those of `zone` come first. */
export class GangSearch {
  /** Plan steps spent. */
  steps = 0;

  constructor(
    private readonly job: PlanJob,
    private readonly preferredZone: ZoneName,
    private readonly candidates: readonly Candidate[],
  ) {}

  /** Tries the instants at which room comes free, from the first at which there may be enough for all of it. */
  findEarliest(futureDiscount: number): GangPlacement | null {
    const discounted = (roomAtS: number, startS: number): number => startS + futureDiscount * roomAtS;
    let best: GangPlacement | null = null;
    let tried = 0;
    for (const roomAtS of this.possibleStartTimes()) {
      if (tried >= MAX_START_TIMES_TRIED) break;
      if (best !== null && discounted(roomAtS, roomAtS) >= discounted(best.freeAtSeconds, best.startSeconds)) break;
      tried += 1;
      const placement = this.placeAt(roomAtS);
      if (!placement) continue;
      const limit =
        best === null ? Number.POSITIVE_INFINITY : discounted(best.freeAtSeconds, best.startSeconds) - MIN_GAIN_SECONDS;
      if (discounted(roomAtS, placement.startSeconds) < limit) best = placement;
    }
    return best;
  }

  /** The instants at which room comes free and there may be enough for the whole gang. */
  private possibleStartTimes(): number[] {
    const freed = freedCapacity(this.job, this.candidates);
    const instants: number[] = [];
    let room = 0;
    freed.forEach(({ atSeconds, tasks }, i) => {
      room += tasks;
      const next = freed[i + 1];
      const moreAtOnce = next !== undefined && next.atSeconds <= atSeconds + RESOURCE_TOLERANCE;
      if (room >= this.job.tasks && !moreAtOnce) instants.push(atSeconds);
    });
    return instants;
  }

  /** The machines that take the whole gang from a time on; null if there are not enough. */
  placeAt(freeAtSeconds: number): GangPlacement | null {
    const { job } = this;
    const options = gangOptions(job, this.preferredZone, this.candidates, freeAtSeconds);
    this.steps += options.length;
    const zoneRoom = job.zoneAllowance ? new Map(job.zoneAllowance) : null;
    const allocations: GangAllocation[] = [];
    let left = job.tasks;
    let fetchS = 0;
    for (const { candidate, taskCount } of options) {
      if (left === 0) break;
      const { zone } = candidate.machine;
      const inZone = zoneRoom ? (zoneRoom.get(zone) ?? 0) : left;
      const tasks = Math.min(left, taskCount, inZone);
      if (tasks <= 0) continue;
      zoneRoom?.set(zone, inZone - tasks);
      allocations.push({ candidate, tasks });
      fetchS = Math.max(fetchS, candidate.imagePullSeconds);
      left -= tasks;
    }
    return left === 0 ? { freeAtSeconds, startSeconds: freeAtSeconds + fetchS, allocations } : null;
  }
}

/** When room for how many more tasks of a gang comes free on the candidates, soonest first. */
function freedCapacity(job: PlanJob, candidates: readonly Candidate[]): FreedCapacity[] {
  const freed: FreedCapacity[] = [];
  for (const { machine, imagePullSeconds } of candidates) {
    let counted = 0;
    for (let step = 0; step < machine.stepTimesSeconds.length && counted < job.tasks; step++) {
      const count = allowedTasks(machine, step, imagePullSeconds + job.durationSeconds, job);
      if (count <= counted) continue;
      freed.push({ atSeconds: elementAt(machine.stepTimesSeconds, step), tasks: count - counted });
      counted = count;
    }
  }
  return freed.sort((a, b) => a.atSeconds - b.atSeconds);
}

/** A machine that takes some tasks of a gang at one time. */
interface GangOption {
  readonly candidate: Candidate;
  readonly taskCount: number;
  /** 0 in the zone asked for, 1 elsewhere. */
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
  return options.sort(
    (a, b) =>
      a.zoneDistance - b.zoneDistance ||
      a.delayRank - b.delayRank ||
      a.slack - b.slack ||
      a.candidate.machineIndex - b.candidate.machineIndex,
  );
}
