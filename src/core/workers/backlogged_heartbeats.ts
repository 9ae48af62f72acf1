/** Puts heartbeats in line where more have come at once than can be reconciled, as in the storm after a cold start. */
import { HeartbeatBacklog } from '../../recovery/index.js';
import type { Machine } from '../machines/machine.js';
import type { HeartbeatResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { Timer, TimerFactory } from '../timers.js';
import type { Heartbeat, MonotonicTime } from '../types.js';
import { type HeartbeatResponder, UNAVAILABLE } from './heartbeat_response.js';

/** A heartbeat that was recorded, and has yet to be reconciled. */
export interface BackloggedHeartbeat {
  readonly machine: Machine;
  readonly heartbeat: Heartbeat;
  /** Whether it is the machine's first heartbeat to this leader. */
  readonly isFirst: boolean;
  /** The response is sent by then, whether or not the heartbeat has been reconciled. */
  readonly deadline: MonotonicTime;
  /** Null once the response was sent, and only the reconciliation is left. */
  respond: HeartbeatResponder | null;
}

/** Whether a heartbeat is reconciled now, or waits in the backlog. */
export type Turn = 'due' | 'queued';

/** What the backlog asks of the heartbeat handler. */
interface BacklogCallbacks {
  /** Reconciles a heartbeat whose turn has come, and responds to it unless that was done. */
  process(backlogged: BackloggedHeartbeat): void;
  /** Returns the response to a heartbeat whose deadline comes before its turn. */
  leaseRenewal(): HeartbeatResponse;
}

/** Heartbeats are reconciled in their turn, the newest of each machine; leases are renewed whether or not it has come. */
export class BackloggedHeartbeats {
  private readonly backlog: HeartbeatBacklog<BackloggedHeartbeat>;
  private readonly turnTimer: Timer;

  constructor(
    private readonly context: StepContext,
    timers: TimerFactory,
    private readonly callbacks: BacklogCallbacks,
  ) {
    this.turnTimer = timers.create(() => this.processDue());
    this.backlog = new HeartbeatBacklog(context.features.recovery.lists_per_window);
  }

  /** How many heartbeats wait. */
  get size(): number {
    return this.backlog.size;
  }

  /** Puts the heartbeat in line unless it is its turn now. An older one of the machine that waits is answered 503. */
  takeTurn(backlogged: BackloggedHeartbeat): Turn {
    const { machine, heartbeat } = backlogged;
    const replaced = this.backlog.remove(machine.id);
    replaced?.respond?.(UNAVAILABLE);
    if (this.backlog.admit(this.context.now.monotonic)) return 'due';
    this.backlog.add(machine.id, backlogged);
    machine.messages.recordHeartbeatSequence(heartbeat.sequence);
    this.turnTimer.setIfUnset(this.backlog.nextDueAt() ?? this.context.now.monotonic);
    return 'queued';
  }

  /** Processes the heartbeats whose turn it is, and renews the leases of those whose deadline has come. */
  private processDue(): void {
    const now = this.context.now.monotonic;
    for (const backlogged of this.backlog.takeDue(now)) this.callbacks.process(backlogged);
    for (const backlogged of this.backlog.pending()) {
      if (backlogged.deadline > now) break;
      backlogged.respond?.(this.callbacks.leaseRenewal());
      backlogged.respond = null;
    }
    const next = this.backlog.nextDueAt();
    if (next !== null) this.turnTimer.set(next);
  }

  /** Answers all that wait with 503. */
  stop(): void {
    for (const { respond } of this.backlog.pending()) respond?.(UNAVAILABLE);
  }
}
