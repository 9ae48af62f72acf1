import { RESOURCE_TOLERANCE } from '../resource_amounts.js';
import type { Resources, ZoneName } from '../types.js';
import { type Candidate, CandidateHeap, findCandidates, isBefore, offer, slotsWithRoomNow } from './candidates.js';
import { asksNoLess, leastDemands } from './fill_checks.js';
import { type GangPlacement, GangSearch } from './gang_search.js';
import { allowedCount, at, cloneMachine, fitCount, fitsNow, reserveRoom, utilization } from './plan_machine.js';
import {
  type FitnessWeights,
  NO_PENALTIES,
  type PlacementPenalties,
  type Plan,
  type PlanJob,
  type PlanMachine,
  type PlannedStart,
} from './plan_types.js';

/** What the fitness takes a task to wait that no machine of the plan can take. */
const UNPLACED_S = 600;
/** A machine that comes free later counts so much less, per second, where zones are compared by their room. */
const LATER_ROOM_FACTOR = 1e-3;
/** An array takes at most so many turns over its candidates. */
const TURNS_PER_CANDIDATE = 2;
const EXTRA_TURNS = 4;

/** An array of which so many tasks are planned takes what room there is in any zone, not in one zone a round. */
const HUGE_ARRAY_TASKS = 400;

/** What the plan in progress has decided so far. */
interface Draft {
  readonly starts: PlannedStart[];
  readonly unplaced: Map<number, number>;
}

/**
 * The lower layer of EVO-GP: plans all jobs, in the order given, each in the zone that its gene names. Each job takes its
 * earliest feasible start, and each task the fitting machine with least room in its scarcest resource.
 */
export class Planner {
  /** Plan steps spent so far. */
  steps = 0;
  private base: readonly PlanMachine[] = [];
  private readonly slotsByZone = new Map<ZoneName, number[]>();
  /** The plan in progress: a machine is copied when something is first reserved on it. */
  private machines: PlanMachine[] = [];

  constructor(
    private readonly weights: FitnessWeights,
    private readonly penalties: PlacementPenalties = NO_PENALTIES,
  ) {}

  /** `genes`: a zone for each job; null plans arrays over all of their zones at once. */
  plan(base: readonly PlanMachine[], jobs: readonly PlanJob[], genes: readonly ZoneName[] | null): Plan {
    this.begin(base);
    const draft: Draft = { starts: [], unplaced: new Map() };
    const stepsBefore = this.steps;
    let sum = 0;
    let longest = 0;
    jobs.forEach((job, i) => {
      const waitS = this.planJob(job, genes ? (genes[i] as ZoneName) : null, draft);
      const weighted = job.weight * (job.waitedS + waitS);
      sum += weighted;
      if (weighted > longest) longest = weighted;
    });
    const { average, maximum, idle } = this.weights;
    const mean = jobs.length > 0 ? sum / jobs.length : 0;
    const cost = average * mean + maximum * longest + idle * (1 - utilization(this.machines));
    return { ...draft, machines: this.machines, cost, steps: this.steps - stepsBefore };
  }

  private begin(base: readonly PlanMachine[]): void {
    this.machines = base.slice();
    if (this.base === base) return;
    this.base = base;
    this.slotsByZone.clear();
    for (const { zone, slot } of base) {
      const slots = this.slotsByZone.get(zone);
      if (slots) slots.push(slot);
      else this.slotsByZone.set(zone, [slot]);
    }
  }

  private candidates(job: PlanJob, slots: Iterable<number>): Candidate[] {
    const found = findCandidates(job, this.machines, slots, this.penalties);
    this.steps += found.length;
    return found;
  }

  /** The candidates among all machines of some zones. */
  private candidatesIn(job: PlanJob, zones: readonly ZoneName[]): Candidate[] {
    const slots = slotsWithRoomNow(job, this.machines, this.slotsIn(zones));
    const found = findCandidates(job, this.machines, slots, this.penalties);
    this.steps += found.length;
    return found;
  }

  private slotsIn(zones: readonly ZoneName[]): readonly number[] {
    if (zones.length === 1) return this.slotsByZone.get(zones[0] as ZoneName) ?? [];
    const all: number[] = [];
    for (const zone of zones) for (const slot of this.slotsByZone.get(zone) ?? []) all.push(slot);
    return all;
  }

  private reserve(candidate: Candidate, fromS: number, durationS: number, count: number, task: Resources): void {
    const { slot } = candidate;
    if (this.machines[slot] === this.base[slot]) this.machines[slot] = cloneMachine(this.base[slot] as PlanMachine);
    candidate.machine = this.machines[slot] as PlanMachine;
    reserveRoom(candidate.machine, fromS, durationS, count, task);
  }

