/**
 * Carries out what `src/recovery` says of reported tasks that have no placement on their machine as far as this leader knows.
 * A task that has its placement there agrees with what is known, and never gets here.
 */
import { type Classification, classify, type OtherPlacement, type StoredJob } from '../../recovery/index.js';
import type { Job } from '../jobs/job.js';
import { startKey, taskKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { UnexpectedTask } from '../machines/reported_tasks.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import type { JobId, LiveTaskStatus, TaskStatus } from '../types.js';

/** Returns the placement of a live task; null where it gets none and is added to `unexpected`. */
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
    // These are for exited tasks: a live one is left alone.
    case 'recordResult':
    case 'requeue':
    case 'acknowledge':
      unexpected.push(toUnexpectedTask(task, job, false));
      return null;
  }
}

/**
 * Without the recovery feature: returns the placement of a live task, made here; null where its job isn't known, or where
 * another machine reported the task first, which keeps it.
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

/** Returns what an exited task without a placement is, whoever started it. */
export function recoverExitedTask(cluster: Cluster, machine: Machine, task: TaskStatus): Classification {
  const classification = classifyTask(cluster, task, null);
  if (classification.action === 'lookUpRecord') cluster.previousTerms.suspectOrphan(task.job, machine);
  return classification;
}

/** Whether the exit of a task of an unknown job may be acknowledged: only once it is certain that nobody recorded the job. */
export function mayAcknowledgeUnknownJob(cluster: Cluster, job: JobId): boolean {
  const { recovery } = cluster.previousTerms;
  return recovery === null || (recovery.isOrphan(job) && !cluster.jobs.isUnreadable(job));
}

function classifyTask(cluster: Cluster, task: TaskStatus, otherPlacement: OtherPlacement | null): Classification {
  const exitReason = task.phase === 'exited' ? task.exitReason : null;
  return classify({ attempt: task.attempt, exitReason, job: storedJob(cluster, task), otherPlacement });
}

/** What the state store is known to hold of the job. */
function storedJob(cluster: Cluster, { job: id, index, phase }: TaskStatus): StoredJob {
  const job = cluster.jobs.get(id);
  if (job) {
    // The tasks of a gang complete together: none that is still there is told to stop.
    const taskDone = (phase === 'exited' || !job.isGang) && job.isDone(index);
    return { kind: 'recorded', cancelled: job.state === 'cancelled', taskDone, isService: job.isService };
  }
  if (cluster.jobs.isUnreadable(id)) return { kind: 'unreadable' };
  return { kind: cluster.previousTerms.recovery?.isOrphan(id) ? 'absent' : 'unread' };
}

/** Returns the task's placement on another machine, or null; one that was only planned is released. */
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

/** An older attempt on another machine loses its placement, and is stopped there. */
function displace(cluster: Cluster, placement: Placement): void {
  const { job, index, attempt, machine } = placement;
  cluster.placements.detach(placement);
  cluster.unexpectedTasks.add(machine, { job: job.id, index, attempt, shouldStop: true, knownJob: job });
}

function toUnexpectedTask(task: TaskStatus, knownJob: Job | null, shouldStop: boolean): UnexpectedTask {
  const { job, index, attempt } = task;
  return { job, index, attempt, shouldStop, knownJob };
}

/** Statuses repeat what doesn't change: a task is counted with the first that shows it as what it is. */
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

/** Says once of each status that first shows it that a task is on two machines. */
function logDuplicateTask({ context }: Cluster, machine: Machine, task: TaskStatus, other: Placement | null): void {
  const { job, index, attempt } = task;
  if (machine.reportedTasks.unexpected.get(taskKey(job, index))?.attempt === attempt) return;
  context.log('task reported by two machines', {
    task: taskKey(job, index),
    machines: [machine.id, ...(other ? [other.machine.id] : [])],
    attempts: [String(attempt), ...(other ? [String(other.attempt)] : [])],
  });
}

/** Whether an exit is news; workers repeat it until it is acknowledged. */
export function isNewExit(machine: Machine, { job, index, attempt }: TaskStatus): boolean {
  return machine.reportedTasks.isNewExit(startKey(job, index, attempt));
}
