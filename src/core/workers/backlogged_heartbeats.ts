/** Queues heartbeats when more arrive at once than can be reconciled, as in the burst after a cold start. */
import { HeartbeatBacklog } from '../../recovery/index.js';
import type { Machine } from '../machines/machine.js';
import type { HeartbeatResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { Timer, TimerFactory } from '../timers.js';
import type { Heartbeat, MonotonicTime } from '../types.js';
import { type HeartbeatResponder, UNAVAILABLE } from './heartbeat_response.js';

/** A heartbeat that was recorded but has yet to be reconciled. */
export interface BackloggedHeartbeat {
  readonly machine: Machine;
  readonly heartbeat: Heartbeat;
  /** Whether it is the machine's first heartbeat to this leader. */
  readonly isFirst: boolean;
  /** Latest time for the response, whether or not the heartbeat has been reconciled. */
  readonly deadline: MonotonicTime;
  /** Sends the response. Null once it was sent and only the reconciliation is left. */
  respond: HeartbeatResponder | null;
}

/** Whether a heartbeat is to be reconciled now or was queued. */
export type QueueDecision = 'due' | 'queued';

/** Operations of the heartbeat handler that the backlog uses. */
interface BacklogCallbacks {
  /** Reconciles a queued heartbeat, and responds to it unless it already has a response. */
  process(backlogged: BackloggedHeartbeat): void;
  /** Returns the response to a heartbeat whose deadline expires while it is queued. */
  leaseRenewal(heartbeat: Heartbeat): HeartbeatResponse;
}

/**
 * Queue of heartbeats to reconcile, which holds only the newest heartbeat of each machine. Leases are renewed by the
 * deadline even for heartbeats that are still queued.
 */
export class BackloggedHeartbeats {
  private readonly backlog: HeartbeatBacklog<BackloggedHeartbeat>;
  private readonly dueTimer: Timer;

  constructor(
    private readonly context: StepContext,
    timers: TimerFactory,
    private readonly callbacks: BacklogCallbacks,
  ) {
    this.dueTimer = timers.create(() => this.processDue());
    this.backlog = new HeartbeatBacklog(context.features.recovery.lists_per_window);
  }

  /** Number of queued heartbeats. */
  get size(): number {
    return this.backlog.size;
  }

  /**
   * Enqueues the heartbeat unless it may be reconciled now. An older queued heartbeat of the same machine is removed.
   * If it has no response yet, it gets a 503 response.
   */
  admitOrEnqueue(backlogged: BackloggedHeartbeat): QueueDecision {
    const { machine, heartbeat } = backlogged;
    const replaced = this.backlog.remove(machine.id);
    replaced?.respond?.(UNAVAILABLE);
    if (this.backlog.admit(this.context.now.monotonic)) return 'due';
    this.backlog.add(machine.id, backlogged);
    machine.messages.recordHeartbeatSequence(heartbeat.sequence);
    this.dueTimer.setIfUnset(this.backlog.nextDueAt() ?? this.context.now.monotonic);
    return 'queued';
  }

  /**
   * Processes as many heartbeats as the rate limit admits now, and renews the leases of those whose deadline has
   * expired.
   */
  private processDue(): void {
    const now = this.context.now.monotonic;
    for (const backlogged of this.backlog.takeDue(now)) this.callbacks.process(backlogged);
    for (const backlogged of this.backlog.pending()) {
      if (backlogged.deadline > now) break;
      backlogged.respond?.(this.callbacks.leaseRenewal(backlogged.heartbeat));
      backlogged.respond = null;
    }
    const next = this.backlog.nextDueAt();
    if (next !== null) this.dueTimer.set(next);
  }

  /** Responds with 503 to all queued heartbeats that have no response yet. */
  stop(): void {
    for (const { respond } of this.backlog.pending()) respond?.(UNAVAILABLE);
  }
}
