/** A rate limit with bursts. */
import type { MonotonicTime } from '../types.js';

const MS_PER_SECOND = 1000;

/** Fills at a rate per second up to a burst; what is taken beyond its content is a debt. Times are on the monotonic clock. */
export class TokenBucket {
  private available: number;
  private refilledAt: MonotonicTime;

  constructor(
    private ratePerSecond: number,
    private burst: number,
    now: MonotonicTime,
  ) {
    this.available = burst;
    this.refilledAt = now;
  }

  /** A controller's share of a limit changes with its role: what is in the bucket stays, up to the new burst. */
  resize(ratePerSecond: number, burst: number, now: MonotonicTime): void {
    this.refill(now);
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.available = Math.min(this.available, burst);
  }

  /** The part of the burst that is there now, 0 to 1; negative while in debt. */
  fillRatio(now: MonotonicTime): number {
    this.refill(now);
    return this.available / this.burst;
  }

  /** Whether so many tokens can be taken now. */
  hasTokens(tokens: number, now: MonotonicTime): boolean {
    if (tokens <= 0) return true;
    this.refill(now);
    return this.available >= this.cappedCost(tokens);
  }

  /** Takes tokens, whether or not they are there. */
  take(tokens: number, now: MonotonicTime): void {
    this.refill(now);
    this.available -= tokens;
  }

  /** Returns how many tokens can be taken until then, one after the other. */
  availableBy(deadline: MonotonicTime, now: MonotonicTime): number {
    this.refill(now);
    return this.available + (Math.max(0, deadline - now) / MS_PER_SECOND) * this.ratePerSecond;
  }

  /** Returns the milliseconds until so many tokens can be taken; 0: they can be now. */
  waitMs(tokens: number, now: MonotonicTime): number {
    this.refill(now);
    return Math.max(0, ((this.cappedCost(tokens) - this.available) / this.ratePerSecond) * MS_PER_SECOND);
  }

  /** A charge above the burst could never be met: it waits for a full bucket and runs it into debt. */
  private cappedCost(tokens: number): number {
    return Math.min(tokens, this.burst);
  }

  private refill(now: MonotonicTime): void {
    if (now <= this.refilledAt) return;
    const elapsedSeconds = (now - this.refilledAt) / MS_PER_SECOND;
    this.available = Math.min(this.burst, this.available + elapsedSeconds * this.ratePerSecond);
    this.refilledAt = now;
  }
}
