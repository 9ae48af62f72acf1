/**
 * Executes the decisions of `src/recovery` on reported tasks for which this leader has no placement on their machine. A
 * task with a placement there matches the leader's state and is not handled here.
 */
import { type Classification, classify, type OtherPlacement, type StoredJob } from '../../recovery/index.js';
import type { Job } from '../jobs/job.js';
import { startKey, taskKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { UnexpectedTask } from '../machines/reported_tasks.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import type { JobId, LiveTaskStatus, TaskStatus } from '../types.js';

/** Returns the placement of a live task, or null if it gets none and is added to `unexpected`. */
export function recoverLiveTask(
  cluster: Cluster,
  machine: Machine,
  task: LiveTaskStatus,
  unexpected: UnexpectedTask[],
): Placement | null {
  const job = cluster.jobs.get(task.job) ?? null;
  const elsewhere = job && findPlacementElsewhere(cluster, job, task.index);
  const classification = classifyTask(cluster, task, elsewhere && toOtherPlacement(elsewhere));
  countIfNew(cluster, machine, task, classification);
  switch (classification.action) {
    case 'adopt':
      return adopt(cluster, machine, job, task);
    case 'adoptAndStop': {
      const placement = adopt(cluster, machine, job, task);
      if (placement) cluster.placements.stop(placement, 0);
      return placement;
    }
    case 'adoptAndStopOther':
      if (elsewhere) displace(cluster, elsewhere);
      logDuplicateTask(cluster, machine, task, elsewhere);
      return adopt(cluster, machine, job, task);
    case 'stop':
      if (job) logDuplicateTask(cluster, machine, task, elsewhere);
      unexpected.push(toUnexpectedTask(task, job, true));
      return null;
    case 'lookUpRecord':
      cluster.previousTerms.suspectOrphan(task.job, machine);
      unexpected.push(toUnexpectedTask(task, job, false));
      return null;
    case 'ignore':
    // These actions apply only to exited tasks. A live task keeps running.
    case 'recordResult':
    case 'requeue':
    case 'acknowledge':
      unexpected.push(toUnexpectedTask(task, job, false));
      return null;
  }
}

/**
 * Adds and returns the placement of a live task when the recovery feature is off. Returns null if the job is unknown,
 * or if the task already has a placement on another machine, which it then keeps.
 */
export function placeReportedTask(cluster: Cluster, machine: Machine, task: LiveTaskStatus): Placement | null {
  const job = cluster.jobs.get(task.job);
  if (!job) return null;
  const elsewhere = findPlacementElsewhere(cluster, job, task.index);
  if (elsewhere) {
    logDuplicateTask(cluster, machine, task, elsewhere);
    return null;
  }
  const placement = place(cluster, machine, job, task);
  const isUnwanted = job.state === 'cancelled' || (!job.isGang && job.isDone(task.index));
  if (isUnwanted) cluster.placements.stop(placement, 0);
  return placement;
}

/** Classifies an exited task without a placement, whichever leader started it. Requests a record lookup if needed. */
export function recoverExitedTask(cluster: Cluster, machine: Machine, task: TaskStatus): Classification {
  const classification = classifyTask(cluster, task, null);
  if (classification.action === 'lookUpRecord') cluster.previousTerms.suspectOrphan(task.job, machine);
  return classification;
}

/**
 * Returns whether the exit of a task of an unknown job may be acknowledged. With the recovery feature on, it must be
 * certain that the state store has no record of the job.
 */
export function mayAcknowledgeUnknownJob(cluster: Cluster, job: JobId): boolean {
  const { recovery } = cluster.previousTerms;
  return recovery === null || (recovery.isOrphan(job) && !cluster.jobs.isUnreadable(job));
}

function classifyTask(cluster: Cluster, task: TaskStatus, otherPlacement: OtherPlacement | null): Classification {
  const exitReason = task.phase === 'exited' ? task.exitReason : null;
  return classify({ attempt: task.attempt, exitReason, job: storedJob(cluster, task), otherPlacement });
}

/** Returns what the state store is known to hold about the task's job. */
function storedJob(cluster: Cluster, { job: id, index, phase }: TaskStatus): StoredJob {
  const job = cluster.jobs.get(id);
  if (job) {
    // The tasks of a gang complete together, so a live task of a gang does not count as done and is not stopped.
    const taskDone = (phase === 'exited' || !job.isGang) && job.isDone(index);
    return { kind: 'recorded', cancelled: job.state === 'cancelled', taskDone, isService: job.isService };
  }
  if (cluster.jobs.isUnreadable(id)) return { kind: 'unreadable' };
  return { kind: cluster.previousTerms.recovery?.isOrphan(id) ? 'absent' : 'unread' };
}

/** Returns the task's placement on another machine, or null. A placement whose start was not sent is released. */
function findPlacementElsewhere(cluster: Cluster, job: Job, index: number): Placement | null {
  const placement = cluster.placements.ofJob(job).get(index);
  if (!placement) return null;
  if (placement.phase !== 'planned') return placement;
  cluster.placements.release(placement, 'startNotSent');
  return null;
}

const toOtherPlacement = ({ machine, attempt }: Placement): OtherPlacement => ({ machine: machine.id, attempt });

function adopt(cluster: Cluster, machine: Machine, job: Job | null, task: LiveTaskStatus): Placement | null {
  return job ? place(cluster, machine, job, task) : null;
}

function place(cluster: Cluster, machine: Machine, job: Job, { index, attempt, phase }: LiveTaskStatus): Placement {
  return cluster.placements.add({ job, index, machine, attempt, phase });
}

/** Removes the placement of an older attempt on another machine, and marks the attempt to be stopped there. */
function displace(cluster: Cluster, placement: Placement): void {
  const { job, index, attempt, machine } = placement;
  cluster.placements.detach(placement);
  cluster.unexpectedTasks.add(machine, { job: job.id, index, attempt, shouldStop: true, knownJob: job });
}

function toUnexpectedTask(task: TaskStatus, knownJob: Job | null, shouldStop: boolean): UnexpectedTask {
  const { job, index, attempt } = task;
  return { job, index, attempt, shouldStop, knownJob };
}

/**
 * Counts a task by its class, unless the previous status showed the same attempt with the same stop decision. Statuses
 * repeat unchanged tasks, and each task is counted only once.
 */
function countIfNew(
  { previousTerms }: Cluster,
  machine: Machine,
  task: TaskStatus,
  { taskClass, action }: Classification,
): void {
  const before = machine.reportedTasks.unexpected.get(taskKey(task.job, task.index));
  const isRepeated = before?.attempt === task.attempt && before.shouldStop === (action === 'stop');
  if (!isRepeated) previousTerms.recovery?.countTask(taskClass);
}

/** Logs a task that is on two machines, unless the previous status already showed this attempt as unexpected. */
function logDuplicateTask({ context }: Cluster, machine: Machine, task: TaskStatus, other: Placement | null): void {
  const { job, index, attempt } = task;
  if (machine.reportedTasks.unexpected.get(taskKey(job, index))?.attempt === attempt) return;
  context.log('task reported by two machines', {
    task: taskKey(job, index),
    machines: [machine.id, ...(other ? [other.machine.id] : [])],
    attempts: [String(attempt), ...(other ? [String(other.attempt)] : [])],
  });
}

/** Returns whether the previous status did not show this exit. Workers repeat an exit until it is acknowledged. */
export function isNewExit(machine: Machine, { job, index, attempt }: TaskStatus): boolean {
  return machine.reportedTasks.isNewExit(startKey(job, index, attempt));
}
