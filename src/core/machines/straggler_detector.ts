/** Tells a machine that is slow from jobs whose run times were estimated wrongly. */
import type { JobId } from '../types.js';

/** What one job shows of a machine's speed. */
export interface StragglerEvidence {
  /** log(actual / expected), or at least so much for work that still runs. */
  readonly logRatio: number;
  /** How uncertain the expectation was. */
  readonly logStandardDeviation: number;
}

const MAX_JOBS = 6;
const MIN_JOBS = 2;
/** The mean must be so many of its own standard errors above zero. */
const MIN_STANDARD_ERRORS = 3;
/** A machine is a straggler that takes twice as long as expected, as a logarithm. */
export const STRAGGLER_LOG_RATIO = Math.log(2);

/**
 * The evidence against one machine. Each job speaks once, weighed by how sure the estimates of its class are, and
 * it takes at least two jobs: one job's estimate may be wrong wherever it runs.
 */
export class StragglerDetector {
  private readonly evidenceByJob = new Map<JobId, StragglerEvidence>();

  /** A task of the job has completed here; the newest of each job counts, and only the last few jobs. */
  record(job: JobId, evidence: StragglerEvidence): void {
    this.evidenceByJob.delete(job);
    this.evidenceByJob.set(job, evidence);
    if (this.evidenceByJob.size <= MAX_JOBS) return;
    const oldest = this.evidenceByJob.keys().next();
    if (!oldest.done) this.evidenceByJob.delete(oldest.value);
  }

  /** Whether the machine is a straggler. `running`: what tasks that still run there show by now. */
  isStraggler(running: ReadonlyMap<JobId, StragglerEvidence>): boolean {
    if (this.evidenceByJob.size + running.size < MIN_JOBS) return false;
    const evidence = new Map([...this.evidenceByJob, ...running]);
    if (evidence.size < MIN_JOBS) return false;
    let totalWeight = 0;
    let weightedSum = 0;
    for (const { logRatio, logStandardDeviation } of evidence.values()) {
      const weight = 1 / (logStandardDeviation * logStandardDeviation);
      totalWeight += weight;
      weightedSum += weight * logRatio;
    }
    const mean = weightedSum / totalWeight;
    return mean > STRAGGLER_LOG_RATIO && mean * Math.sqrt(totalWeight) > MIN_STANDARD_ERRORS;
  }
}
