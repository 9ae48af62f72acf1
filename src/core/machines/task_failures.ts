/** Determines whether a machine is at fault for the tasks that fail on it. */
import type { FailureHistory } from '../jobs/failure_history.js';
import type { MonotonicTime } from '../types.js';

/**
 * Time since the last failure on a machine after which failures of jobs without any success count against it. By then,
 * a job that fails on every machine has also failed on others and is known to be faulty.
 */
const SETTLE_MS = 2500;
const INITIAL_QUARANTINE_MS = 3000;
const MAX_QUARANTINE_DOUBLINGS = 3;

/**
 * The tasks that failed on a machine since a task last completed there. A failure counts against the machine if the job
 * succeeds elsewhere or this isn't known yet. It does not count if the job fails on every machine.
 */
export class TaskFailures {
  /** Number of failed tasks by the failure histories of their jobs. */
  private readonly taskCountByJob = new Map<FailureHistory, number>();

  private lastFailureAt = 0 as MonotonicTime;

  /** Records that a task of the job failed on the machine. */
  record(job: FailureHistory, now: MonotonicTime): void {
    this.lastFailureAt = now;
    this.taskCountByJob.set(job, (this.taskCountByJob.get(job) ?? 0) + 1);
  }

  /** Discards earlier failures, because a task has completed on the machine. */
  clear(): void {
    this.taskCountByJob.clear();
  }

  /** Whether a task has failed since one last completed. */
  get hasFailures(): boolean {
    return this.taskCountByJob.size > 0;
  }

  /** Quarantine after a failure, in milliseconds. Each further job that has failed here doubles it, up to a limit. */
  get quarantineMs(): number {
    return INITIAL_QUARANTINE_MS * 2 ** Math.min(MAX_QUARANTINE_DOUBLINGS, this.taskCountByJob.size - 1);
  }

  /** Returns whether tasks of other jobs have failed here, and those jobs are not faulty themselves. */
  hasFailuresOfOtherJobs(thisJob: FailureHistory): boolean {
    for (const job of this.taskCountByJob.keys()) if (job !== thisJob && !job.isFaulty) return true;
    return false;
  }

  /**
   * Returns whether the machine is at fault. This is the case if `limit` tasks of one job that succeeds elsewhere have
   * failed here, or if tasks of `limit` jobs have. Jobs without any success count only once the settling time has
   * passed, and faulty jobs never count.
   */
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
