/** Rank, the first step of a round: which waiting jobs may start, and in which order they are planned. */
import type { Job } from '../jobs/job.js';
import { pullSeconds } from '../machines/image_cache.js';
import type { TeamName } from '../types.js';
import type { ClusterState } from './cluster_state.js';
import { isFeasibleType } from './placement_constraints.js';
import { rankingScore, urgencyFactor } from './priority.js';
import { teamsWithinGuarantee } from './team_guarantees.js';
import { isOverdue, penaltyFactor, waitedSeconds } from './waiting_time.js';

/** A waiting job with the tasks of it that the round plans. */
export interface RankedJob {
  readonly job: Job;
  /** How many of its waiting tasks are planned; of a gang all. */
  readonly tasks: number;
  readonly waitedSeconds: number;
  /** Groups are planned one after the other, higher ones first; within a group the smallest score goes first. */
  readonly group: RankGroup;
  readonly score: number;
}

/** Overdue jobs by how long they have waited, then teams within their guarantee, then the rest; faulty ones last. */
const RANK_GROUPS = { overdue: 2, guaranteed: 1, others: 0, faulty: -1 } as const;
type RankGroup = (typeof RANK_GROUPS)[keyof typeof RANK_GROUPS];

/** Of one array a round plans so many tasks, and more where there are more machines for them. */
const MIN_ARRAY_TASKS_PLANNED = 400;
const ARRAY_TASKS_PLANNED_PER_MACHINE = 2;
/** Of an overdue array so many tasks are planned, so that others go on too. */
const OVERDUE_ARRAY_TASKS = 20;
/** Of an array for which placement penalties have ceased to count so many tasks are planned: enough for it to go on. */
const UNPENALIZED_ARRAY_TASKS = 4;

/**
 * Returns the jobs that wait and may start now, in the order in which they are planned (the relative priority of Section
 * II-A of the paper). Smallest first alone would let the largest wait for as long as smaller work keeps coming: a job that
 * has waited too long goes before all others until it has begun. Jobs of a team at its limit sit the round out.
 */
export function rankWaitingJobs(cluster: ClusterState): RankedJob[] {
  const guaranteedTeams = teamsWithinGuarantee(cluster);
  /** Teams whose limit is kept free for an overdue gang: small work would fill it as fast as it comes free. */
  const heldTeams = new Set<TeamName>();
  const ranked: RankedJob[] = [];
  for (const job of cluster.jobs.active) {
    if (!mayStartNow(cluster, job)) continue;
    const waitingTasks = tasksWithinLimit(cluster, job);
    if (waitingTasks > 0) ranked.push(rankJob(cluster, job, waitingTasks, guaranteedTeams));
    else if (job.isGang && isOverdue(cluster, job)) heldTeams.add(job.spec.team);
  }
  return ranked
    .filter(({ job, group }) => group === RANK_GROUPS.overdue || !heldTeams.has(job.spec.team))
    .sort(
      (first, second) =>
        second.group - first.group || first.score - second.score || (first.job.id < second.job.id ? -1 : 1),
    );
}

/** Whether a job waits for a start that may happen now, as far as it and work of previous terms go. */
function mayStartNow(cluster: ClusterState, job: Job): boolean {
  // Services have been placed before, by best fit outside the search (service_placement.ts).
  if (job.isService || job.pendingCount <= 0 || job.retries.isDelayed(cluster.context.now.monotonic)) return false;
  return cluster.previousTerms.startableTasks(job) > 0;
}

/** How many of the job's waiting tasks its team's limit allows now; of a gang all or none. */
function tasksWithinLimit(cluster: ClusterState, job: Job): number {
  const maxTasks = Math.max(MIN_ARRAY_TASKS_PLANNED, ARRAY_TASKS_PLANNED_PER_MACHINE * cluster.machines.size);
  const pending = Math.min(job.startableCount, maxTasks);
  const allowed = cluster.quotas.remainingTasks(job.spec);
  // A job that fails wherever it runs is tried with one task at a time.
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

/** How many tasks of a job the round plans, of those that wait and its team's limit allows. */
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

/** The priority function f(j), divided by the urgency of the job's objectives; the smallest goes first. */
function jobRankingScore(cluster: ClusterState, job: Job, tasks: number): number {
  const { settings, tuning } = cluster.context;
  const { priority_base, urgency: maxBoost, urgency_horizon_s: horizonSeconds } = tuning.scheduler;
  const waited = waitedSeconds(cluster, job);
  const runSeconds = cluster.runtimeEstimator.expectedSeconds(job.spec);
  const times = { waitedSeconds: waited, pullSeconds: slowestPullSeconds(cluster, job), runSeconds };
  const score = rankingScore(job.spec, tasks, runSeconds, waited, priority_base);
  return score / urgencyFactor(job.spec, settings.objectives, times, { maxBoost, horizonSeconds });
}

/** An image pull at the pace of the slowest type that takes the job: how long it takes if nothing is cached. */
function slowestPullSeconds(cluster: ClusterState, job: Job): number {
  let slowestGbPerSecond = Number.POSITIVE_INFINITY;
  for (const type of cluster.machineTypes.values()) {
    if (!type.zones.some((zone) => isFeasibleType(job, type, zone))) continue;
    slowestGbPerSecond = Math.min(slowestGbPerSecond, type.imagePullGbPerSecond);
  }
  return Number.isFinite(slowestGbPerSecond) ? pullSeconds(job.spec.imageGb, slowestGbPerSecond) : 0;
}
