import type { Placement } from '../jobs/job.js';
import { type StartKey, startKey, startKeyOf, type TaskKey, taskKey } from '../jobs/task_keys.js';
import type { Machine, UnexpectedTask } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import { addMilliseconds, type FencingToken, type Heartbeat, type LiveTaskStatus, type TaskStatus } from '../types.js';
import { recoverLiveTask } from './recovered_tasks.js';
import { reconcileExit } from './task_exits.js';

/** Reports are sent one after the other; answers to direct commands overtake them. */
export type StatusSource = 'report' | 'commandAnswer';

const isLive = (task: TaskStatus): task is LiveTaskStatus => task.phase !== 'exited';

/**
 * Takes in a worker's list of tasks. A list counts only if it carries this leader's token (so no older command can still
 * be executed) and is newer than any before it: lists can arrive late and in any order. Returns whether room came free.
 */
export function reconcileStatus(
  cluster: Cluster,
  machine: Machine,
  report: Heartbeat,
  token: FencingToken,
  source: StatusSource,
): boolean {
  machine.messages.recordFencingToken(report.fencingToken);
  if (!machine.messages.isNewer(report)) return false;
  // Without our token the list may be older than a command of an earlier leader that is still on its way.
  // And what nobody has listed may be long gone: a late copy of its list must not bring back tasks that ended.
  if (
    report.fencingToken !== token &&
    (machine.lifecycle.isRegistered || !machine.reconciled || !machine.reachability.isConfirmed)
  )
    return false;
  const newSession = applyAgentEpoch(cluster, machine, report);
  const becameReconciled = !machine.reconciled;
  if (becameReconciled) cluster.markReconciled(machine, 'listed');
  const firstNotice = applyInterruptionNotice(cluster, machine, report);
  const tasksChanged = reconcileTasks(cluster, machine, report, source);
  machine.dropAbandonedPulls();
  return newSession || becameReconciled || firstNotice || tasksChanged;
}

/** Returns whether a new session ended what was on the machine. */
function applyAgentEpoch(cluster: Cluster, machine: Machine, report: Heartbeat): boolean {
  const change = machine.messages.recordStatus(report, cluster.context.now.monotonic);
  if (change !== 'newEpoch') return false;
  onNewAgentEpoch(cluster, machine, report);
  return true;
}

function onNewAgentEpoch(cluster: Cluster, machine: Machine, report: Heartbeat): void {
  cluster.context.log('info', 'worker began a new session: its tasks are gone', {
    machine: machine.id,
    session: report.agentEpoch,
    tasks: machine.placements.size,
  });
  cluster.clearMachine(machine);
  machine.commandChannel.clearUnconfirmedStarts();
  machine.images.dropAbandonedPulls(() => false);
}

/** Returns whether it is the first notice that the cloud will take the machine. */
function applyInterruptionNotice(
  cluster: Cluster,
  machine: Machine,
  { interruptionNoticeSeconds }: Heartbeat,
): boolean {
  if (interruptionNoticeSeconds === null) return false;
  const interruptionAt = addMilliseconds(cluster.context.now.monotonic, interruptionNoticeSeconds * 1000);
  const isFirst = machine.cordon.recordInterruptionNotice(interruptionAt);
  if (isFirst)
    cluster.context.log('info', 'the cloud will take the machine', {
      machine: machine.id,
      inS: interruptionNoticeSeconds,
    });
  return isFirst;
}

/** Returns whether room came free. */
function reconcileTasks(cluster: Cluster, machine: Machine, report: Heartbeat, source: StatusSource): boolean {
  let freed = false;
  const live = new Set<TaskKey>();
  const strays: UnexpectedTask[] = [];
  machine.previousExits = exitKeysOf(machine);
  machine.exitedTasks = [];
  for (const task of report.tasks) {
    if (isLive(task)) {
      live.add(taskKey(task.job, task.index));
      reconcileLiveTask(cluster, machine, task, strays);
    } else if (reconcileExit(cluster, machine, task)) {
      freed = true;
    }
  }
  cluster.unexpectedTasks.replace(machine, strays);
  return reconcileAbsentTasks(cluster, machine, live, report, source) || freed;
}

/** The ends that the last list showed. Most lists show none: they share one empty set. */
function exitKeysOf({ exitedTasks }: Machine): ReadonlySet<StartKey> {
  if (exitedTasks.length === 0) return NO_EXITS;
  return new Set(exitedTasks.map(({ job, index, attempt }) => startKey(job, index, attempt)));
}

const NO_EXITS: ReadonlySet<StartKey> = new Set();

