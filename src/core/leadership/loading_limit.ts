/** Determines when a leader that cannot load the state of previous terms leaves the leadership to another controller. */
import type { StepContext } from '../step_context.js';
import type { MonotonicTime } from '../types.js';

/** Minimum time in milliseconds for which a leader whose responses renew workers' leases may load the state. */
const MIN_LOADING_LIMIT_MS = 24_000;
/**
 * The same limit as a multiple of the back-off after stepping down. The controllers that led before this one can then
 * be elected again, so that leases are renewed without a gap.
 */
const LOADING_LIMIT_BACKOFFS = 2;

/** What the limit depends on besides the time. */
export interface LoadingConditions {
  /** Returns whether responses may renew workers' leases. */
  hasRecentJobView(): boolean;
  /** Returns whether another controller is alive and reaches the state store. */
  isAnyPeerAbleToLead(): boolean;
}

/** Limits how long one leader may load the state. Another controller may be able to read what this one cannot. */
export class LoadingLimit {
  private readonly electedAt: MonotonicTime;

  constructor(
    private readonly context: StepContext,
    private readonly conditions: LoadingConditions,
  ) {
    this.electedAt = context.now.monotonic;
  }

  /** Returns whether the leader should step down. A leader without a peer that can replace it continues to load. */
  isExceeded(): boolean {
    const loadingMs = this.context.now.monotonic - this.electedAt;
    return loadingMs >= this.limitMs() && this.conditions.isAnyPeerAbleToLead();
  }

  private limitMs(): number {
    const { backoff_ms, resign_after_ms } = this.context.tuning.leadership;
    if (!this.conditions.hasRecentJobView()) return resign_after_ms;
    return Math.max(MIN_LOADING_LIMIT_MS, LOADING_LIMIT_BACKOFFS * backoff_ms);
  }
}
