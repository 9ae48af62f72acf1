/**
 * Numbers the attempts of tasks so that attempts of a later term have higher numbers than those of any previous term.
 */
import type { Attempt } from '../types.js';

/** Number of low bits of an attempt number that count the attempts of one term. The higher bits hold the term. */
const ATTEMPT_COUNTER_BITS = 24n;

/** Generates the attempt numbers of one term. */
export class AttemptNumbers {
  private readonly base: bigint;
  private count = 0n;

  constructor(term: number) {
    this.base = BigInt(term) << ATTEMPT_COUNTER_BITS;
  }

  /** Returns a number higher than any attempt of a previous term and any number returned before. */
  next(): Attempt {
    this.count += 1n;
    return (this.base + this.count) as Attempt;
  }

  /** Returns whether the attempt was started in a previous term. */
  isOfPreviousTerm(attempt: Attempt): boolean {
    return attempt < this.base;
  }
}
