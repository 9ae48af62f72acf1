import type { Steady } from '../types.js';

/** A token bucket on the steady clock that it is given. */
export class TokenBucket {
  private level: number;
  private refilledAt: Steady;

  constructor(
    private ratePerS: number,
    private burst: number,
    now: Steady,
  ) {
    this.level = burst;
    this.refilledAt = now;
  }

  /** A node's part of a shared limit changes with what it does: what is in the bucket stays, up to the new burst. */
  resize(ratePerS: number, burst: number, now: Steady): void {
    this.refill(now);
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.level = Math.min(this.level, burst);
  }

  /** The part of the burst that is there now, 0 to 1; negative while in debt. */
  fullness(now: Steady): number {
    this.refill(now);
    return this.level / this.burst;
  }

  has(tokens: number, now: Steady): boolean {
    if (tokens <= 0) return true;
    this.refill(now);
    return this.level >= this.payable(tokens);
  }

  take(tokens: number, now: Steady): void {
    this.refill(now);
    this.level -= tokens;
  }

  /** How many tokens can be paid until then, one after the other. */
  payableBy(deadline: Steady, now: Steady): number {
    this.refill(now);
    return this.level + (Math.max(0, deadline - now) / 1000) * this.ratePerS;
  }

  /** Milliseconds until so many tokens are there. */
  waitMs(tokens: number, now: Steady): number {
    this.refill(now);
    return Math.max(0, ((this.payable(tokens) - this.level) / this.ratePerS) * 1000);
  }

  /** A charge above the burst could never be met: it waits for a full bucket and runs it into debt. */
  private payable(tokens: number): number {
    return Math.min(tokens, this.burst);
  }

  private refill(now: Steady): void {
    if (now <= this.refilledAt) return;
    const elapsedS = (now - this.refilledAt) / 1000;
    this.level = Math.min(this.burst, this.level + elapsedS * this.ratePerS);
    this.refilledAt = now;
  }
}
