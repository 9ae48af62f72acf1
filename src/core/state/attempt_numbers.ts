/** Numbers the starts of tasks, so that those of a later term are higher than those of any earlier one. */
import type { Attempt } from '../types.js';

/** Attempts of one term are numbered within so many bits. */
const ATTEMPTS_PER_TERM_BITS = 24n;

/** The attempt numbers of one term. */
export class AttemptNumbers {
  private readonly first: bigint;
  private count = 0n;

  constructor(term: number) {
    this.first = BigInt(term) << ATTEMPTS_PER_TERM_BITS;
  }

  /** Returns a number higher than any attempt of an earlier term, and than any earlier one of this term. */
  next(): Attempt {
    this.count += 1n;
    return (this.first + this.count) as Attempt;
  }

  /** Returns whether the attempt was started in an earlier term. */
  isOfEarlierTerm(attempt: Attempt): boolean {
    return attempt < this.first;
  }
}
