import type { Job } from '../jobs/job.js';
import { pullSeconds } from '../machines/image_cache.js';
import type { Cluster } from '../state/cluster.js';
import type { TeamName } from '../types.js';
import { isFeasibleType } from './placement_constraints.js';
import { rankingScore, urgencyFactor } from './priority.js';

/** A waiting job with the tasks of it that the round plans. */
export interface RankedJob {
  readonly job: Job;
  readonly tasks: number;
  readonly waitedSeconds: number;
  /** Groups go one after the other, higher ones first; within a group the smallest value does. */
  readonly group: RankGroup;
  readonly score: number;
}

/** Overdue jobs by how long they have waited, then teams within their guarantee, then the rest; faulty ones last. */
const RANK_GROUPS = { overdue: 2, guaranteed: 1, others: 0, faulty: -1 } as const;
type RankGroup = (typeof RANK_GROUPS)[keyof typeof RANK_GROUPS];

/** Of one array a round plans so many tasks, and more where there are more machines for them. */
const MIN_ARRAY_TASKS_PLANNED = 400;
const ARRAY_TASKS_PLANNED_PER_MACHINE = 2;
/** Of an array that has waited too long so many tasks are enough, so that others go on too. */
const OVERDUE_ARRAY_TASKS = 20;
/** Of an array that takes whatever room there is, so many tasks are enough to go on. */
const UNPENALIZED_ARRAY_TASKS = 4;
/** Placement penalties count in full for so long, and not at all after twice that. */
const FULL_PENALTY_SECONDS = 35;

/** Seconds since the job was submitted. */
export const waitedSeconds = ({ context }: Cluster, job: Job): number =>
  Math.max(0, (context.now.wallClock - job.submittedAt) / 1000);

/** Whether a job has waited too long and has not begun. */
export function isOverdue(cluster: Cluster, job: Job): boolean {
  return job.startTerm === 0 && waitedSeconds(cluster, job) > cluster.context.tuning.scheduler.overdue_after_s;
}

/**
 * How much placement penalties count for a job, 1 to 0: nothing may keep a job of which nothing runs waiting beside room
 * for ever.
 */
export function penaltyFactor({ context }: Cluster, job: Job): number {
  if (job.placements.size > 0) return 1;
  const { monotonic, wallClock } = context.now;
  const inactiveS = (job.startTerm === 0 ? wallClock - job.submittedAt : monotonic - job.inactiveSince) / 1000;
  return Math.min(1, Math.max(0, 1 - (inactiveS - FULL_PENALTY_SECONDS) / FULL_PENALTY_SECONDS));
}

/** Whether teams' unfinished work fits their guarantees: then it need not wait for others. */
function teamsWithinGuarantee(cluster: Cluster): Set<TeamName> {
  const demands = new Map<TeamName, { cpus: number; gpus: number }>();
  for (const { spec, state, doneTasks } of cluster.jobs.active) {
    if (state !== 'accepted') continue;
    const demand = demands.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const unfinished = spec.taskCount - doneTasks.count;
    demand.cpus += unfinished * spec.cpus;
    demand.gpus += unfinished * spec.gpus;
    demands.set(spec.team, demand);
  }
  const found = new Set<TeamName>();
  for (const { name, guaranteedCpus, guaranteedGpus } of cluster.quotas.teamsInOrder()) {
    const demand = demands.get(name);
    if (!demand || (guaranteedCpus <= 0 && guaranteedGpus <= 0)) continue;
    const fits =
      (guaranteedCpus <= 0 || demand.cpus <= guaranteedCpus) && (guaranteedGpus <= 0 || demand.gpus <= guaranteedGpus);
    if (fits) found.add(name);
  }
  return found;
}

/** A fetch at the pace of the slowest type that could host the job: how long it takes if nothing is cached. */
function slowestPullSeconds(cluster: Cluster, job: Job): number {
  let slowest = Number.POSITIVE_INFINITY;
  for (const type of cluster.machineTypes.values()) {
    if (type.zones.some((zone) => isFeasibleType(job, type, zone)))
      slowest = Math.min(slowest, type.imagePullGbPerSecond);
  }
  return Number.isFinite(slowest) ? pullSeconds(job.spec.imageGb, slowest) : 0;
}