  // ---- one job

  /** Returns the job's mean wait from now, in seconds. */
  private planJob(job: PlanJob, gene: ZoneName | null, draft: Draft): number {
    const isHuge = !job.gang && !job.sameZone && job.tasks >= HUGE_ARRAY_TASKS;
    const overAllZones = (gene === null || isHuge) && !job.zoneRoom && !(job.gang && job.sameZone);
    if (overAllZones) {
      return job.gang
        ? this.planGang(job, job.zones[0] as ZoneName, draft)
        : this.planArray(job, job.zones, job.tasks, draft);
    }
    const zone = gene ?? this.roomiestZone(job);
    if (job.gang) return this.planGang(job, zone, draft);
    if (!job.zoneRoom) return this.planArray(job, [zone], job.tasks, draft);
    return this.planSpreadArray(job, zone, job.zoneRoom, draft);
  }

  /** A spread job needs several zones: the gene names the first, the others follow within the limit. */
  private planSpreadArray(
    job: PlanJob,
    firstZone: ZoneName,
    zoneRoom: ReadonlyMap<ZoneName, number>,
    draft: Draft,
  ): number {
    let left = job.tasks;
    let totalWait = 0;
    for (const zone of [firstZone, ...job.zones.filter((other) => other !== firstZone)]) {
      const tasks = Math.min(left, zoneRoom.get(zone) ?? 0);
      if (tasks <= 0) continue;
      const here: Draft = { starts: draft.starts, unplaced: new Map() };
      totalWait += tasks * this.planArray(job, [zone], tasks, here);
      left -= tasks - (here.unplaced.get(job.slot) ?? 0);
    }
    if (left > 0) draft.unplaced.set(job.slot, left);
    return (totalWait + left * UNPLACED_S) / Math.max(1, job.tasks);
  }

  /** The zone whose machines that the job fits have most room now. */
  private roomiestZone(job: PlanJob): ZoneName {
    const room = new Map<ZoneName, number>();
    for (const { machine } of this.candidatesIn(job, job.zones)) {
      const count = fitCount(machine, 0, job.durationS, job) - at(machine.times, 0) * LATER_ROOM_FACTOR;
      room.set(machine.zone, (room.get(machine.zone) ?? 0) + count);
    }
    let best = job.zones[0] as ZoneName;
    for (const zone of job.zones) if ((room.get(zone) ?? 0) > (room.get(best) ?? 0)) best = zone;
    return best;
  }

  // ---- arrays

  private planArray(job: PlanJob, zones: readonly ZoneName[], tasks: number, draft: Draft): number {
    const candidates = this.candidatesIn(job, zones);
    for (const candidate of candidates) this.findEarliest(candidate, job);
    const heap = new CandidateHeap(candidates.filter(({ count }) => count > 0));
    const maxTurns = TURNS_PER_CANDIDATE * candidates.length + EXTRA_TURNS;
    let left = tasks;
    let totalWait = 0;
    let lastStart = 0;
    for (let turn = 0; left > 0 && turn < maxTurns; turn++) {
      const best = heap.top;
      if (!best) break;
      const taken = Math.min(left, best.count);
      this.startTasks(job, best, taken, draft.starts);
      totalWait += taken * best.startS;
      lastStart = best.startS;
      left -= taken;
      this.steps += 1;
      this.findEarliest(best, job);
      heap.updateTop();
    }
    if (left > 0) draft.unplaced.set(job.slot, (draft.unplaced.get(job.slot) ?? 0) + left);
    const lateS = candidates.length > 0 ? lastStart + job.durationS : UNPLACED_S;
    return (totalWait + left * lateS) / Math.max(1, tasks);
  }

  /** Offers the first step from which at least one task fits. */
  private findEarliest(candidate: Candidate, job: PlanJob): void {
    const { machine } = candidate;
    const durationS = candidate.fetchS + job.durationS;
    candidate.count = 0;
    for (let step = 0; step < machine.times.length; step++) {
      const count = allowedCount(machine, step, durationS, job);
      if (count > 0) {
        offer(candidate, job, step, count, this.penalties.futureDiscount);
        return;
      }
    }
  }

  /** Starts tasks of an array where the candidate offers room. */
  private startTasks(job: PlanJob, candidate: Candidate, tasks: number, starts: PlannedStart[]): void {
    const roomAtS = at(candidate.machine.times, candidate.step);
    starts.push({ job: job.slot, machine: candidate.slot, tasks, roomAtS, startAtS: candidate.startS });
    this.reserve(candidate, roomAtS, candidate.fetchS + job.durationS, tasks, job);
  }

