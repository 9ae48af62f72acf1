import { RESOURCE_TOLERANCE } from '../resource_amounts.js';
import type { Resources, ZoneName } from '../types.js';
import { isAtLeastAsDemanding, minimumDemands } from './backfill.js';
import {
  type Candidate,
  CandidateHeap,
  findCandidates,
  machinesWithFreeCapacityNow,
  precedes,
  recordOffer,
} from './candidates.js';
import {
  allowedTasks,
  clonePlanMachine,
  elementAt,
  fitsNow,
  fittingTasks,
  reserveCapacity,
  utilization,
} from './capacity_timeline.js';
import { type GangPlacement, GangSearch } from './gang_search.js';
import type { Plan, PlanJob, PlanMachine, PlannedStart } from './plan_types.js';
import { type FitnessWeights, NO_PENALTIES, type PlacementPenalties } from './policy.js';

/** What the fitness takes a task to wait that no machine of the plan can take. */
const UNPLACED_WAIT_SECONDS = 600;
/** A machine that comes free later counts so much less, per second, where zones are compared by their room. */
const LATER_CAPACITY_DISCOUNT = 1e-3;
/** An array takes at most so many turns over its candidates. */
const TURNS_PER_CANDIDATE = 2;
const EXTRA_TURNS = 4;

/** An array of which so many tasks are planned takes what room there is in any zone, not in one zone a round. */
const LARGE_ARRAY_TASKS = 400;

/** What the plan in progress has decided so far. */
interface PlanDraft {
  readonly starts: PlannedStart[];
  readonly unplacedTasks: Map<number, number>;
}

/**
 * The lower layer of EVO-GP: plans all jobs, in the order given, each in the zone that its gene names. Each job takes its
 * earliest feasible start, and each task the fitting machine with least room in its scarcest resource.
 */
export class Planner {
  /** Plan steps spent so far. */
  steps = 0;
  private baseMachines: readonly PlanMachine[] = [];
  private readonly machineIndicesByZone = new Map<ZoneName, number[]>();
  /** The plan in progress: a machine is copied when something is first reserved on it. */
  private machines: PlanMachine[] = [];

  constructor(
    private readonly weights: FitnessWeights,
    private readonly penalties: PlacementPenalties = NO_PENALTIES,
  ) {}

  /** `genes`: a zone for each job; null plans arrays over all of their zones at once. */
  plan(base: readonly PlanMachine[], jobs: readonly PlanJob[], genes: readonly ZoneName[] | null): Plan {
    this.begin(base);
    const draft: PlanDraft = { starts: [], unplacedTasks: new Map() };
    const stepsBefore = this.steps;
    let sum = 0;
    let longest = 0;
    jobs.forEach((job, i) => {
      const waitS = this.planJob(job, genes ? (genes[i] as ZoneName) : null, draft);
      const weighted = job.priorityWeight * (job.waitedSeconds + waitS);
      sum += weighted;
      if (weighted > longest) longest = weighted;
    });
    const { averageWait, maximumWait, idleShare } = this.weights;
    const mean = jobs.length > 0 ? sum / jobs.length : 0;
    const cost = averageWait * mean + maximumWait * longest + idleShare * (1 - utilization(this.machines));
    return { ...draft, machines: this.machines, cost, steps: this.steps - stepsBefore };
  }

  private begin(base: readonly PlanMachine[]): void {
    this.machines = base.slice();
    if (this.baseMachines === base) return;
    this.baseMachines = base;
    this.machineIndicesByZone.clear();
    for (const { zone, index } of base) {
      const slots = this.machineIndicesByZone.get(zone);
      if (slots) slots.push(index);
      else this.machineIndicesByZone.set(zone, [index]);
    }
  }

  private candidatesAmong(job: PlanJob, slots: Iterable<number>): Candidate[] {
    const found = findCandidates(job, this.machines, slots, this.penalties);
    this.steps += found.length;
    return found;
  }

  /** The candidates among all machines of some zones. */
  private candidatesInZones(job: PlanJob, zones: readonly ZoneName[]): Candidate[] {
    const slots = machinesWithFreeCapacityNow(job, this.machines, this.machineIndicesIn(zones));
    const found = findCandidates(job, this.machines, slots, this.penalties);
    this.steps += found.length;
    return found;
  }

  private machineIndicesIn(zones: readonly ZoneName[]): readonly number[] {
    if (zones.length === 1) return this.machineIndicesByZone.get(zones[0] as ZoneName) ?? [];
    const all: number[] = [];
    for (const zone of zones) for (const slot of this.machineIndicesByZone.get(zone) ?? []) all.push(slot);
    return all;
  }

  private reserve(candidate: Candidate, fromS: number, durationS: number, count: number, task: Resources): void {
    const { machineIndex } = candidate;
    if (this.machines[machineIndex] === this.baseMachines[machineIndex])
      this.machines[machineIndex] = clonePlanMachine(this.baseMachines[machineIndex] as PlanMachine);
    candidate.machine = this.machines[machineIndex] as PlanMachine;
    reserveCapacity(candidate.machine, fromS, durationS, count, task);
  }

