import type { JobSpec } from '../types.js';

interface Seen {
  n: number;
  logSum: number;
  squares: number;
}

/** As long as any plan looks ahead: room that a replica has taken doesn't come free. */
const FOREVER_S = 3600;

/**
 * How far the owners' estimates are off, per class: mean and spread of log(actual / estimate), pulled towards "right, give
 * or take half" while few tasks have been seen.
 */
export class Estimates {
  private readonly classes = new Map<string, Seen>();
  private static readonly PRIOR = 8;
  private static readonly PRIOR_SPREAD = 0.5;
  private static readonly MEMORY = 200;

  private meanOf(seen: Seen | undefined): number {
    return seen ? seen.logSum / (seen.n + Estimates.PRIOR) : 0;
  }

  /** Returns how much longer than expected it took, as a logarithm: 0 is as expected. */
  observe(spec: JobSpec, actualS: number): number {
    if (!(actualS > 0) || !(spec.estimateS > 0)) return 0;
    const ratio = Math.min(3, Math.max(-3, Math.log(actualS / spec.estimateS)));
    let seen = this.classes.get(spec.jobClass);
    if (!seen) {
      seen = { n: 0, logSum: 0, squares: 0 };
      this.classes.set(spec.jobClass, seen);
    }
    const surprise = ratio - this.meanOf(seen);
    seen.n += 1;
    seen.logSum += ratio;
    seen.squares += surprise * surprise;
    if (seen.n > Estimates.MEMORY) {
      const keep = Estimates.MEMORY / seen.n;
      seen.logSum *= keep;
      seen.squares *= keep;
      seen.n = Estimates.MEMORY;
    }
    return surprise;
  }

  /** Expected run time of one task, in seconds. A service's replicas run until they are called off. */
  expectS(spec: JobSpec): number {
    if (spec.shape === 'service') return FOREVER_S;
    return Math.max(0.5, spec.estimateS * Math.exp(this.meanOf(this.classes.get(spec.jobClass))));
  }

  /** How uncertain that is: the spread of log(actual / expected). */
  spread(spec: JobSpec): number {
    const seen = this.classes.get(spec.jobClass) ?? { n: 0, logSum: 0, squares: 0 };
    const prior = Estimates.PRIOR * Estimates.PRIOR_SPREAD ** 2;
    return Math.max(0.1, Math.sqrt((prior + seen.squares) / (seen.n + Estimates.PRIOR)));
  }
}
