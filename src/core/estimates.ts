import type { JobSpec } from './types.js';

interface Seen {
  n: number;
  logSum: number;
}

/**
 * How far the owners' estimates are off, per class: the mean of log(actual / estimate), pulled towards "right" while
 * few tasks have been seen.
 */
export class Estimates {
  private readonly classes = new Map<string, Seen>();
  private static readonly PRIOR = 8;
  private static readonly MEMORY = 200;

  observe(spec: JobSpec, actualS: number): void {
    if (!(actualS > 0) || !(spec.estimateS > 0)) return;
    const ratio = Math.min(3, Math.max(-3, Math.log(actualS / spec.estimateS)));
    let seen = this.classes.get(spec.jobClass);
    if (!seen) {
      seen = { n: 0, logSum: 0 };
      this.classes.set(spec.jobClass, seen);
    }
    seen.n += 1;
    seen.logSum += ratio;
    if (seen.n > Estimates.MEMORY) {
      seen.logSum *= Estimates.MEMORY / seen.n;
      seen.n = Estimates.MEMORY;
    }
  }

  /** Expected run time of one task, in seconds. */
  expectS(spec: JobSpec): number {
    const seen = this.classes.get(spec.jobClass);
    const factor = seen ? Math.exp(seen.logSum / (seen.n + Estimates.PRIOR)) : 1;
    return Math.max(0.5, spec.estimateS * factor);
  }
}