  // ---- one job

  /** Returns the job's mean wait from now, in seconds. */
  private planJob(job: PlanJob, gene: ZoneName | null, draft: PlanDraft): number {
    const isHuge = !job.isGang && !job.singleZone && job.tasks >= LARGE_ARRAY_TASKS;
    const overAllZones = (gene === null || isHuge) && !job.zoneAllowance && !(job.isGang && job.singleZone);
    if (overAllZones) {
      return job.isGang
        ? this.planGang(job, job.feasibleZones[0] as ZoneName, draft)
        : this.planArray(job, job.feasibleZones, job.tasks, draft);
    }
    const zone = gene ?? this.zoneWithMostFreeCapacity(job);
    if (job.isGang) return this.planGang(job, zone, draft);
    if (!job.zoneAllowance) return this.planArray(job, [zone], job.tasks, draft);
    return this.planSpreadArray(job, zone, job.zoneAllowance, draft);
  }

  /** A spread job needs several zones: the gene names the first, the others follow within the limit. */
  private planSpreadArray(
    job: PlanJob,
    firstZone: ZoneName,
    zoneRoom: ReadonlyMap<ZoneName, number>,
    draft: PlanDraft,
  ): number {
    let left = job.tasks;
    let totalWait = 0;
    for (const zone of [firstZone, ...job.feasibleZones.filter((other) => other !== firstZone)]) {
      const tasks = Math.min(left, zoneRoom.get(zone) ?? 0);
      if (tasks <= 0) continue;
      const here: PlanDraft = { starts: draft.starts, unplacedTasks: new Map() };
      totalWait += tasks * this.planArray(job, [zone], tasks, here);
      left -= tasks - (here.unplacedTasks.get(job.index) ?? 0);
    }
    if (left > 0) draft.unplacedTasks.set(job.index, left);
    return (totalWait + left * UNPLACED_WAIT_SECONDS) / Math.max(1, job.tasks);
  }

  /** The zone whose machines that the job fits have most room now. */
  private zoneWithMostFreeCapacity(job: PlanJob): ZoneName {
    const room = new Map<ZoneName, number>();
    for (const { machine } of this.candidatesInZones(job, job.feasibleZones)) {
      const count =
        fittingTasks(machine, 0, job.durationSeconds, job) -
        elementAt(machine.stepTimesSeconds, 0) * LATER_CAPACITY_DISCOUNT;
      room.set(machine.zone, (room.get(machine.zone) ?? 0) + count);
    }
    let best = job.feasibleZones[0] as ZoneName;
    for (const zone of job.feasibleZones) if ((room.get(zone) ?? 0) > (room.get(best) ?? 0)) best = zone;
    return best;
  }

  // ---- arrays

  private planArray(job: PlanJob, zones: readonly ZoneName[], tasks: number, draft: PlanDraft): number {
    const candidates = this.candidatesInZones(job, zones);
    for (const candidate of candidates) this.offerEarliest(candidate, job);
    const heap = new CandidateHeap(candidates.filter(({ taskCount }) => taskCount > 0));
    const maxTurns = TURNS_PER_CANDIDATE * candidates.length + EXTRA_TURNS;
    let left = tasks;
    let totalWait = 0;
    let lastStart = 0;
    for (let turn = 0; left > 0 && turn < maxTurns; turn++) {
      const best = heap.top;
      if (!best) break;
      const taken = Math.min(left, best.taskCount);
      this.startArrayTasks(job, best, taken, draft.starts);
      totalWait += taken * best.startSeconds;
      lastStart = best.startSeconds;
      left -= taken;
      this.steps += 1;
      this.offerEarliest(best, job);
      heap.updateTop();
    }
    if (left > 0) draft.unplacedTasks.set(job.index, (draft.unplacedTasks.get(job.index) ?? 0) + left);
    const lateS = candidates.length > 0 ? lastStart + job.durationSeconds : UNPLACED_WAIT_SECONDS;
    return (totalWait + left * lateS) / Math.max(1, tasks);
  }

  /** Offers the first step from which at least one task fits. */
  private offerEarliest(candidate: Candidate, job: PlanJob): void {
    const { machine } = candidate;
    const durationS = candidate.imagePullSeconds + job.durationSeconds;
    candidate.taskCount = 0;
    for (let step = 0; step < machine.stepTimesSeconds.length; step++) {
      const count = allowedTasks(machine, step, durationS, job);
      if (count > 0) {
        recordOffer(candidate, job, step, count, this.penalties.futureDiscount);
        return;
      }
    }
  }

  /** Starts tasks of an array where the candidate offers room. */
  private startArrayTasks(jobIndex: PlanJob, candidate: Candidate, tasks: number, starts: PlannedStart[]): void {
    const freeAtSeconds = elementAt(candidate.machine.stepTimesSeconds, candidate.step);
    starts.push({
      jobIndex: jobIndex.index,
      machineIndex: candidate.machineIndex,
      tasks,
      freeAtSeconds,
      startAtSeconds: candidate.startSeconds,
    });
    this.reserve(candidate, freeAtSeconds, candidate.imagePullSeconds + jobIndex.durationSeconds, tasks, jobIndex);
  }

