/** Reconciles the leader's state of one machine with a status, the list of tasks that its worker reports. */

import { startKeyOf, type TaskKey, taskKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { UnexpectedTask } from '../machines/reported_tasks.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import { addMilliseconds, type Heartbeat, type LiveTaskStatus, type TaskStatus } from '../types.js';
import type { FencingTokens } from './fencing_tokens.js';
import { placeReportedTask, recoverLiveTask } from './recovered_tasks.js';
import { reconcileExit } from './task_exits.js';

/**
 * The message that carried a status. Heartbeats are sent one after the other. Responses to pushed commands can overtake
 * them.
 */
export type StatusSource = 'heartbeat' | 'commandResponse';

/** The result of processing a status. */
export type StatusOutcome =
  /** The status was not applied, because it is or may be outdated. */
  | { readonly kind: 'ignored' }
  /** `planning` is due if the status freed capacity, reconciled the machine or brought an interruption notice. */
  | { readonly kind: 'applied'; readonly planning: 'due' | 'notDue' };

const IGNORED: StatusOutcome = { kind: 'ignored' };
const APPLIED: StatusOutcome = { kind: 'applied', planning: 'notDue' };
const APPLIED_PLANNING_DUE: StatusOutcome = { kind: 'applied', planning: 'due' };

const isLive = (task: TaskStatus): task is LiveTaskStatus => task.phase !== 'exited';

/**
 * Applies a machine's status unless it is outdated. Statuses can arrive late and in any order, so the status must be
 * newer than all before it. It must also carry a fencing token of this leader, which proves that no older command can
 * still be executed. `mayBeOutdated` describes the exception.
 */
export function reconcileStatus(
  cluster: Cluster,
  machine: Machine,
  status: Heartbeat,
  tokens: FencingTokens,
  source: StatusSource,
): StatusOutcome {
  machine.messages.recordFencingToken(status.fencingToken);
  if (!machine.messages.isNewer(status)) return IGNORED;
  if (!tokens.isOfThisTerm(status.fencingToken, machine) && mayBeOutdated(machine)) {
    cluster.previousTerms.recovery?.countOutdatedStatus();
    return IGNORED;
  }
  return new StatusReconciliation(cluster, machine, status, source).run();
}

/**
 * Returns whether a status without a fencing token of this leader may be outdated. On a registered or unreconciled
 * machine, it may be older than a command of a previous leader that is still in transit. An unregistered machine that
 * no response is known to have reached may have been removed long ago, and a late copy of its status must not restore
 * tasks that ended.
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
    this.machine.commandChannel.confirmStartsBelow(this.status.fencingToken);
    this.markReconciled();
    this.applyInterruptionNotice();
    this.reconcileTasks();
    this.machine.dropAbandonedPulls();
    return this.planning === 'due' ? APPLIED_PLANNING_DUE : APPLIED;
  }

  /** Handles a new agent epoch. The worker's lease expired, which ended all tasks of the previous epoch. */
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
    machine.commandChannel.clearPushedStarts();
    machine.images.dropAbandonedPulls(() => false);
    this.planning = 'due';
  }

  private markReconciled(): void {
    if (this.machine.reconciled) return;
    this.cluster.markReconciled(this.machine, 'listed');
    this.planning = 'due';
  }

  /**
   * Handles an interruption notice. The cloud will reclaim the machine, so it gets no new work and its tasks are moved.
   */
  private applyInterruptionNotice(): void {
    const { machine, cluster } = this;
    const { interruptionNoticeSeconds } = this.status;
    if (interruptionNoticeSeconds === null) return;
    const interruptionAt = addMilliseconds(cluster.context.now.monotonic, interruptionNoticeSeconds * 1000);
    if (!machine.cordon.recordInterruptionNotice(interruptionAt)) return;
    cluster.context.log('interruption notice received', { machine: machine.id, interruptionNoticeSeconds });
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
    this.reconcileMissingTasks(live);
  }

  /** Handles tasks that are placed on the machine but missing from the status. */
  private reconcileMissingTasks(live: ReadonlySet<TaskKey>): void {
    const { cluster, machine } = this;
    let responseDropped = false;
    for (const [key, placement] of [...this.cluster.placements.onMachine(machine)]) {
      if (live.has(key) || placement.phase === 'planned') continue;
      if (placement.phase !== 'sent') {
        cluster.context.log('task missing from status', { task: key, machine: machine.id });
        cluster.placements.release(placement, 'missingFromStatus');
        this.planning = 'due';
      } else if (this.isStartDropped(placement)) {
        responseDropped ||= placement.sentInResponseTo !== null;
        this.revertStart(placement);
      }
    }
    if (responseDropped) machine.reachability.recordIgnoredResponse();
  }

  /**
   * Returns whether the task's absence from the status proves that its start never arrives. For a start in a response,
   * only a newer heartbeat proves this, because responses to pushed commands can overtake heartbeats. A pushed start
   * may still arrive until it is confirmed, regardless of what statuses show (scenario late-starts.txt).
   */
  private isStartDropped(placement: Placement): boolean {
    const { sentInResponseTo } = placement;
    if (this.machine.commandChannel.isUnconfirmed(startKeyOf(placement))) return false;
    if (sentInResponseTo === null) return true;
    return this.source === 'heartbeat' && this.status.sequence > sentInResponseTo;
  }

  /** Makes the start due again, or releases the placement if the task should no longer run. */
  private revertStart(placement: Placement): void {
    const { job, pendingStop } = placement;
    placement.revertStart();
    const shouldRun = pendingStop === null && !job.gangBroken && job.state === 'accepted';
    if (shouldRun) return;
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
    if (hasJustStarted) machine.reachability.recordEffectiveResponse();
    const startsRunning = placement.recordPhase(task.phase, now);
    if (task.phase === 'pulling') machine.images.onPulling(job.spec, hasJustStarted, now);
    else machine.images.onPresent(job.spec, now);
    if (!startsRunning) return;
    job.waitWithRoom.end();
    logRunning(cluster, placement);
  }

  /**
   * Returns the placement of a live task, adding one if needed. Returns null if the task can't be matched to a
   * placement.
   */
  private findOrAdoptPlacement(task: LiveTaskStatus, unexpected: UnexpectedTask[]): Placement | null {
    const { cluster, machine } = this;
    const known = cluster.placements.find(machine, task.job, task.index);
    if (known?.attempt === task.attempt) return known;
    if (known) {
      // The placed attempt may still arrive in a pushed command. The worker refuses it while the older attempt is on
      // the machine, and says so in its response.
      if (machine.commandChannel.isUnconfirmed(startKeyOf(known))) return null;
      // An older attempt is still on the machine, so the placed one can't have been started.
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
