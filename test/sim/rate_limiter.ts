import type { Clock } from './clock.js';

/** A rate as the state service enforces it: bursts of one second's worth, whatever is beyond is refused. */
export class RateLimiter {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
  ) {
    this.tokens = perSecond;
    this.refilledAt = clock.now;
  }

  /** Takes `count` tokens if they are there. */
  tryTake(count: number): boolean {
    if (!Number.isFinite(this.perSecond)) return true;
    const elapsedS = (this.clock.now - this.refilledAt) / 1000;
    this.refilledAt = this.clock.now;
    this.tokens = Math.min(this.perSecond, this.tokens + elapsedS * this.perSecond);
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}