  // ---- gangs

  private planGang(job: PlanJob, zone: ZoneName, draft: PlanDraft): number {
    const zones = job.singleZone ? [zone] : [zone, ...job.feasibleZones.filter((other) => other !== zone)];
    const candidates = this.candidatesInZones(job, zones);
    const search = new GangSearch(job, zone, candidates);
    const best = search.findEarliest(this.penalties.gangFutureDiscount);
    this.steps += search.steps;
    if (best === null) {
      draft.unplacedTasks.set(job.index, job.tasks);
      return UNPLACED_WAIT_SECONDS;
    }
    this.startGang(job, best, draft.starts);
    return best.startSeconds;
  }

  private startGang(
    jobIndex: PlanJob,
    { freeAtSeconds, startSeconds, allocations }: GangPlacement,
    starts: PlannedStart[],
  ): void {
    for (const { candidate, tasks } of allocations) {
      starts.push({
        jobIndex: jobIndex.index,
        machineIndex: candidate.machineIndex,
        tasks,
        freeAtSeconds,
        startAtSeconds: startSeconds,
      });
      this.reserve(candidate, freeAtSeconds, startSeconds - freeAtSeconds + jobIndex.durationSeconds, tasks, jobIndex);
    }
  }

  // ---- filling what is free now

  /**
   * Jobs beyond those that a round plans in full: what is free on machines now, after that plan, goes to them in order, so
   * that nothing stands idle because a round looks at so many jobs only. Returns the starts; all are for now. It ends after
   * `maxSteps`: with hundreds of machines free and hundreds of jobs the next round goes on.
   */
  backfill(plan: Plan, jobs: readonly PlanJob[], maxSteps: number): PlannedStart[] {
    this.begin(plan.machines);
    const stepLimit = this.steps + maxSteps;
    const least = minimumDemands(jobs);
    const hasRoom = (machine: PlanMachine): boolean =>
      elementAt(machine.stepTimesSeconds, 0) <= RESOURCE_TOLERANCE && least.some((demand) => fitsNow(machine, demand));
    const free = new Set(this.machines.filter(hasRoom).map(({ index }) => index));
    const failed: PlanJob[] = [];
    const starts: PlannedStart[] = [];
    for (const job of jobs) {
      if (free.size === 0 || this.steps >= stepLimit) break;
      // Room only shrinks here: what asks for as much as a job that found none finds none either.
      if (job.zoneAllowance || failed.some((other) => isAtLeastAsDemanding(job, other))) continue;
      const started = this.backfillJob(job, this.candidatesAmong(job, free));
      if (started.length === 0) failed.push(job);
      const used = started.map(({ machineIndex }) => this.machines[machineIndex] as PlanMachine);
      for (const { index: slot } of used.filter((machine) => !hasRoom(machine))) free.delete(slot);
      starts.push(...started);
    }
    return starts;
  }

  private backfillJob(job: PlanJob, candidates: readonly Candidate[]): PlannedStart[] {
    return job.isGang ? this.backfillGang(job, candidates) : this.backfillArray(job, candidates);
  }

  private backfillGang(job: PlanJob, candidates: readonly Candidate[]): PlannedStart[] {
    const starts: PlannedStart[] = [];
    for (const zone of job.singleZone ? job.feasibleZones : [null]) {
      const inZone = zone === null ? candidates : candidates.filter(({ machine }) => machine.zone === zone);
      const search = new GangSearch(job, zone ?? (job.feasibleZones[0] as ZoneName), inZone);
      const placement = search.placeAt(0);
      this.steps += search.steps;
      if (!placement) continue;
      this.startGang(job, placement, starts);
      break;
    }
    return starts;
  }

  private backfillArray(jobIndex: PlanJob, candidates: readonly Candidate[]): PlannedStart[] {
    const starts: PlannedStart[] = [];
    const offers: Candidate[] = [];
    for (const candidate of candidates) {
      if (!jobIndex.feasibleZones.includes(candidate.machine.zone)) continue;
      const count = allowedTasks(candidate.machine, 0, candidate.imagePullSeconds + jobIndex.durationSeconds, jobIndex);
      if (count === 0) continue;
      recordOffer(candidate, jobIndex, 0, count, this.penalties.futureDiscount);
      offers.push(candidate);
    }
    offers.sort((a, b) => (precedes(a, b) ? -1 : 1));
    let left = jobIndex.tasks;
    for (const candidate of offers) {
      if (left <= 0) break;
      const tasks = Math.min(left, candidate.taskCount);
      starts.push({
        jobIndex: jobIndex.index,
        machineIndex: candidate.machineIndex,
        tasks,
        freeAtSeconds: 0,
        startAtSeconds: candidate.imagePullSeconds,
      });
      this.reserve(candidate, 0, candidate.imagePullSeconds + jobIndex.durationSeconds, tasks, jobIndex);
      left -= tasks;
    }
    return starts;
  }
}
