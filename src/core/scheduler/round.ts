/** A planning round with its steps: rank, search, plan, backfill and apply (Section III-A of the EVO-GP paper). */
import { applyReservations, applyStarts } from './apply.js';
import type { SchedulableCluster } from './cluster_state.js';
import { FreeCapacity } from './free_capacity.js';
import { findOverdueGangReservations } from './gang_reservation.js';
import { PlanInput } from './plan_input.js';
import type { PlanJob, PlannedStart } from './plan_types.js';
import { Planner } from './planner.js';
import { type RoundPolicy, roundPolicy } from './policy.js';
import { type RankedJob, rankWaitingJobs } from './ranking.js';
import { addWaitingReplicas } from './replica_demand.js';
import type { RoundResult, UnplannedTasks } from './round_result.js';
import { type SearchResult, searchZones } from './zone_search.js';

/** Maximum number of jobs with room, beyond those planned in full, that a round considers for the backfill. */
const MAX_BACKFILL_JOBS = 250;
/** Maximum number of jobs, beyond those planned in full, for which a round reports that machines are missing. */
const MAX_UNPLANNED_JOBS = 250;

/** The results of search, plan and backfill, which depend on nothing but the snapshot, the policy and the seed. */
interface PlannedRound extends SearchResult {
  readonly plannedJobs: number;
  /** Starts of jobs that were not planned in full. */
  readonly backfilled: readonly PlannedStart[];
  readonly unplannedTasks: readonly UnplannedTasks[];
  readonly steps: number;
}

/** Plans the waiting jobs and starts the tasks that can start now. The same state and seed give the same result. */
export function scheduleRound(cluster: SchedulableCluster, seed: number): RoundResult {
  const policy = roundPolicy(cluster.context.tuning.scheduler);
  cluster.previousTerms.updateUnreconciled();
  const ranked = rankWaitingJobs(cluster);
  const input = new PlanInput(cluster, ranked);
  const planned = planRound(addJobs(cluster, input, ranked, policy), input, policy, seed);
  const capacityPlan = addWaitingReplicas(cluster, input, planned.capacityPlan);
  const startedTasks = applyRound(cluster, input, planned);
  cluster.context.log('planning round finished', {
    waitingJobs: ranked.length,
    plannedJobs: planned.plannedJobs,
    machines: input.machines.length,
    planSteps: planned.steps,
    startedTasks,
    cost: planned.plan.cost,
  });
  const { jobs, planJobs, machines } = input;
  const { unplannedTasks, steps } = planned;
  return { capacityPlan, jobs, planJobs, machines, unplannedTasks, steps };
}

/** The jobs of a round, in order of rank. */
interface RoundJobs {
  /** The jobs that are planned in full. */
  readonly planned: readonly PlanJob[];
  /** Jobs that are not planned in full, but may be started by the backfill. There is room for one of their tasks now. */
  readonly backfill: readonly PlanJob[];
  /** Jobs that are not planned in full, and for which machines may be missing. */
  readonly unplanned: readonly PlanJob[];
}

/** Adds the jobs that the round considers to the input. Jobs without room do not take the place of jobs with room. */
function addJobs(
  cluster: SchedulableCluster,
  input: PlanInput,
  ranked: readonly RankedJob[],
  { jobsPlanned }: RoundPolicy,
): RoundJobs {
  const planned: PlanJob[] = [];
  const backfill: PlanJob[] = [];
  const unplanned: PlanJob[] = [];
  const capacity = ranked.length > jobsPlanned ? FreeCapacity.ofSchedulable(cluster) : null;
  for (const waiting of ranked) {
    const isUnplanned = planned.length >= jobsPlanned;
    const mayBackfill =
      isUnplanned && backfill.length < MAX_BACKFILL_JOBS && capacity?.hasRoomForTask(waiting.job) === true;
    const isMissingMachines = isUnplanned && unplanned.length < MAX_UNPLANNED_JOBS;
    if (isUnplanned && !mayBackfill && !isMissingMachines) continue;
    const job = input.addJob(waiting);
    if (job === null) continue;
    if (!isUnplanned) planned.push(job);
    if (mayBackfill) backfill.push(job);
    if (isMissingMachines) unplanned.push(job);
  }
  return { planned, backfill, unplanned };
}

function planRound(jobs: RoundJobs, { planMachines }: PlanInput, policy: RoundPolicy, seed: number): PlannedRound {
  const planner = new Planner(policy.weights, policy.penalties);
  const found = searchZones(planner, { machines: planMachines, jobs: jobs.planned, seed }, policy.search);
  const backfilled =
    jobs.backfill.length > 0 ? planner.backfill(found.plan, jobs.backfill, policy.maxBackfillSteps) : [];
  const unplannedTasks = findUnplannedTasks(jobs.unplanned, backfilled);
  return { ...found, plannedJobs: jobs.planned.length, backfilled, unplannedTasks, steps: planner.steps };
}

function findUnplannedTasks(jobs: readonly PlanJob[], starts: readonly PlannedStart[]): UnplannedTasks[] {
  const started = new Map<number, number>();
  for (const { jobIndex, tasks } of starts) started.set(jobIndex, (started.get(jobIndex) ?? 0) + tasks);
  return jobs
    .map((job) => ({ job, tasks: job.tasks - (started.get(job.index) ?? 0) }))
    .filter(({ tasks }) => tasks > 0);
}

/** Returns the number of tasks started. */
function applyRound(cluster: SchedulableCluster, input: PlanInput, { plan, backfilled }: PlannedRound): number {
  const startedTasks = applyStarts(cluster, [...plan.starts, ...backfilled], input);
  applyReservations(cluster, findOverdueGangReservations(cluster, plan.starts, input));
  return startedTasks;
}
