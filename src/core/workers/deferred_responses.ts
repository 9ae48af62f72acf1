/** Defers heartbeat responses until their commands are known. */
import type { Machine } from '../machines/machine.js';
import type { TermTimers } from '../state/term_timers.js';
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import type { Heartbeat, MonotonicTime } from '../types.js';
import { type HeartbeatResponder, UNAVAILABLE } from './heartbeat_response.js';

/** Responses wait for a planning round that is due within the minimum spacing of rounds plus this many milliseconds. */
const IMMINENT_ROUND_MS = 20;

/** Why a response is deferred. */
type DeferralReason =
  /** It waits for a planning round, or for records that a start depends on. */
  | 'startsPending'
  /** The machine has no tasks, and the response waits for work to be placed on it. */
  | 'machineIdle';

/** A response that can be sent at any time. Its commands are built when it is sent. */
export interface PendingResponse {
  readonly respond: HeartbeatResponder;
  readonly machine: Machine;
  /** The heartbeat that the response belongs to. */
  readonly heartbeat: Heartbeat;
}

interface DeferredResponse extends PendingResponse {
  readonly reason: DeferralReason;
  /** Latest time for the response, regardless of what it waits for. */
  readonly deadline: MonotonicTime;
}

/** Operations of the heartbeat handler that deferred responses use. */
interface DeferralCallbacks {
  /** Returns whether a start on the machine waits for a record that is still being written. */
  awaitsWrites(machine: Machine): boolean;
  /** Builds the commands and sends the response. */
  send(response: PendingResponse): void;
}

/** Deferred heartbeat responses. Each is sent when it no longer needs to wait or when its deadline expires. */
export class DeferredResponses {
  private deferred: DeferredResponse[] = [];
  private readonly deadlineTimer: Timer;

  constructor(
    private readonly context: StepContext,
    private readonly timers: TermTimers,
    private readonly callbacks: DeferralCallbacks,
  ) {
    this.deadlineTimer = timers.create(() => this.release());
  }

  /** Defers a response for at most `maxDeferralMs`. */
  defer({ respond, machine, heartbeat }: PendingResponse, reason: DeferralReason, maxDeferralMs: number): void {
    const deadline = this.context.after(maxDeferralMs);
    this.deferred.push({ respond, machine, heartbeat, reason, deadline });
    this.deadlineTimer.bringForward(deadline);
  }

  /** Sends the responses that no longer need to wait. */
  release(): void {
    if (this.deferred.length === 0) return;
    const isRoundImminent = this.isRoundImminent();
    const stillDeferred: DeferredResponse[] = [];
    let nextDeadline: MonotonicTime | null = null;
    for (const response of this.deferred) {
      if (!this.mustWait(response, isRoundImminent)) {
        this.callbacks.send(response);
        continue;
      }
      stillDeferred.push(response);
      if (nextDeadline === null || response.deadline < nextDeadline) nextDeadline = response.deadline;
    }
    this.deferred = stillDeferred;
    if (nextDeadline !== null) this.deadlineTimer.set(nextDeadline);
  }

  /** Sends `UNAVAILABLE` for all deferred responses. */
  stop(): void {
    for (const { respond } of this.deferred) respond(UNAVAILABLE);
    this.deferred = [];
  }

  private isRoundImminent(): boolean {
    const withinMs = this.context.tuning.scheduler.spacing_ms + IMMINENT_ROUND_MS;
    return this.timers.planningRound.isDueBy(this.context.after(withinMs));
  }

  private mustWait({ deadline, reason, machine }: DeferredResponse, isRoundImminent: boolean): boolean {
    if (deadline <= this.context.now.monotonic) return false;
    switch (reason) {
      case 'machineIdle':
        // Once a task is placed on the machine, the response waits only for the records that its start depends on.
        return machine.allocations.taskCount === 0 || this.callbacks.awaitsWrites(machine);
      case 'startsPending':
        return isRoundImminent || this.callbacks.awaitsWrites(machine);
    }
  }
}
