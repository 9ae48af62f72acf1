/**
 * Starts jobs that have long been waiting although there is room for them. Whatever kept a job waiting, be it a limit on
 * the work of a round or a preference or reservation that each round decides alike, thereby ends after a bounded time.
 */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { MonotonicTime } from '../types.js';
import { applyArrayStart, applyGangStart, applyReplicaStart, applyUndrain } from './apply.js';
import type { ClusterState, SchedulableCluster } from './cluster_state.js';
import { FreeCapacity } from './free_capacity.js';
import { hasStartableTasks } from './placement_constraints.js';
import { UNPENALIZED_ARRAY_TASKS } from './ranking.js';

/**
 * Time for which a job may wait although there is room for it, in milliseconds. The promise is 90 s. The rest is left
 * for a change of leader, which restarts the time, and for the start command.
 */
const MAX_WAIT_WITH_ROOM_MS = 60_000;

/** The number of replicas started, and the plan steps spent. */
interface LongWaitStarts {
  readonly replicas: number;
  readonly steps: number;
}

/** A job that has been waiting with room for too long, and since when. */
interface DueJob {
  readonly job: Job;
  readonly since: MonotonicTime;
}

/** Starts the jobs of one leader that have been waiting for `MAX_WAIT_WITH_ROOM_MS` although there is room for them. */
export class LongWaits {
  /** If the last call ended at its limit: the last job that it tried to start. */
  private resumeAfter: DueJob | null = null;

  constructor(private readonly cluster: SchedulableCluster) {}

  /**
   * Starts the jobs with the longest wait first. The estimates, placement penalties and reservations that a plan takes
   * into account are ignored. Call it after the starts of a round have been applied, so that only capacity is used that
   * the round leaves idle. It ends after `maxSteps` plan steps, and the next call goes on with the jobs that are left.
   */
  startDueJobs(maxSteps: number): LongWaitStarts {
    const { cluster } = this;
    const capacity = FreeCapacity.ofLastResort(cluster);
    const due = inOrder(updateWaits(cluster, capacity, maxSteps), this.resumeAfter);
    const stepLimit = capacity.steps + maxSteps;
    this.resumeAfter = null;
    let jobs = 0;
    let tasks = 0;
    let replicas = 0;
    for (const next of due) {
      const started = startNow(cluster, capacity, next.job);
      if (started > 0) jobs += 1;
      tasks += started;
      if (next.job.isService) replicas += started;
      if (capacity.steps < stepLimit) continue;
      this.resumeAfter = next;
      break;
    }
    const { steps } = capacity;
    if (tasks > 0) cluster.context.log('jobs started after long waits', { jobs, tasks, planSteps: steps });
    return { replicas, steps };
  }
}

/** Returns the jobs with the longest wait first. Those that follow `resumeAfter` in this order precede all others. */
function inOrder(due: readonly DueJob[], resumeAfter: DueJob | null): DueJob[] {
  const sorted = [...due].sort(compareWaits);
  if (resumeAfter === null) return sorted;
  const next = sorted.findIndex((job) => compareWaits(job, resumeAfter) > 0);
  return next < 0 ? sorted : [...sorted.slice(next), ...sorted.slice(0, next)];
}

/** Orders jobs by wait, the longest first. The id breaks ties, as many jobs may become known at the same time. */
const compareWaits = (first: DueJob, second: DueJob): number =>
  first.since - second.since || (first.job.id < second.job.id ? -1 : Number(first.job.id > second.job.id));

/**
 * Updates since when each job has been waiting although there is room for it. Returns those for which this is too long.
 * After `maxSteps` plan steps, room for one task of a gang counts as room for the gang.
 */
function updateWaits(cluster: ClusterState, capacity: FreeCapacity, maxSteps: number): DueJob[] {
  const now = cluster.context.now.monotonic;
  const gangStepLimit = capacity.steps + maxSteps;
  const due: DueJob[] = [];
  for (const job of cluster.jobs.active) {
    // While a job may not start for another reason, its time goes on.
    if (!isWaiting(job) || !hasStartableTasks(cluster, job)) continue;
    const { waitWithRoom } = job;
    if (!hasRoom(cluster, capacity, job, capacity.steps < gangStepLimit)) {
      waitWithRoom.recordNoRoom(now);
      continue;
    }
    waitWithRoom.recordRoom(now);
    const { since } = waitWithRoom;
    if (since !== null && now - since >= MAX_WAIT_WITH_ROOM_MS) due.push({ job, since });
  }
  return due;
}

/** Returns whether the job, or a replica of a service, is waiting. A job with a task on a machine is not. */
const isWaiting = (job: Job): boolean => job.pendingCount > 0 && (job.isService || job.placedCount === 0);

/** Returns whether machines and the team's quota have room for a task of the job, or for all tasks of a gang. */
function hasRoom(cluster: ClusterState, capacity: FreeCapacity, job: Job, countsGangTasks: boolean): boolean {
  const requiredTasks = job.isGang ? job.spec.taskCount : 1;
  if (cluster.quotas.remainingTasks(job.spec) < requiredTasks) return false;
  return job.isGang && countsGangTasks ? capacity.hasRoomForGang(job) : capacity.hasRoomForTask(job);
}

/**
 * Returns how many tasks of a job that is not a gang are started at a time. One task ends the wait of an array. Further
 * ones would often take GPUs that are kept for gangs.
 */
function maxTasksAtOnce(job: Job): number {
  if (job.isService) return job.spec.taskCount;
  return job.spec.gpus === 0 && !job.isFaulty ? UNPENALIZED_ARRAY_TASKS : 1;
}

/** Returns the number of tasks started. */
function startNow(cluster: SchedulableCluster, capacity: FreeCapacity, job: Job): number {
  return job.isGang ? startGang(cluster, capacity, job) : startTasks(cluster, capacity, job);
}

function startGang(cluster: SchedulableCluster, capacity: FreeCapacity, job: Job): number {
  const now = cluster.context.now.monotonic;
  const mayUse = (machine: Machine): boolean => !job.failureHistory.avoids(machine.id, now);
  const isPreferred = (machine: Machine): boolean =>
    mayUse(machine) && !machine.cordon.isDraining && !machine.isReservedForOther(job.id, now);
  const machines = capacity.machinesForGang(job, isPreferred) ?? capacity.machinesForGang(job, mayUse);
  if (machines === null) return 0;
  for (const machine of machines) applyUndrain(cluster, machine);
  return applyGangStart(cluster, { job, machines });
}

function startTasks(cluster: SchedulableCluster, capacity: FreeCapacity, job: Job): number {
  const now = cluster.context.now.monotonic;
  const mayUse = (machine: Machine): boolean => !job.failureHistory.avoids(machine.id, now);
  const maxTasks = Math.min(maxTasksAtOnce(job), cluster.quotas.remainingTasks(job.spec));
  let started = 0;
  for (const index of job.pendingTasks(maxTasks)) {
    const machine = capacity.findMachine(job, mayUse);
    if (machine === null) break;
    applyUndrain(cluster, machine);
    const start = { job, index, machine };
    if (job.isService) applyReplicaStart(cluster, start);
    else applyArrayStart(cluster, start);
    started += 1;
  }
  return started;
}
