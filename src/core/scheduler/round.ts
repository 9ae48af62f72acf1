/** One planning round from first to last: rank, search, plan, backfill, apply (Section III-A of the paper). */
import { applyReservations, applyStarts } from './apply.js';
import type { SchedulableCluster } from './cluster_state.js';
import { findOverdueGangReservations } from './gang_reservation.js';
import { PlanInput } from './plan_input.js';
import type { PlanJob, PlannedStart } from './plan_types.js';
import { Planner } from './planner.js';
import { roundPolicy } from './policy.js';
import { rankWaitingJobs } from './ranking.js';
import { addWaitingReplicas } from './replica_demand.js';
import type { RoundResult, UnplannedTasks } from './round_result.js';
import { searchZones } from './zone_search.js';

/** Jobs beyond those planned in full that a round offers what is free now. */
const MAX_BACKFILL_JOBS = 250;

/** Plans the waiting jobs and starts what can start now. The same state and seed give the same result. */
export function scheduleRound(cluster: SchedulableCluster, seed: number): RoundResult {
  const policy = roundPolicy(cluster.context.tuning.scheduler);
  cluster.previousTerms.updateUnreconciled();
  const ranked = rankWaitingJobs(cluster);
  const input = new PlanInput(cluster, ranked);
  for (const job of ranked.slice(0, policy.jobsPlanned + MAX_BACKFILL_JOBS)) input.addJob(job);
  const { planMachines, machines, jobs, planJobs } = input;
  const plannedInFull = planJobs.slice(0, policy.jobsPlanned);
  const others = planJobs.slice(policy.jobsPlanned);

  const planner = new Planner(policy.weights, policy.penalties);
  const search = { machines: planMachines, jobs: plannedInFull, seed };
  const { plan, capacityPlan } = searchZones(planner, search, policy.search);
  const backfilled = others.length > 0 ? planner.backfill(plan, others, policy.maxBackfillSteps) : [];
  const capacityWithReplicas = addWaitingReplicas(cluster, input, capacityPlan);

  const startedTasks = applyStarts(cluster, [...plan.starts, ...backfilled], input);
  applyReservations(cluster, findOverdueGangReservations(cluster, plan.starts, input));
  cluster.context.log('planning round', {
    waitingJobs: ranked.length,
    plannedJobs: plannedInFull.length,
    machines: machines.length,
    planSteps: planner.steps,
    startedTasks,
    cost: plan.cost,
  });
  const unplannedTasks = findUnplannedTasks(others, backfilled);
  return { capacityPlan: capacityWithReplicas, jobs, planJobs, machines, unplannedTasks, steps: planner.steps };
}

function findUnplannedTasks(jobs: readonly PlanJob[], starts: readonly PlannedStart[]): UnplannedTasks[] {
  const started = new Map<number, number>();
  for (const { jobIndex, tasks } of starts) started.set(jobIndex, (started.get(jobIndex) ?? 0) + tasks);
  return jobs
    .map((job) => ({ job, tasks: job.tasks - (started.get(job.index) ?? 0) }))
    .filter(({ tasks }) => tasks > 0);
}
