import { HeartbeatBacklog } from '../../recovery/index.js';
import type { Machine } from '../machines/machine.js';
import type { HeartbeatResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { Heartbeat, MonotonicTime } from '../types.js';

export type HeartbeatResponder = (answer: HeartbeatResponse) => void;

/** A report whose list of tasks has yet to be looked at. */
export interface BackloggedHeartbeat {
  readonly machine: Machine;
  readonly heartbeat: Heartbeat;
  /** Whether it is the machine's first report to this leader. */
  readonly isFirst: boolean;
  /** The report is answered by then, whether or not its list has been looked at. */
  readonly deadline: MonotonicTime;
  /** Null: it has been answered, and only the list is left to be looked at. */
  respond: HeartbeatResponder | null;
}

export interface BacklogCallbacks {
  process(list: BackloggedHeartbeat): void;
  /** What a report is answered whose list has to wait for longer. */
  leaseRenewal(): HeartbeatResponse;
}

const UNAVAILABLE: HeartbeatResponse = { status: 503 };

/** In the storm after a cold start lists are looked at in their turn, and leases are renewed whether or not it has come. */
export class BackloggedHeartbeats {
  private readonly backlog: HeartbeatBacklog<BackloggedHeartbeat>;

  constructor(
    private readonly context: StepContext,
    private readonly callbacks: BacklogCallbacks,
  ) {
    this.backlog = new HeartbeatBacklog(context.features.recovery.lists_per_window);
  }

  get size(): number {
    return this.backlog.size;
  }

  /** Returns whether the list has to wait; otherwise it is to be looked at now. */
  mustWait(list: BackloggedHeartbeat): boolean {
    const { machine, heartbeat } = list;
    const replaced = this.backlog.remove(machine.id);
    replaced?.respond?.(UNAVAILABLE);
    if (this.backlog.admit(this.context.now.monotonic)) return false;
    this.backlog.add(machine.id, list);
    machine.messages.recordHeartbeatSequence(heartbeat.sequence);
    this.context.timers.setIfUnset('reportBacklog', this.backlog.nextDueAt() ?? this.context.now.monotonic);
    return true;
  }

  /** Looks at lists whose turn it is, and answers those that have waited for long. */
  onTimer(): void {
    const now = this.context.now.monotonic;
    for (const list of this.backlog.takeDue(now)) this.callbacks.process(list);
    for (const list of this.backlog.pending()) {
      if (list.deadline > now) break;
      list.respond?.(this.callbacks.leaseRenewal());
      list.respond = null;
    }
    const next = this.backlog.nextDueAt();
    if (next !== null) this.context.timers.set('reportBacklog', next);
  }

  stop(): void {
    for (const { respond } of this.backlog.pending()) respond?.(UNAVAILABLE);
  }
}
