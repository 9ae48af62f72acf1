import type { JobId } from '../types.js';

export interface Evidence {
  /** log(actual / expected), or at least so much for work that still runs. */
  readonly surprise: number;
  /** How uncertain the expectation was. */
  readonly spread: number;
}

const JOBS_KEPT = 6;
const SURE = 3;
export const SLOW_FACTOR = Math.log(2);

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

  forget(job: JobId): void {
    this.jobs.delete(job);
  }

  isSlow(running: ReadonlyMap<JobId, Evidence>): boolean {
    const all = new Map([...this.jobs, ...running]);
    if (all.size < 2) return false;
    let weight = 0;
    let sum = 0;
    for (const { surprise, spread } of all.values()) {
      const w = 1 / (spread * spread);
      weight += w;
      sum += w * surprise;
    }
    const mean = sum / weight;
    return mean > SLOW_FACTOR && mean * Math.sqrt(weight) > SURE;
  }
}