/** What a report says by not showing tasks that have a place on the machine. Returns whether room came free. */
function reconcileAbsentTasks(
  cluster: Cluster,
  machine: Machine,
  live: ReadonlySet<TaskKey>,
  report: Heartbeat,
  source: StatusSource,
): boolean {
  let freed = false;
  let startDropped = false;
  for (const [key, placement] of [...machine.placements]) {
    if (live.has(key) || placement.phase === 'planned') continue;
    if (placement.phase !== 'sent') {
      cluster.context.log('info', 'task is no longer on its machine', { task: key, machine: machine.id });
      cluster.placements.release(placement);
      freed = true;
    } else if (isStartDropped(placement, report, source)) {
      startDropped = true;
      if (revertStart(cluster, placement)) freed = true;
    }
  }
  if (startDropped) machine.reachability.recordIgnoredResponse();
  return freed;
}

/**
 * Whether a report without the task shows that the answer with its start was dropped. Only a newer report does: answers to
 * direct commands overtake it. A start that went out by a direct command without an answer may still arrive, whatever the
 * reports say (late-starts.txt).
 */
function isStartDropped(placement: Placement, report: Heartbeat, source: StatusSource): boolean {
  const { sentInResponseTo, machine } = placement;
  if (source !== 'report' || sentInResponseTo === null || report.sequence <= sentInResponseTo) return false;
  return !machine.commandChannel.isUnconfirmed(startKeyOf(placement));
}

/** The start goes out again, unless the task is not to run any more. Returns whether room came free. */
function revertStart(cluster: Cluster, placement: Placement): boolean {
  const { job, pendingStop } = placement;
  placement.phase = 'planned';
  placement.sentInResponseTo = null;
  const unwanted = pendingStop !== null || job.gangBroken || job.state !== 'accepted';
  if (unwanted) cluster.placements.release(placement);
  return unwanted;
}

/** Takes in what a report shows of a task that has not ended. */
function reconcileLiveTask(cluster: Cluster, machine: Machine, task: LiveTaskStatus, strays: UnexpectedTask[]): void {
  const placement = findOrAdoptPlacement(cluster, machine, task, strays);
  if (!placement) return;
  const now = cluster.context.now.monotonic;
  const { job } = placement;
  const hasJustStarted = placement.phase === 'sent';
  if (hasJustStarted) machine.reachability.recordEffect();
  placement.phase = task.phase;
  if (task.phase === 'pulling') machine.images.onPulling(job.spec, hasJustStarted, now);
  else machine.images.onPresent(job.spec, now);
  if (task.phase !== 'running' || placement.runningSince !== null) return;
  placement.runningSince = now;
  logRunning(cluster, placement);
}

/** The placement that a live task belongs to, made where there is none; null where the task can't be accounted for. */
function findOrAdoptPlacement(
  cluster: Cluster,
  machine: Machine,
  task: LiveTaskStatus,
  strays: UnexpectedTask[],
): Placement | null {
  const known = cluster.placements.find(machine, task.job, task.index);
  if (known?.attempt === task.attempt) return known;
  if (known) {
    // Ours may still come by a direct command; it is refused for as long as the older one is there, and the worker says so.
    if (machine.commandChannel.isUnconfirmed(startKeyOf(known))) return null;
    // An older attempt is still there: ours can't have been started.
    cluster.placements.release(known);
  }
  if (cluster.previousTerms.recovery) return recoverLiveTask(cluster, machine, task, strays);
  return placeWithoutRecovery(cluster, machine, task);
}

/** Without the recovery feature: a task that two machines report stays where it was found first. */
function placeWithoutRecovery(cluster: Cluster, machine: Machine, task: LiveTaskStatus): Placement | null {
  const job = cluster.jobs.get(task.job);
  if (!job) return null;
  const elsewhere = job.placements.get(task.index);
  if (elsewhere && elsewhere.phase !== 'planned') {
    cluster.context.log('error', 'task reported by two machines', {
      task: taskKey(task.job, task.index),
      machines: [machine.id, elsewhere.machine.id],
    });
    return null;
  }
  if (elsewhere) cluster.placements.release(elsewhere);
  const placement = cluster.placements.add({
    job,
    index: task.index,
    machine,
    attempt: task.attempt,
    phase: task.phase,
  });
  const unwanted = job.state === 'cancelled' || (!job.isGang && job.isDone(task.index));
  if (unwanted) cluster.placements.stop(placement, 0);
  return placement;
}

function logRunning({ context }: Cluster, { job, index, machine, since }: Placement): void {
  context.log('debug', 'task runs', {
    task: taskKey(job.id, index),
    machine: machine.id,
    jobClass: job.spec.jobClass,
    image: job.spec.image,
    imageGb: job.spec.imageGb,
    placedAgoS: (context.now.monotonic - since) / 1000,
    submittedAgoS: (context.now.wallClock - job.submittedAt) / 1000,
    fetchSpeed: machine.images.pullSpeed,
  });
}
