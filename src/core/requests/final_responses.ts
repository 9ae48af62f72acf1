/** Delays responses with a final state until no controller sends a response with an earlier state of the job. */
import type { JobCache } from '../jobs/job_cache.js';
import { isFinalStatus, type UserResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import { addMilliseconds, type MonotonicTime } from '../types.js';
import { FINAL_STATE_DELAY_MS } from './state_validity.js';

interface DelayedResponse {
  readonly dueAt: MonotonicTime;
  readonly send: () => void;
}

/** Sends each response at once, or once its final state has been known here for `FINAL_STATE_DELAY_MS`. */
export class FinalResponses {
  private delayed: DelayedResponse[] = [];
  private readonly timer: Timer;

  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
  ) {
    this.timer = context.timers.create(() => this.sendDue());
  }

  /** Calls `send` now, or when the response may be sent. */
  sendWhenFinal(response: UserResponse, send: () => void): void {
    const dueAt = this.dueAt(response);
    if (dueAt === null || dueAt <= this.context.now.monotonic) {
      send();
      return;
    }
    this.delayed.push({ dueAt, send });
    this.timer.bringForward(dueAt);
  }

  /** Returns null if the response need not wait. That includes final states which only a peer's response shows. */
  private dueAt(response: UserResponse): MonotonicTime | null {
    const isFinal = 'jobStatus' in response && isFinalStatus(response.jobStatus);
    const known = isFinal ? this.jobCache.get(response.id) : undefined;
    return known && known.state !== 'accepted' ? addMilliseconds(known.knownSince, FINAL_STATE_DELAY_MS) : null;
  }

  private sendDue(): void {
    const now = this.context.now.monotonic;
    const due = this.delayed.filter(({ dueAt }) => dueAt <= now);
    this.delayed = this.delayed.filter(({ dueAt }) => dueAt > now);
    for (const { dueAt } of this.delayed) this.timer.bringForward(dueAt);
    for (const { send } of due) send();
  }
}
