import type { JobId } from '../types.js';

/** What one job says of a machine's speed. */
export interface Evidence {
  /** log(actual / expected), or at least so much for work that still runs. */
  readonly surprise: number;
  /** How uncertain the expectation was. */
  readonly spread: number;
}

const JOBS_KEPT = 6;
const MIN_JOBS = 2;
/** The mean must be so many of its own standard errors above zero. */
const MIN_STANDARD_ERRORS = 3;
/** A machine is slow that takes twice as long as expected, as a logarithm. */
export const SLOW_FACTOR = Math.log(2);
/** A job that runs long on so many machines was estimated wrongly, and is no evidence against any of them. */
export const WRONG_ESTIMATE_MACHINES = 2;

/**
 * Tells a slow machine from wrong estimates. Each job speaks once, weighed by how sure the estimates of its class are, and
 * it takes at least two jobs: one job's estimate may be wrong wherever it runs.
 */
export class Slowness {
  private readonly jobs = new Map<JobId, Evidence>();

  note(job: JobId, evidence: Evidence): void {
    this.jobs.delete(job);
    this.jobs.set(job, evidence);
    if (this.jobs.size <= JOBS_KEPT) return;
    const oldest = this.jobs.keys().next();
    if (!oldest.done) this.jobs.delete(oldest.value);
  }

  /** `running`: what work that still runs there says by now. */
  isSlow(running: ReadonlyMap<JobId, Evidence>): boolean {
    if (this.jobs.size + running.size < MIN_JOBS) return false;
    const evidence = new Map([...this.jobs, ...running]);
    if (evidence.size < MIN_JOBS) return false;
    let totalWeight = 0;
    let weightedSum = 0;
    for (const { surprise, spread } of evidence.values()) {
      const weight = 1 / (spread * spread);
      totalWeight += weight;
      weightedSum += weight * surprise;
    }
    const mean = weightedSum / totalWeight;
    return mean > SLOW_FACTOR && mean * Math.sqrt(totalWeight) > MIN_STANDARD_ERRORS;
  }
}