/** The design's ranking, sooner where an aim or deadline comes near; smallest goes first. */
function jobRankingScore(cluster: Cluster, job: Job, tasks: number): number {
  const { settings, tuning } = cluster.context;
  const { priority_base, urgency: maxBoost, urgency_horizon_s: horizonSeconds } = tuning.scheduler;
  const waited = waitedSeconds(cluster, job);
  const runS = cluster.runtimeEstimator.expectedSeconds(job.spec);
  const fetchS = slowestPullSeconds(cluster, job);
  const rank = rankingScore(job.spec, tasks, runS, waited, priority_base);
  return rank / urgencyFactor(job.spec, settings.objectives, waited, fetchS, runS, { maxBoost, horizonSeconds });
}

/** How many tasks of a job the round plans, of those that wait and its team's limit allows. */
function plannedTasks(cluster: Cluster, job: Job, waiting: number, overdue: boolean): number {
  if (job.isGang) return waiting;
  let tasks = overdue ? Math.min(waiting, OVERDUE_ARRAY_TASKS) : waiting;
  if (job.spec.gpus === 0 && penaltyFactor(cluster, job) === 0) tasks = Math.min(tasks, UNPENALIZED_ARRAY_TASKS);
  return tasks;
}

/** Whether a job waits for a start that may happen now, as far as it and other leaders' machines go. */
function mayStartNow(cluster: Cluster, job: Job): boolean {
  // Services have been placed before, by best fit outside the search (services.ts).
  if (job.isService || job.pendingCount <= 0 || job.notBefore > cluster.context.now.monotonic) return false;
  return cluster.previousTerms.startableTasks(job) > 0;
}

/** How many of the job's waiting tasks its team's limit allows now; of a gang all or none. */
function tasksWithinLimit(cluster: Cluster, job: Job): number {
  const maxTasks = Math.max(MIN_ARRAY_TASKS_PLANNED, ARRAY_TASKS_PLANNED_PER_MACHINE * cluster.machines.size);
  const pending = Math.min(job.startableCount, maxTasks);
  const room = cluster.quotas.remainingTasks(job.spec);
  // A job that fails wherever it runs is tried with one task at a time.
  if (job.isFaulty && !job.isGang) return job.placements.size === 0 ? Math.min(pending, room, 1) : 0;
  if (job.isGang) return pending <= room ? pending : 0;
  return Math.min(pending, room);
}

function rankGroupOf(job: Job, guaranteed: ReadonlySet<TeamName>): RankGroup {
  if (job.isFaulty) return RANK_GROUPS.faulty;
  return guaranteed.has(job.spec.team) ? RANK_GROUPS.guaranteed : RANK_GROUPS.others;
}

function rankJob(cluster: Cluster, job: Job, waiting: number, guaranteed: ReadonlySet<TeamName>): RankedJob {
  const overdue = isOverdue(cluster, job);
  const tasks = plannedTasks(cluster, job, waiting, overdue);
  const waited = waitedSeconds(cluster, job);
  if (overdue) return { job, tasks, waitedSeconds: waited, group: RANK_GROUPS.overdue, score: -waited };
  const group = rankGroupOf(job, guaranteed);
  return { job, tasks, waitedSeconds: waited, group, score: jobRankingScore(cluster, job, tasks) };
}

/**
 * The jobs that wait and may be started now, in the order in which they are planned. Smallest first alone would let the
 * largest wait for as long as smaller work keeps coming: a job that has waited too long goes before all others until it
 * has begun. Jobs of a team at its limit sit the round out.
 */
export function rankWaitingJobs(cluster: Cluster): RankedJob[] {
  const guaranteed = teamsWithinGuarantee(cluster);
  /** Teams whose limit is kept free for an overdue gang: small work would fill it as fast as it comes free. */
  const heldTeams = new Set<TeamName>();
  const ranked: RankedJob[] = [];
  for (const job of cluster.jobs.active) {
    if (!mayStartNow(cluster, job)) continue;
    const waiting = tasksWithinLimit(cluster, job);
    if (waiting > 0) ranked.push(rankJob(cluster, job, waiting, guaranteed));
    else if (job.isGang && isOverdue(cluster, job)) heldTeams.add(job.spec.team);
  }
  return ranked
    .filter(({ job, group }) => group === RANK_GROUPS.overdue || !heldTeams.has(job.spec.team))
    .sort((a, b) => b.group - a.group || a.score - b.score || (a.job.id < b.job.id ? -1 : 1));
}
