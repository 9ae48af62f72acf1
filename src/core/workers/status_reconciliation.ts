/** Brings what is known of one machine in line with a status of it: the tasks that its agent says are there. */

import { startKeyOf, type TaskKey, taskKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { UnexpectedTask } from '../machines/reported_tasks.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import { addMilliseconds, type FencingToken, type Heartbeat, type LiveTaskStatus, type TaskStatus } from '../types.js';
import { placeReportedTask, recoverLiveTask } from './recovered_tasks.js';
import { reconcileExit } from './task_exits.js';

/** How a status came. Heartbeats are sent one after the other; responses to pushed commands overtake them. */
export type StatusSource = 'heartbeat' | 'commandResponse';

/** What came of a status. */
export type StatusOutcome =
  /** It was too old, or may be: nothing was taken from it. */
  | { readonly kind: 'ignored' }
  /** `planning`: due where capacity was freed, or more became certain of the machine. */
  | { readonly kind: 'applied'; readonly planning: 'due' | 'notDue' };

const IGNORED: StatusOutcome = { kind: 'ignored' };
const APPLIED: StatusOutcome = { kind: 'applied', planning: 'notDue' };
const APPLIED_PLANNING_DUE: StatusOutcome = { kind: 'applied', planning: 'due' };

const isLive = (task: TaskStatus): task is LiveTaskStatus => task.phase !== 'exited';

/**
 * Applies a status of a machine. It counts only if it carries this leader's fencing token, so that no older command can still
 * be executed, and if it is newer than any before: statuses can arrive late and in any order.
 */
export function reconcileStatus(
  cluster: Cluster,
  machine: Machine,
  status: Heartbeat,
  fencingToken: FencingToken,
  source: StatusSource,
): StatusOutcome {
  machine.messages.recordFencingToken(status.fencingToken);
  if (!machine.messages.isNewer(status)) return IGNORED;
  if (status.fencingToken !== fencingToken && mayBeOutdated(machine)) {
    cluster.previousTerms.recovery?.countOutdatedStatus();
    return IGNORED;
  }
  return new StatusReconciliation(cluster, machine, status, source).run();
}

/**
 * Whether a status without this leader's token may be older than a command of an earlier leader that is still on its way. And
 * a machine that is not on record may be long gone: a late copy of its status must not bring back tasks that ended.
 */
const mayBeOutdated = ({ lifecycle, reconciled, reachability }: Machine): boolean =>
  lifecycle.isRegistered || !reconciled || !reachability.isConfirmed;

/** The steps of applying one status. */
class StatusReconciliation {
  private planning: 'due' | 'notDue' = 'notDue';

  constructor(
    private readonly cluster: Cluster,
    private readonly machine: Machine,
    private readonly status: Heartbeat,
    private readonly source: StatusSource,
  ) {}

  run(): StatusOutcome {
    this.applyAgentEpoch();
    this.markReconciled();
    this.applyInterruptionNotice();
    this.reconcileTasks();
    this.machine.dropAbandonedPulls();
    return this.planning === 'due' ? APPLIED_PLANNING_DUE : APPLIED;
  }

  /** A new epoch: the lease expired, and with it all tasks of the epoch before. */
  private applyAgentEpoch(): void {
    const { cluster, machine, status } = this;
    const change = machine.messages.recordStatus(status, cluster.context.now.monotonic);
    if (change !== 'newEpoch') return;
    cluster.context.log('agent epoch began', {
      machine: machine.id,
      agentEpoch: status.agentEpoch,
      lostTasks: machine.allocations.taskCount,
    });
    cluster.clearMachine(machine, 'agentEpochEnded');
    machine.commandChannel.clearUnconfirmedStarts();
    machine.images.dropAbandonedPulls(() => false);
    this.planning = 'due';
  }

  private markReconciled(): void {
    if (this.machine.reconciled) return;
    this.cluster.markReconciled(this.machine, 'listed');
    this.planning = 'due';
  }

  /** The cloud will take the machine away: it gets no new work, and what is there moves. */
  private applyInterruptionNotice(): void {
    const { machine, cluster } = this;
    const { interruptionNoticeSeconds } = this.status;
    if (interruptionNoticeSeconds === null) return;
    const interruptionAt = addMilliseconds(cluster.context.now.monotonic, interruptionNoticeSeconds * 1000);
    if (!machine.cordon.recordInterruptionNotice(interruptionAt)) return;
    cluster.context.log('interruption notice', { machine: machine.id, interruptionNoticeSeconds });
    this.planning = 'due';
  }

  private reconcileTasks(): void {
    const { cluster, machine } = this;
    const live = new Set<TaskKey>();
    const unexpected: UnexpectedTask[] = [];
    machine.reportedTasks.beginStatus();
    for (const task of this.status.tasks) {
      if (isLive(task)) {
        live.add(taskKey(task.job, task.index));
        this.reconcileLiveTask(task, unexpected);
      } else if (reconcileExit(cluster, machine, task) === 'placementReleased') {
        this.planning = 'due';
      }
    }
    cluster.unexpectedTasks.replace(machine, unexpected);
    this.reconcileAbsentTasks(live);
  }

  /** What the status says by not showing tasks that are placed on the machine. */
  private reconcileAbsentTasks(live: ReadonlySet<TaskKey>): void {
    const { cluster, machine } = this;
    let startDropped = false;
    for (const [key, placement] of [...this.cluster.placements.onMachine(machine)]) {
      if (live.has(key) || placement.phase === 'planned') continue;
      if (placement.phase !== 'sent') {
        cluster.context.log('task missing from status', { task: key, machine: machine.id });
        cluster.placements.release(placement, 'missingFromStatus');
        this.planning = 'due';
      } else if (this.isStartDropped(placement)) {
        startDropped = true;
        this.revertStart(placement);
      }
    }
    if (startDropped) machine.reachability.recordIgnoredResponse();
  }

  /**
   * Whether a status without the task shows that the response with its start was dropped. Only a newer heartbeat does, as
   * responses to pushed commands overtake it. A start that was pushed and not answered may still arrive, whatever the
   * heartbeats say (late-starts.txt).
   */
  private isStartDropped(placement: Placement): boolean {
    const { sentInResponseTo } = placement;
    if (this.source !== 'heartbeat' || sentInResponseTo === null) return false;
    return this.status.sequence > sentInResponseTo && !this.machine.commandChannel.isUnconfirmed(startKeyOf(placement));
  }

  /** The start goes out again, unless the task is not to run any more. */
  private revertStart(placement: Placement): void {
    const { job, pendingStop } = placement;
    placement.revertStart();
    const isWanted = pendingStop === null && !job.gangBroken && job.state === 'accepted';
    if (isWanted) return;
    this.cluster.placements.release(placement, 'startDropped');
    this.planning = 'due';
  }

  private reconcileLiveTask(task: LiveTaskStatus, unexpected: UnexpectedTask[]): void {
    const { cluster, machine } = this;
    const placement = this.findOrAdoptPlacement(task, unexpected);
    if (!placement) return;
    const now = cluster.context.now.monotonic;
    const { job } = placement;
    const hasJustStarted = placement.phase === 'sent';
    if (hasJustStarted) machine.reachability.recordEffect();
    const startsRunning = placement.recordPhase(task.phase, now);
    if (task.phase === 'pulling') machine.images.onPulling(job.spec, hasJustStarted, now);
    else machine.images.onPresent(job.spec, now);
    if (startsRunning) logRunning(cluster, placement);
  }

  /** The placement of a live task, made where there is none; null where the task can't be accounted for. */
  private findOrAdoptPlacement(task: LiveTaskStatus, unexpected: UnexpectedTask[]): Placement | null {
    const { cluster, machine } = this;
    const known = cluster.placements.find(machine, task.job, task.index);
    if (known?.attempt === task.attempt) return known;
    if (known) {
      // The known attempt may still arrive by a pushed command; it is refused while the older one is there, and the worker
      // says so.
      if (machine.commandChannel.isUnconfirmed(startKeyOf(known))) return null;
      // An older attempt is still there: the known one can't have been started.
      cluster.placements.release(known, 'earlierAttemptFound');
    }
    if (cluster.previousTerms.recovery) return recoverLiveTask(cluster, machine, task, unexpected);
    return placeReportedTask(cluster, machine, task);
  }
}

function logRunning({ context }: Cluster, { job, index, machine, placedAt }: Placement): void {
  context.log('task running', {
    task: taskKey(job.id, index),
    machine: machine.id,
    jobClass: job.spec.jobClass,
    image: job.spec.image,
    imageGb: job.spec.imageGb,
    sincePlacementSeconds: (context.now.monotonic - placedAt) / 1000,
    sinceSubmissionSeconds: (context.now.wallClock - job.submittedAt) / 1000,
    pullSpeed: machine.images.pullSpeed,
  });
}
