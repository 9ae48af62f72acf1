/** Tells whether a machine is at fault for the tasks that fail on it. */
import type { FailureHistory } from '../jobs/failure_history.js';
import type { MonotonicTime } from '../types.js';

/**
 * Jobs that aren't known yet to do well elsewhere count after so long: one that fails wherever it runs shows it by then, as
 * its tasks on other machines have failed too.
 */
const SETTLE_MS = 2500;
const INITIAL_QUARANTINE_MS = 3000;
const MAX_QUARANTINE_DOUBLINGS = 3;

/**
 * What failed on a machine since a task last did well there. A failure speaks against the machine if the job does well
 * elsewhere or that isn't known yet, and not at all if the job fails wherever it runs.
 */
export class TaskFailures {
  /** Failed tasks by the histories of their jobs. */
  private readonly taskCountByJob = new Map<FailureHistory, number>();

  private lastFailureAt = 0 as MonotonicTime;

  /** A task of a job failed here. */
  record(job: FailureHistory, now: MonotonicTime): void {
    this.lastFailureAt = now;
    this.taskCountByJob.set(job, (this.taskCountByJob.get(job) ?? 0) + 1);
  }

  /** A task did well here: earlier failures don't count any more. */
  clear(): void {
    this.taskCountByJob.clear();
  }

  /** Whether a task has failed since one last did well. */
  get hasFailures(): boolean {
    return this.taskCountByJob.size > 0;
  }

  /** For how long, in milliseconds, the machine is quarantined after a failure: longer with each further job. */
  get quarantineMs(): number {
    return INITIAL_QUARANTINE_MS * 2 ** Math.min(MAX_QUARANTINE_DOUBLINGS, this.taskCountByJob.size - 1);
  }

  /** Whether jobs other than this one have failed here that aren't at fault themselves. */
  hasFailuresOfOtherJobs(thisJob: FailureHistory): boolean {
    for (const job of this.taskCountByJob.keys()) if (job !== thisJob && !job.isFaulty) return true;
    return false;
  }

  /** Whether the failures amount to so many tasks of one job, or so many jobs, that do well elsewhere. */
  isMachineAtFault(limit: number, now: MonotonicTime): boolean {
    const isSettled = now - this.lastFailureAt >= SETTLE_MS;
    let jobs = 0;
    for (const [job, tasks] of this.taskCountByJob) {
      if (job.isFaulty) continue;
      if (job.hasSucceeded && tasks >= limit) return true;
      if (job.hasSucceeded || isSettled) jobs += 1;
    }
    return jobs >= limit;
  }
}
