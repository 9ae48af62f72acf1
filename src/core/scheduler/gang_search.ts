import { RESOURCE_TOLERANCE } from '../resource_amounts.js';
import type { ZoneName } from '../types.js';
import { type Candidate, rankOf } from './candidates.js';
import { allowedCount, at, slackAfter, stepBefore } from './plan_machine.js';
import type { PlanJob } from './plan_types.js';

/** Instants at which a gang's start is tried, from the first at which there is room for all of it. */
const MAX_TRIES = 10;
/** A later start must be sooner by so much, fetches included, to be preferred. */
const MIN_GAIN_S = 0.5;

/** So many tasks of a gang on a machine. */
export interface GangPart {
  readonly candidate: Candidate;
  readonly tasks: number;
}

/** The machines that take a whole gang, and from when on. */
export interface GangPlacement {
  readonly roomAtS: number;
  readonly startS: number;
  readonly parts: readonly GangPart[];
}

/** Room for some tasks of a gang that comes free at a time. */
interface FreedRoom {
  readonly atS: number;
  readonly tasks: number;
}

/** Looks for the machines that take a whole gang; those of `zone` come first. */
export class GangSearch {
  /** Plan steps spent. */
  steps = 0;

  constructor(
    private readonly job: PlanJob,
    private readonly zone: ZoneName,
    private readonly candidates: readonly Candidate[],
  ) {}

  /** Tries the instants at which room comes free, from the first at which there may be enough for all of it. */
  earliest(futureDiscount: number): GangPlacement | null {
    const discounted = (roomAtS: number, startS: number): number => startS + futureDiscount * roomAtS;
    let best: GangPlacement | null = null;
    let tried = 0;
    for (const roomAtS of this.possibleInstants()) {
      if (tried >= MAX_TRIES) break;
      if (best !== null && discounted(roomAtS, roomAtS) >= discounted(best.roomAtS, best.startS)) break;
      tried += 1;
      const placement = this.at(roomAtS);
      if (!placement) continue;
      const limit = best === null ? Number.POSITIVE_INFINITY : discounted(best.roomAtS, best.startS) - MIN_GAIN_S;
      if (discounted(roomAtS, placement.startS) < limit) best = placement;
    }
    return best;
  }

  /** The instants at which room comes free and there may be enough for the whole gang. */
  private possibleInstants(): number[] {
    const freed = freedRoom(this.job, this.candidates);
    const instants: number[] = [];
    let room = 0;
    freed.forEach(({ atS, tasks }, i) => {
      room += tasks;
      const next = freed[i + 1];
      const moreAtOnce = next !== undefined && next.atS <= atS + RESOURCE_TOLERANCE;
      if (room >= this.job.tasks && !moreAtOnce) instants.push(atS);
    });
    return instants;
  }

  /** The machines that take the whole gang from a time on; null if there are not enough. */
  at(roomAtS: number): GangPlacement | null {
    const { job } = this;
    const options = gangOptions(job, this.zone, this.candidates, roomAtS);
    this.steps += options.length;
    const zoneRoom = job.zoneRoom ? new Map(job.zoneRoom) : null;
    const parts: GangPart[] = [];
    let left = job.tasks;
    let fetchS = 0;
    for (const { candidate, count } of options) {
      if (left === 0) break;
      const { zone } = candidate.machine;
      const inZone = zoneRoom ? (zoneRoom.get(zone) ?? 0) : left;
      const tasks = Math.min(left, count, inZone);
      if (tasks <= 0) continue;
      zoneRoom?.set(zone, inZone - tasks);
      parts.push({ candidate, tasks });
      fetchS = Math.max(fetchS, candidate.fetchS);
      left -= tasks;
    }
    return left === 0 ? { roomAtS, startS: roomAtS + fetchS, parts } : null;
  }
}

/** When room for how many more tasks of a gang comes free on the candidates, soonest first. */
function freedRoom(job: PlanJob, candidates: readonly Candidate[]): FreedRoom[] {
  const freed: FreedRoom[] = [];
  for (const { machine, fetchS } of candidates) {
    let counted = 0;
    for (let step = 0; step < machine.times.length && counted < job.tasks; step++) {
      const count = allowedCount(machine, step, fetchS + job.durationS, job);
      if (count <= counted) continue;
      freed.push({ atS: at(machine.times, step), tasks: count - counted });
      counted = count;
    }
  }
  return freed.sort((a, b) => a.atS - b.atS);
}

/** A machine that takes some tasks of a gang at one time. */
interface GangOption {
  readonly candidate: Candidate;
  readonly count: number;
  /** 0 in the zone asked for, 1 elsewhere. */
  readonly distance: number;
  readonly rank: number;
  readonly slack: number;
}

/** What the candidates offer a gang from a time on, the best first. */
function gangOptions(job: PlanJob, zone: ZoneName, candidates: readonly Candidate[], roomAtS: number): GangOption[] {
  const options: GangOption[] = [];
  for (const candidate of candidates) {
    const { machine, fetchS, penaltyS } = candidate;
    if (at(machine.times, 0) > roomAtS + RESOURCE_TOLERANCE) continue;
    const step = stepBefore(machine, roomAtS);
    const durationS = roomAtS - at(machine.times, step) + fetchS + job.durationS;
    const count = allowedCount(machine, step, durationS, job);
    if (count === 0) continue;
    options.push({
      candidate,
      count,
      distance: machine.zone === zone ? 0 : 1,
      rank: rankOf(fetchS + penaltyS),
      slack: slackAfter(machine, step, job),
    });
  }
  return options.sort(
    (a, b) => a.distance - b.distance || a.rank - b.rank || a.slack - b.slack || a.candidate.slot - b.candidate.slot,
  );
}
