import { ReportBacklog } from '../../recovery/index.js';
import type { Machine } from '../machines/machine.js';
import type { HeartbeatResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { Heartbeat, MonotonicTime } from '../types.js';

export type ReportReply = (answer: HeartbeatResponse) => void;

/** A report whose list of tasks has yet to be looked at. */
export interface UnreadList {
  readonly machine: Machine;
  readonly report: Heartbeat;
  /** Whether it is the machine's first report to this leader. */
  readonly isFirst: boolean;
  /** The report is answered by then, whether or not its list has been looked at. */
  readonly until: MonotonicTime;
  /** Null: it has been answered, and only the list is left to be looked at. */
  reply: ReportReply | null;
}

export interface UnreadListCallbacks {
  take(list: UnreadList): void;
  /** What a report is answered whose list has to wait for longer. */
  renewal(): HeartbeatResponse;
}

const UNAVAILABLE: HeartbeatResponse = { status: 503 };

/** In the storm after a cold start lists are looked at in their turn, and leases are renewed whether or not it has come. */
export class UnreadLists {
  private readonly backlog: ReportBacklog<UnreadList>;

  constructor(
    private readonly context: StepContext,
    private readonly callbacks: UnreadListCallbacks,
  ) {
    this.backlog = new ReportBacklog(context.features.recovery.lists_per_window);
  }

  get size(): number {
    return this.backlog.size;
  }

  /** Returns whether the list has to wait; otherwise it is to be looked at now. */
  mustWait(list: UnreadList): boolean {
    const { machine, report } = list;
    const replaced = this.backlog.remove(machine.id);
    replaced?.reply?.(UNAVAILABLE);
    if (this.backlog.admit(this.context.now.monotonic)) return false;
    this.backlog.add(machine.id, list);
    machine.lastHeartbeatSequence = report.sequence;
    this.context.timers.setIfUnset('reportBacklog', this.backlog.nextDueAt() ?? this.context.now.monotonic);
    return true;
  }

  /** Looks at lists whose turn it is, and answers those that have waited for long. */
  onTimer(): void {
    const now = this.context.now.monotonic;
    for (const list of this.backlog.takeDue(now)) this.callbacks.take(list);
    for (const list of this.backlog.pending()) {
      if (list.until > now) break;
      list.reply?.(this.callbacks.renewal());
      list.reply = null;
    }
    const next = this.backlog.nextDueAt();
    if (next !== null) this.context.timers.set('reportBacklog', next);
  }

  stop(): void {
    for (const { reply } of this.backlog.pending()) reply?.(UNAVAILABLE);
  }
}
