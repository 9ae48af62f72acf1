/** Plan, the third step of a round and the lower layer of EVO-GP: Algorithm 2 of the paper. */
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

/** What the fitness takes a task to wait that no machine of the plan can take. */
const UNPLACED_WAIT_SECONDS = 600;
/** Where zones are compared by free capacity, a machine that comes free later counts so many tasks less per second. */
const LATER_CAPACITY_DISCOUNT = 1e-3;
/** An array takes at most so many turns over its candidates. */
const TURNS_PER_CANDIDATE = 2;
const EXTRA_TURNS = 4;
/** An array of which so many tasks are planned takes free capacity in any zone, not in one zone a round. */
const LARGE_ARRAY_TASKS = 400;

/** What the plan in progress has decided so far. */
interface PlanDraft {
  readonly starts: PlannedStart[];
  /** By job index, tasks that no machine of the plan can take. */
  readonly unplacedTasks: Map<number, number>;
}

/**
 * Plans all jobs in the order of rank, each in the zone that its gene names. Each job takes its earliest feasible start
 * (Eq. (12)), and each task the fitting machine with the least free capacity in its scarcest resource (best fit).
 */
export class Planner {
  private readonly workspace: PlanWorkspace;

  constructor(
    private readonly weights: FitnessWeights,
    penalties: PlacementPenalties = NO_PENALTIES,
  ) {
    this.workspace = new PlanWorkspace(penalties);
  }

  /** Plan steps spent so far, over all plans and backfills. */
  get steps(): number {
    return this.workspace.steps;
  }

  /** `genes`: a zone for each job; null plans arrays over all of their zones at once. The machines are left as they are. */
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

  /** Starts jobs on what a plan leaves free now (backfill.ts), until that has taken `maxSteps`. */
  backfill(plan: Plan, jobs: readonly PlanJob[], maxSteps: number): PlannedStart[] {
    return backfill(this.workspace, { plan, jobs, maxSteps });
  }

  /** Returns the job's mean wait from now, in seconds. */
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

  /** A job with a zone spread needs several zones: the gene names the first, the others follow within the allowance. */
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

  /** The zone whose feasible machines take most tasks of the job now. */
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

  /** Each turn the candidate with the best offer takes as many tasks as it can, and offers again. */
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

  /** Eq. (12) for one machine: offers the first step from which at least one task fits, or none. */
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
    this.workspace.start(start, job, candidate, imagePullSeconds + job.durationSeconds, starts);
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
    this.workspace.startGang(job, placement, draft.starts);
    return placement.startSeconds;
  }
}
