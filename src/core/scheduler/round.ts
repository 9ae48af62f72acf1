/** A planning round with its steps: rank, search, plan, backfill and apply (Section III-A of the EVO-GP paper). */
import { applyReservations, applyStarts } from './apply.js';
import type { SchedulableCluster } from './cluster_state.js';
import { findOverdueGangReservations } from './gang_reservation.js';
import { PlanInput } from './plan_input.js';
import type { PlanJob, PlannedStart } from './plan_types.js';
import { Planner } from './planner.js';
import { type RoundPolicy, roundPolicy } from './policy.js';
import { rankWaitingJobs } from './ranking.js';
import { addWaitingReplicas } from './replica_demand.js';
import type { RoundResult, UnplannedTasks } from './round_result.js';
import { type SearchResult, searchZones } from './zone_search.js';

/** Maximum number of jobs, beyond those planned in full, that a round considers for the backfill. */
const MAX_BACKFILL_JOBS = 250;

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
  for (const job of ranked.slice(0, policy.jobsPlanned + MAX_BACKFILL_JOBS)) input.addJob(job);
  const planned = planRound(input, policy, seed);
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

function planRound({ planMachines, planJobs }: PlanInput, policy: RoundPolicy, seed: number): PlannedRound {
  const planner = new Planner(policy.weights, policy.penalties);
  const jobs = planJobs.slice(0, policy.jobsPlanned);
  const others = planJobs.slice(policy.jobsPlanned);
  const found = searchZones(planner, { machines: planMachines, jobs, seed }, policy.search);
  const backfilled = others.length > 0 ? planner.backfill(found.plan, others, policy.maxBackfillSteps) : [];
  const unplannedTasks = findUnplannedTasks(others, backfilled);
  return { ...found, plannedJobs: jobs.length, backfilled, unplannedTasks, steps: planner.steps };
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
