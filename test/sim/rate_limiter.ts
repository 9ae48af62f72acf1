/** A token bucket for simulated rate limits. */
import type { Clock } from './clock.js';

/**
 * A token bucket as the state store and the cloud enforce it. It holds at most the tokens of `burstSeconds`. Requests
 * that need more tokens than it holds are refused.
 */
export class RateLimiter {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burstSeconds = 1,
  ) {
    this.tokens = perSecond * burstSeconds;
    this.refilledAt = clock.now;
  }

  /** Takes `count` tokens and returns true, or returns false if there are fewer. */
  tryTake(count: number): boolean {
    if (!Number.isFinite(this.perSecond)) return true;
    const elapsedS = (this.clock.now - this.refilledAt) / 1000;
    this.refilledAt = this.clock.now;
    this.tokens = Math.min(this.perSecond * this.burstSeconds, this.tokens + elapsedS * this.perSecond);
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}
