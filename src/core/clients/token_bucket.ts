/** Limits a rate while allowing bursts. */
import type { MonotonicTime } from '../types.js';

const MS_PER_SECOND = 1000;

/**
 * A token bucket that refills at a rate per second up to the burst size. Taking more tokens than are available leaves a
 * debt. Times are on the monotonic clock.
 */
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

  /**
   * Changes the rate and the burst size, as a controller's share of a limit changes with its role. Available tokens are
   * kept up to the new burst size.
   */
  resize(ratePerSecond: number, burst: number, now: MonotonicTime): void {
    this.refill(now);
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.available = Math.min(this.available, burst);
  }

  /** Returns the share of the burst size that is available now, 0 to 1. Negative while in debt. */
  fillRatio(now: MonotonicTime): number {
    this.refill(now);
    return this.available / this.burst;
  }

  /** Returns whether the given number of tokens can be taken now. */
  hasTokens(tokens: number, now: MonotonicTime): boolean {
    if (tokens <= 0) return true;
    this.refill(now);
    return this.available >= this.cappedCost(tokens);
  }

  /** Takes tokens, whether or not they are available. */
  take(tokens: number, now: MonotonicTime): void {
    this.refill(now);
    this.available -= tokens;
  }

  /** Returns how many tokens can be taken one by one until the deadline. The burst size does not limit them. */
  availableBy(deadline: MonotonicTime, now: MonotonicTime): number {
    this.refill(now);
    return this.available + (Math.max(0, deadline - now) / MS_PER_SECOND) * this.ratePerSecond;
  }

  /** Returns the milliseconds until the given number of tokens can be taken, 0 if they can be taken now. */
  waitMs(tokens: number, now: MonotonicTime): number {
    this.refill(now);
    return Math.max(0, ((this.cappedCost(tokens) - this.available) / this.ratePerSecond) * MS_PER_SECOND);
  }

  /**
   * Returns the tokens that must be available for a cost. A cost above the burst size could never be available, so it
   * waits for a full bucket and leaves a debt.
   */
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