  // ---- gangs

  private planGang(job: PlanJob, zone: ZoneName, draft: Draft): number {
    const zones = job.sameZone ? [zone] : [zone, ...job.zones.filter((other) => other !== zone)];
    const candidates = this.candidatesIn(job, zones);
    const search = new GangSearch(job, zone, candidates);
    const best = search.earliest(this.penalties.gangFutureDiscount);
    this.steps += search.steps;
    if (best === null) {
      draft.unplaced.set(job.slot, job.tasks);
      return UNPLACED_S;
    }
    this.startGang(job, best, draft.starts);
    return best.startS;
  }

  private startGang(job: PlanJob, { roomAtS, startS, parts }: GangPlacement, starts: PlannedStart[]): void {
    for (const { candidate, tasks } of parts) {
      starts.push({ job: job.slot, machine: candidate.slot, tasks, roomAtS, startAtS: startS });
      this.reserve(candidate, roomAtS, startS - roomAtS + job.durationS, tasks, job);
    }
  }

  // ---- filling what is free now

  /**
   * Jobs beyond those that a round plans in full: what is free on machines now, after that plan, goes to them in order, so
   * that nothing stands idle because a round looks at so many jobs only. Returns the starts; all are for now. It ends after
   * `maxSteps`: with hundreds of machines free and hundreds of jobs the next round goes on.
   */
  fillNow(plan: Plan, jobs: readonly PlanJob[], maxSteps: number): PlannedStart[] {
    this.begin(plan.machines);
    const stepLimit = this.steps + maxSteps;
    const least = leastDemands(jobs);
    const hasRoom = (machine: PlanMachine): boolean =>
      at(machine.times, 0) <= RESOURCE_TOLERANCE && least.some((demand) => fitsNow(machine, demand));
    const free = new Set(this.machines.filter(hasRoom).map(({ slot }) => slot));
    const failed: PlanJob[] = [];
    const starts: PlannedStart[] = [];
    for (const job of jobs) {
      if (free.size === 0 || this.steps >= stepLimit) break;
      // Room only shrinks here: what asks for as much as a job that found none finds none either.
      if (job.zoneRoom || failed.some((other) => asksNoLess(job, other))) continue;
      const started = this.startNow(job, this.candidates(job, free));
      if (started.length === 0) failed.push(job);
      const used = started.map(({ machine }) => this.machines[machine] as PlanMachine);
      for (const { slot } of used.filter((machine) => !hasRoom(machine))) free.delete(slot);
      starts.push(...started);
    }
    return starts;
  }

  private startNow(job: PlanJob, candidates: readonly Candidate[]): PlannedStart[] {
    return job.gang ? this.startGangNow(job, candidates) : this.startArrayNow(job, candidates);
  }

  private startGangNow(job: PlanJob, candidates: readonly Candidate[]): PlannedStart[] {
    const starts: PlannedStart[] = [];
    for (const zone of job.sameZone ? job.zones : [null]) {
      const inZone = zone === null ? candidates : candidates.filter(({ machine }) => machine.zone === zone);
      const search = new GangSearch(job, zone ?? (job.zones[0] as ZoneName), inZone);
      const placement = search.at(0);
      this.steps += search.steps;
      if (!placement) continue;
      this.startGang(job, placement, starts);
      break;
    }
    return starts;
  }

  private startArrayNow(job: PlanJob, candidates: readonly Candidate[]): PlannedStart[] {
    const starts: PlannedStart[] = [];
    const offers: Candidate[] = [];
    for (const candidate of candidates) {
      if (!job.zones.includes(candidate.machine.zone)) continue;
      const count = allowedCount(candidate.machine, 0, candidate.fetchS + job.durationS, job);
      if (count === 0) continue;
      offer(candidate, job, 0, count, this.penalties.futureDiscount);
      offers.push(candidate);
    }
    offers.sort((a, b) => (isBefore(a, b) ? -1 : 1));
    let left = job.tasks;
    for (const candidate of offers) {
      if (left <= 0) break;
      const tasks = Math.min(left, candidate.count);
      starts.push({ job: job.slot, machine: candidate.slot, tasks, roomAtS: 0, startAtS: candidate.fetchS });
      this.reserve(candidate, 0, candidate.fetchS + job.durationS, tasks, job);
      left -= tasks;
    }
    return starts;
  }
}
