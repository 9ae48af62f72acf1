/** Distinguishes a slow machine from jobs whose run times were estimated wrongly. */
import type { JobId } from '../types.js';

/** Evidence of a machine's speed from one job. */
export interface StragglerEvidence {
  /** log(actual run time / expected run time). A lower bound of it for a task that is still running. */
  readonly logRatio: number;
  /** Standard deviation of the estimate's logarithm, which expresses its uncertainty. */
  readonly logStandardDeviation: number;
}

/** Maximum number of jobs whose evidence is retained. */
const MAX_JOBS = 6;
/** Minimum number of jobs from which a machine can be judged. */
const MIN_JOBS = 2;
/** Number of standard errors by which the mean log ratio must exceed zero. */
const MIN_STANDARD_ERRORS = 3;
/** Log ratio above which a machine is a straggler. It corresponds to twice the expected run time. */
export const STRAGGLER_LOG_RATIO = Math.log(2);

/**
 * Evidence of one machine's speed. Each job counts once, weighted by the certainty of its class's estimates. At least
 * two jobs are required, because the estimate of a single job may be wrong on every machine.
 */
export class StragglerDetector {
  private readonly evidenceByJob = new Map<JobId, StragglerEvidence>();

  /** Records a completed task. Only the newest task of each job counts, and only the most recent jobs are retained. */
  record(job: JobId, evidence: StragglerEvidence): void {
    this.evidenceByJob.delete(job);
    this.evidenceByJob.set(job, evidence);
    if (this.evidenceByJob.size <= MAX_JOBS) return;
    const oldest = this.evidenceByJob.keys().next();
    if (!oldest.done) this.evidenceByJob.delete(oldest.value);
  }

  /** Returns whether the machine is a straggler. `running`: evidence from tasks that are still running on it. */
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
