/** Holds back responses to heartbeats whose commands are not known yet. */
import type { Machine } from '../machines/machine.js';
import type { TermTimers } from '../state/term_timers.js';
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import type { MonotonicTime, SequenceNumber } from '../types.js';
import { type HeartbeatResponder, UNAVAILABLE } from './heartbeat_response.js';

/** A planning round that is due within its least spacing and this much more is waited for. */
const IMMINENT_ROUND_MS = 20;

/** What a response waits for. */
type DeferralReason =
  /** A planning round, or records that a start depends on. */
  | 'startsPending'
  /** Work for a machine that has none. */
  | 'machineIdle';

/** A response that can be sent at any time: the commands are put together only then. */
export interface PendingResponse {
  readonly respond: HeartbeatResponder;
  readonly machine: Machine;
  /** The sequence number of the heartbeat that is responded to. */
  readonly sequence: SequenceNumber;
}

interface DeferredResponse extends PendingResponse {
  readonly reason: DeferralReason;
  /** The response is sent by then, whatever it waits for. */
  readonly deadline: MonotonicTime;
}

/** What deferred responses ask of the heartbeat handler. */
interface DeferralCallbacks {
  /** Whether a start on the machine waits for a record that is still being written. */
  awaitsWrites(machine: Machine): boolean;
  /** Puts the commands together and sends the response. */
  send(response: PendingResponse): void;
}

/** The responses that are held back, each until what it waits for is there or its deadline has come. */
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

  /** Holds a response back for `maxDeferralMs` at most. */
  defer({ respond, machine, sequence }: PendingResponse, reason: DeferralReason, maxDeferralMs: number): void {
    const deadline = this.context.after(maxDeferralMs);
    this.deferred.push({ respond, machine, sequence, reason, deadline });
    this.deadlineTimer.bringForward(deadline);
  }

  /** Sends the responses that have nothing left to wait for. */
  release(): void {
    if (this.deferred.length === 0) return;
    const isRoundImminent = this.isRoundImminent();
    const kept: DeferredResponse[] = [];
    let nextDeadline: MonotonicTime | null = null;
    for (const response of this.deferred) {
      if (!this.mustWait(response, isRoundImminent)) {
        this.callbacks.send(response);
        continue;
      }
      kept.push(response);
      if (nextDeadline === null || response.deadline < nextDeadline) nextDeadline = response.deadline;
    }
    this.deferred = kept;
    if (nextDeadline !== null) this.deadlineTimer.set(nextDeadline);
  }

  /** Answers all that are held back with `UNAVAILABLE`. */
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
        // A task was placed on the machine: from then on the response waits as for any other start.
        return machine.allocations.taskCount === 0 || this.callbacks.awaitsWrites(machine);
      case 'startsPending':
        return isRoundImminent || this.callbacks.awaitsWrites(machine);
    }
  }
}
