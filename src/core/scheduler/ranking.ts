/**
 * Ranks the waiting jobs that may start now, the first step of a round. Jobs are planned in ranking order.
 */
import type { Job } from '../jobs/job.js';
import { pullSeconds } from '../machines/image_cache.js';
import type { TeamName } from '../types.js';
import type { ClusterState } from './cluster_state.js';
import { hasStartableTasks, isFeasibleType } from './placement_constraints.js';
import { rankingScore, urgencyFactor } from './priority.js';
import { teamsWithinGuarantee } from './team_guarantees.js';
import { isOverdue, penaltyFactor, waitedSeconds } from './waiting_time.js';

/** A waiting job with its rank and the number of its tasks to plan in this round. */
export interface RankedJob {
  readonly job: Job;
  /** Number of waiting tasks to plan. For a gang this is all of its tasks. */
  readonly tasks: number;
  readonly waitedSeconds: number;
  /** Higher groups are planned before lower ones. Within a group, jobs are planned in ascending order of score. */
  readonly group: RankGroup;
  readonly score: number;
}

/**
 * Overdue jobs come first, with the longest wait at the front. Jobs of teams within their guarantee follow, then all
 * other jobs, and jobs that fail on every machine come last.
 */
const RANK_GROUPS = { overdue: 2, guaranteed: 1, others: 0, faulty: -1 } as const;
type RankGroup = (typeof RANK_GROUPS)[keyof typeof RANK_GROUPS];

/**
 * A round plans at most `ARRAY_TASK_LIMIT_PER_MACHINE` tasks of one array for each machine. The limit is never lower
 * than `MIN_ARRAY_TASK_LIMIT`.
 */
const MIN_ARRAY_TASK_LIMIT = 400;
const ARRAY_TASK_LIMIT_PER_MACHINE = 2;
/** Maximum number of tasks planned for an overdue array in one round, so that other jobs also make progress. */
const OVERDUE_ARRAY_TASKS = 20;
/**
 * Maximum number of tasks planned in one round for an array without GPUs whose placement penalties no longer apply.
 * This is enough for the array to make progress.
 */
export const UNPENALIZED_ARRAY_TASKS = 4;

/**
 * Returns the waiting jobs that may start now, in the order in which they are planned (the relative priority of Section
 * II-A of the EVO-GP paper). Ranking the smallest jobs first could starve large jobs while smaller ones keep arriving.
 * Therefore an overdue job precedes all others until its first start. Jobs of a team at its limit are left out.
 */
export function rankWaitingJobs(cluster: ClusterState): RankedJob[] {
  const guaranteedTeams = teamsWithinGuarantee(cluster);
  /**
   * Teams whose remaining quota is kept for an overdue gang. Otherwise smaller jobs of the team would use the quota as
   * soon as it becomes available.
   */
  const teamsWithReservedQuota = new Set<TeamName>();
  const ranked: RankedJob[] = [];
  for (const job of cluster.jobs.active) {
    // Services are placed before the round, by best fit outside the search (service_placement.ts).
    if (job.isService || job.pendingCount <= 0 || !hasStartableTasks(cluster, job)) continue;
    const waitingTasks = tasksWithinLimit(cluster, job);
    if (waitingTasks > 0) ranked.push(rankJob(cluster, job, waitingTasks, guaranteedTeams));
    else if (job.isGang && isOverdue(cluster, job)) teamsWithReservedQuota.add(job.spec.team);
  }
  return ranked
    .filter(({ job, group }) => group === RANK_GROUPS.overdue || !teamsWithReservedQuota.has(job.spec.team))
    .sort(
      (first, second) =>
        second.group - first.group || first.score - second.score || (first.job.id < second.job.id ? -1 : 1),
    );
}

/** Returns how many of the job's waiting tasks its team's limit allows now. For a gang this is all of them or none. */
function tasksWithinLimit(cluster: ClusterState, job: Job): number {
  const maxTasks = Math.max(MIN_ARRAY_TASK_LIMIT, ARRAY_TASK_LIMIT_PER_MACHINE * cluster.machines.size);
  const pending = Math.min(job.startableCount, maxTasks);
  const allowed = cluster.quotas.remainingTasks(job.spec);
  // An array that fails on every machine is retried with one task at a time.
  if (job.isFaulty && !job.isGang) return job.placedCount === 0 ? Math.min(pending, allowed, 1) : 0;
  if (job.isGang) return pending <= allowed ? pending : 0;
  return Math.min(pending, allowed);
}

function rankJob(
  cluster: ClusterState,
  job: Job,
  waitingTasks: number,
  guaranteedTeams: ReadonlySet<TeamName>,
): RankedJob {
  const overdue = isOverdue(cluster, job);
  const tasks = plannedTasks(cluster, job, waitingTasks, overdue);
  const waited = waitedSeconds(cluster, job);
  if (overdue) return { job, tasks, waitedSeconds: waited, group: RANK_GROUPS.overdue, score: -waited };
  const group = rankGroupOf(job, guaranteedTeams);
  return { job, tasks, waitedSeconds: waited, group, score: jobRankingScore(cluster, job, tasks) };
}

/** Returns how many tasks of a job the round plans. `waitingTasks` is the number that its team's limit allows. */
function plannedTasks(cluster: ClusterState, job: Job, waitingTasks: number, overdue: boolean): number {
  if (job.isGang) return waitingTasks;
  const tasks = overdue ? Math.min(waitingTasks, OVERDUE_ARRAY_TASKS) : waitingTasks;
  const isUnpenalized = job.spec.gpus === 0 && penaltyFactor(cluster, job) === 0;
  return isUnpenalized ? Math.min(tasks, UNPENALIZED_ARRAY_TASKS) : tasks;
}

function rankGroupOf(job: Job, guaranteedTeams: ReadonlySet<TeamName>): RankGroup {
  if (job.isFaulty) return RANK_GROUPS.faulty;
  return guaranteedTeams.has(job.spec.team) ? RANK_GROUPS.guaranteed : RANK_GROUPS.others;
}

/**
 * Returns the priority function f(j) divided by the urgency of the job's objectives. Lower scores are planned first.
 */
function jobRankingScore(cluster: ClusterState, job: Job, tasks: number): number {
  const { settings, tuning } = cluster.context;
  const { priority_base, urgency: maxBoost, urgency_horizon_s: horizonSeconds } = tuning.scheduler;
  const waited = waitedSeconds(cluster, job);
  const runSeconds = cluster.runtimeEstimator.expectedSeconds(job.spec);
  const times = { waitedSeconds: waited, pullSeconds: slowestPullSeconds(cluster, job), runSeconds };
  const score = rankingScore(job.spec, tasks, runSeconds, waited, priority_base);
  return score / urgencyFactor(job.spec, settings.objectives, times, { maxBoost, horizonSeconds });
}

/**
 * Returns the seconds for a full image pull on the feasible machine type with the slowest pull rate, or 0 if no type is
 * feasible.
 */
function slowestPullSeconds(cluster: ClusterState, job: Job): number {
  let slowestGbPerSecond = Number.POSITIVE_INFINITY;
  for (const type of cluster.machineTypes.values()) {
    if (!type.zones.some((zone) => isFeasibleType(job, type, zone))) continue;
    slowestGbPerSecond = Math.min(slowestGbPerSecond, type.imagePullGbPerSecond);
  }
  return Number.isFinite(slowestGbPerSecond) ? pullSeconds(job.spec.imageGb, slowestGbPerSecond) : 0;
}
