/**
 * Makes a plan from one assignment of zones, the third step of a round. This is the lower layer of EVO-GP, Algorithm 2
 * of the EVO-GP paper.
 */
import type { ZoneName } from '../types.js';
import { backfill } from './backfill.js';
import { CandidateHeap } from './candidate_heap.js';
import { type Candidate, recordOffer } from './candidates.js';
import { allowedTasks, elementAt, fittingTasks } from './capacity_timeline.js';
import { fitness, WeightedWaits } from './fitness.js';
import { GangSearch } from './gang_search.js';
import type { Plan, PlanJob, PlanMachine, PlannedStart } from './plan_types.js';
import { PlanWorkspace } from './plan_workspace.js';
import { type FitnessWeights, NO_PENALTIES, type PlacementPenalties } from './policy.js';

/** Wait that the fitness assumes for a gang or for array tasks for which the plan has no machine, in seconds. */
const UNPLACED_WAIT_SECONDS = 600;
/** Number of tasks deducted per second until a machine is first available, when zones are compared by free capacity. */
const LATER_CAPACITY_DISCOUNT = 1e-3;
/** Planning an array takes at most `TURNS_PER_CANDIDATE` turns for each of its candidates, plus `EXTRA_TURNS`. */
const TURNS_PER_CANDIDATE = 2;
const EXTRA_TURNS = 4;
/** Number of planned tasks from which an array uses free capacity in all of its zones, not in one zone per round. */
const LARGE_ARRAY_TASKS = 400;

/** The decisions of the plan in progress. */
interface PlanDraft {
  readonly starts: PlannedStart[];
  /** Number of tasks that the plan could not place, by job index. */
  readonly unplacedTasks: Map<number, number>;
}

/**
 * Plans all jobs in ranking order, each in the zone that its gene names. Each job gets its earliest feasible start
 * (Eq. (12)). Each task goes to the fitting machine with the least free capacity in its scarcest resource (best fit).
 */
export class Planner {
  private readonly workspace: PlanWorkspace;

  constructor(
    private readonly weights: FitnessWeights,
    penalties: PlacementPenalties = NO_PENALTIES,
  ) {
    this.workspace = new PlanWorkspace(penalties);
  }

  /** Plan steps used so far by all plans and backfills. */
  get steps(): number {
    return this.workspace.steps;
  }

  /**
   * Returns a plan for the jobs without modifying the machines. `genes` has one zone for each job. With null, arrays
   * without a zone spread use all of their feasible zones at once.
   */
  plan(machines: readonly PlanMachine[], jobs: readonly PlanJob[], genes: readonly ZoneName[] | null): Plan {
    this.workspace.begin(machines);
    const draft: PlanDraft = { starts: [], unplacedTasks: new Map() };
    const waits = new WeightedWaits();
    const stepsBefore = this.steps;
    jobs.forEach((job, index) => {
      waits.add(job, this.planJob(job, genes ? (genes[index] as ZoneName) : null, draft));
    });
    const planned = this.workspace.machines;
    const cost = fitness(this.weights, waits, planned);
    return { ...draft, machines: planned, cost, steps: this.steps - stepsBefore };
  }

  /** Starts jobs on the capacity that a plan leaves free now (see backfill.ts). It ends after `maxSteps` plan steps. */
  backfill(plan: Plan, jobs: readonly PlanJob[], maxSteps: number): PlannedStart[] {
    return backfill(this.workspace, { plan, jobs, maxSteps });
  }

  /** Returns the mean wait of the job's tasks from now, in seconds. */
  private planJob(job: PlanJob, gene: ZoneName | null, draft: PlanDraft): number {
    if (this.usesAllZones(job, gene)) {
      return job.isGang
        ? this.planGang(job, job.feasibleZones[0] as ZoneName, draft)
        : this.planArray(job, job.feasibleZones, job.tasks, draft);
    }
    const zone = gene ?? this.zoneWithMostFreeCapacity(job);
    if (job.isGang) return this.planGang(job, zone, draft);
    if (!job.zoneAllowance) return this.planArray(job, [zone], job.tasks, draft);
    return this.planSpreadArray(job, zone, job.zoneAllowance, draft);
  }

  private usesAllZones(job: PlanJob, gene: ZoneName | null): boolean {
    const isLargeArray = !job.isGang && !job.singleZone && job.tasks >= LARGE_ARRAY_TASKS;
    return (gene === null || isLargeArray) && !job.zoneAllowance && !(job.isGang && job.singleZone);
  }

