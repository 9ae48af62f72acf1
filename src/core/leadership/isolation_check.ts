/** Determines when a leader whose responses do not reach most machines leaves the leadership to another controller. */
import type { StepContext } from '../step_context.js';
import type { MonotonicTime } from '../types.js';

/** Tracks for how long most machines that send heartbeats have not reacted to responses. */
export class IsolationCheck {
  /** Since when most machines have not reacted. Null while they react. */
  private isolatedSince: MonotonicTime | null = null;

  constructor(private readonly context: StepContext) {}

  /**
   * Records whether most machines do not react at this moment. Returns whether that has lasted for so long that the
   * leader should step down.
   */
  recordIsolation(isIsolated: boolean): boolean {
    const now = this.context.now.monotonic;
    if (!isIsolated) {
      this.isolatedSince = null;
      return false;
    }
    this.isolatedSince ??= now;
    return now - this.isolatedSince >= this.context.tuning.leadership.resign_after_ms;
  }
}
