import type { MonotonicTime } from '../types.js';

/** A token bucket on the steady clock that it is given. */
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

  /** A node's part of a shared limit changes with what it does: what is in the bucket stays, up to the new burst. */
  resize(ratePerS: number, burst: number, now: MonotonicTime): void {
    this.refill(now);
    this.ratePerSecond = ratePerS;
    this.burst = burst;
    this.available = Math.min(this.available, burst);
  }

  /** The part of the burst that is there now, 0 to 1; negative while in debt. */
  fillRatio(now: MonotonicTime): number {
    this.refill(now);
    return this.available / this.burst;
  }

  hasTokens(tokens: number, now: MonotonicTime): boolean {
    if (tokens <= 0) return true;
    this.refill(now);
    return this.available >= this.cappedCost(tokens);
  }

  take(tokens: number, now: MonotonicTime): void {
    this.refill(now);
    this.available -= tokens;
  }

  /** How many tokens can be paid until then, one after the other. */
  availableBy(deadline: MonotonicTime, now: MonotonicTime): number {
    this.refill(now);
    return this.available + (Math.max(0, deadline - now) / 1000) * this.ratePerSecond;
  }

  /** Milliseconds until so many tokens are there. */
  waitMs(tokens: number, now: MonotonicTime): number {
    this.refill(now);
    return Math.max(0, ((this.cappedCost(tokens) - this.available) / this.ratePerSecond) * 1000);
  }

  /** A charge above the burst could never be met: it waits for a full bucket and runs it into debt. */
  private cappedCost(tokens: number): number {
    return Math.min(tokens, this.burst);
  }

  private refill(now: MonotonicTime): void {
    if (now <= this.refilledAt) return;
    const elapsedS = (now - this.refilledAt) / 1000;
    this.available = Math.min(this.burst, this.available + elapsedS * this.ratePerSecond);
    this.refilledAt = now;
  }
}