  /**
   * Plans an array with a zone spread, which needs several zones. The zone of its gene is used first. Each zone
   * receives no more tasks than its allowance.
   */
  private planSpreadArray(
    job: PlanJob,
    firstZone: ZoneName,
    allowance: ReadonlyMap<ZoneName, number>,
    draft: PlanDraft,
  ): number {
    let left = job.tasks;
    let totalWaitSeconds = 0;
    for (const zone of [firstZone, ...job.feasibleZones.filter((other) => other !== firstZone)]) {
      const tasks = Math.min(left, allowance.get(zone) ?? 0);
      if (tasks <= 0) continue;
      const zoneDraft: PlanDraft = { starts: draft.starts, unplacedTasks: new Map() };
      totalWaitSeconds += tasks * this.planArray(job, [zone], tasks, zoneDraft);
      left -= tasks - (zoneDraft.unplacedTasks.get(job.index) ?? 0);
    }
    if (left > 0) draft.unplacedTasks.set(job.index, left);
    return (totalWaitSeconds + left * UNPLACED_WAIT_SECONDS) / Math.max(1, job.tasks);
  }

  /**
   * Returns the feasible zone whose candidates have free capacity for the most tasks of the job from their first step.
   */
  private zoneWithMostFreeCapacity(job: PlanJob): ZoneName {
    const tasksByZone = new Map<ZoneName, number>();
    for (const { machine } of this.workspace.candidatesInZones(job, job.feasibleZones)) {
      const discount = elementAt(machine.stepTimesSeconds, 0) * LATER_CAPACITY_DISCOUNT;
      const tasks = fittingTasks(machine, 0, job.durationSeconds, job) - discount;
      tasksByZone.set(machine.zone, (tasksByZone.get(machine.zone) ?? 0) + tasks);
    }
    let best = job.feasibleZones[0] as ZoneName;
    for (const zone of job.feasibleZones) {
      if ((tasksByZone.get(zone) ?? 0) > (tasksByZone.get(best) ?? 0)) best = zone;
    }
    return best;
  }

  /**
   * Places tasks of an array and returns their mean wait in seconds. In each turn, the candidate with the best offer
   * receives as many tasks as fit, and its offer is then recomputed.
   */
  private planArray(job: PlanJob, zones: readonly ZoneName[], tasks: number, draft: PlanDraft): number {
    const candidates = this.workspace.candidatesInZones(job, zones);
    for (const candidate of candidates) this.offerEarliest(candidate, job);
    const heap = new CandidateHeap(candidates.filter(({ taskCount }) => taskCount > 0));
    const maxTurns = TURNS_PER_CANDIDATE * candidates.length + EXTRA_TURNS;
    let left = tasks;
    let totalWaitSeconds = 0;
    let lastStartSeconds = 0;
    for (let turn = 0; left > 0 && turn < maxTurns; turn++) {
      const best = heap.top;
      if (!best) break;
      const taken = Math.min(left, best.taskCount);
      this.startArrayTasks(job, best, taken, draft.starts);
      totalWaitSeconds += taken * best.startSeconds;
      lastStartSeconds = best.startSeconds;
      left -= taken;
      this.workspace.steps += 1;
      this.offerEarliest(best, job);
      heap.updateTop();
    }
    if (left > 0) draft.unplacedTasks.set(job.index, (draft.unplacedTasks.get(job.index) ?? 0) + left);
    const unplacedWaitSeconds = candidates.length > 0 ? lastStartSeconds + job.durationSeconds : UNPLACED_WAIT_SECONDS;
    return (totalWaitSeconds + left * unplacedWaitSeconds) / Math.max(1, tasks);
  }

  /**
   * Applies Eq. (12) to one machine. Records an offer for the first step from which at least one task fits. If there is
   * no such step, the candidate offers no tasks.
   */
  private offerEarliest(candidate: Candidate, job: PlanJob): void {
    const { machine } = candidate;
    const occupiedSeconds = candidate.imagePullSeconds + job.durationSeconds;
    candidate.taskCount = 0;
    for (let step = 0; step < machine.stepTimesSeconds.length; step++) {
      const taskCount = allowedTasks(machine, step, occupiedSeconds, job);
      if (taskCount === 0) continue;
      recordOffer(candidate, job, step, taskCount, this.workspace.penalties.futureDiscount);
      return;
    }
  }

  private startArrayTasks(job: PlanJob, candidate: Candidate, tasks: number, starts: PlannedStart[]): void {
    const { machineIndex, startSeconds, imagePullSeconds } = candidate;
    const freeAtSeconds = elementAt(candidate.machine.stepTimesSeconds, candidate.step);
    const start = { jobIndex: job.index, machineIndex, tasks, freeAtSeconds, startAtSeconds: startSeconds };
    this.workspace.addStart(start, job, candidate, imagePullSeconds + job.durationSeconds, starts);
  }

  private planGang(job: PlanJob, zone: ZoneName, draft: PlanDraft): number {
    const zones = job.singleZone ? [zone] : [zone, ...job.feasibleZones.filter((other) => other !== zone)];
    const search = new GangSearch(job, zone, this.workspace.candidatesInZones(job, zones));
    const placement = search.findEarliest(this.workspace.penalties.gangFutureDiscount);
    this.workspace.steps += search.steps;
    if (placement === null) {
      draft.unplacedTasks.set(job.index, job.tasks);
      return UNPLACED_WAIT_SECONDS;
    }
    this.workspace.addGangStarts(job, placement, draft.starts);
    return placement.startSeconds;
  }
}
