import { type Classification, classify, type OtherPlacement, type StoredJob } from '../../recovery/index.js';
import type { Job, Placement } from '../jobs/job.js';
import { type StartKey, startKey, taskKey } from '../jobs/task_keys.js';
import type { Machine, UnexpectedTask } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { JobId, LiveTaskStatus, TaskStatus } from '../types.js';

/*
 * Carries out what `src/recovery` says of reported tasks that have no place on their machine as far as this leader knows. One
 * that has its place there agrees with what is known, and never gets here.
 */

/** A live task: returns its place, or null and notes it among `strays` where it gets none. */
export function recoverLiveTask(
  cluster: Cluster,
  machine: Machine,
  task: LiveTaskStatus,
  strays: UnexpectedTask[],
): Placement | null {
  const job = cluster.jobs.get(task.job) ?? null;
  const elsewhere = job && findPlacementElsewhere(cluster, job, task.index);
  const classification = classifyTask(cluster, task, elsewhere && toOtherPlacement(elsewhere));
  countIfNew(cluster, machine, task, classification);
  switch (classification.action) {
    case 'adopt':
      return adopt(cluster, machine, task);
    case 'adoptAndStop': {
      const placement = adopt(cluster, machine, task);
      if (placement) cluster.placements.stop(placement, 0);
      return placement;
    }
    case 'adoptAndStopOther':
      if (elsewhere) displace(cluster, elsewhere);
      logDuplicateTask(cluster, machine, task, elsewhere);
      return adopt(cluster, machine, task);
    case 'stop':
      if (job) logDuplicateTask(cluster, machine, task, elsewhere);
      strays.push(toUnexpectedTask(task, job, true));
      return null;
    case 'readRecord':
      cluster.previousTerms.suspectOrphan(task.job, machine);
      strays.push(toUnexpectedTask(task, job, false));
      return null;
    default:
      strays.push(toUnexpectedTask(task, job, false));
      return null;
  }
}

/** An ended task without a place: what it says is counted once, whoever started it. */
export function recoverEndedTask(cluster: Cluster, machine: Machine, task: TaskStatus): Classification {
  const classification = classifyTask(cluster, task, null);
  if (classification.action === 'readRecord') cluster.previousTerms.suspectOrphan(task.job, machine);
  return classification;
}

/** Whether a worker may drop an ended task of a job that isn't known: only once it is certain that nobody recorded it. */
export function mayAcknowledgeUnknownJob(cluster: Cluster, job: JobId): boolean {
  const { recovery } = cluster.previousTerms;
  return recovery === null || (recovery.isOrphan(job) && !cluster.jobs.isUnreadable(job));
}

function classifyTask(cluster: Cluster, task: TaskStatus, otherPlacement: OtherPlacement | null): Classification {
  const exitReason = task.phase === 'exited' ? task.exitReason : null;
  return classify({ attempt: task.attempt, exitReason, job: storedJob(cluster, task), otherPlacement });
}

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

/** The task's place on another machine; one that was only planned is given up. */
function findPlacementElsewhere(cluster: Cluster, job: Job, index: number): Placement | null {
  const placement = job.placements.get(index);
  if (!placement) return null;
  if (placement.phase !== 'planned') return placement;
  cluster.placements.release(placement);
  return null;
}

const toOtherPlacement = ({ machine, attempt }: Placement): OtherPlacement => ({ machine: machine.id, attempt });

function adopt(cluster: Cluster, machine: Machine, task: LiveTaskStatus): Placement | null {
  const job = cluster.jobs.get(task.job);
  return job
    ? cluster.placements.add({ job, index: task.index, machine, attempt: task.attempt, phase: task.phase })
    : null;
}

function displace(cluster: Cluster, placement: Placement): void {
  const { job, index, attempt, machine } = placement;
  cluster.placements.detach(placement);
  cluster.unexpectedTasks.add(machine, { job: job.id, index, attempt, shouldStop: true, knownJob: job });
}

const toUnexpectedTask = (
  { job, index, attempt }: TaskStatus,
  knownJob: Job | null,
  shouldStop: boolean,
): UnexpectedTask => ({
  job,
  index,
  attempt,
  shouldStop,
  knownJob,
});

/** Lists repeat what doesn't change: a stray is counted with the first list that shows it as what it is. */
function countIfNew(
  { previousTerms }: Cluster,
  machine: Machine,
  task: TaskStatus,
  { taskClass, action }: Classification,
): void {
  const before = machine.unexpectedTasks.get(taskKey(task.job, task.index));
  const isRepeated = before?.attempt === task.attempt && before.shouldStop === (action === 'stop');
  if (!isRepeated) previousTerms.recovery?.countTask(taskClass);
}

function logDuplicateTask({ context }: Cluster, machine: Machine, task: TaskStatus, other: Placement | null): void {
  const { job, index, attempt } = task;
  if (machine.unexpectedTasks.get(taskKey(job, index))?.attempt === attempt) return;
  context.log('error', 'task reported by two machines', {
    task: taskKey(job, index),
    machines: [machine.id, ...(other ? [other.machine.id] : [])],
    attempts: [String(attempt), ...(other ? [String(other.attempt)] : [])],
  });
}

/** Whether an end without a place is news; workers repeat it until they are told to forget it. */
export function isNewExit(machine: Machine, { job, index, attempt }: TaskStatus): boolean {
  const key: StartKey = startKey(job, index, attempt);
  return !machine.previousExits.has(key);
}
