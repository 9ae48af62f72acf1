/** Determines how old the leader's view of jobs is, and which actions its age still permits. */
import type { JobCache } from '../jobs/job_cache.js';
import { maxJobViewAgeMs } from '../lease_bounds.js';
import type { StepContext } from '../step_context.js';

/**
 * Maximum age of the view of jobs for starting tasks, in milliseconds. A cancellation that was persisted after the view
 * was read is not visible in it.
 */
const MAX_AGE_FOR_STARTS_MS = 4000;

/** The leader's view of jobs, which is as old as the content of the job cache. */
export class JobView {
  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
  ) {}

  /**
   * Returns whether the view is recent enough to renew workers' leases. Without this check, a leader whose own lease is
   * renewed while it receives no updates of jobs would keep cancelled tasks alive indefinitely (no-job-news.txt). The
   * age counts from the last read of jobs, not from the election: jobs may have been cancelled before the election, and
   * many leaders may be elected one after the other (cloud-outage-restart-cancel.txt).
   */
  mayRenewLeases(): boolean {
    return this.context.now.monotonic - this.jobCache.currentAsOf < maxJobViewAgeMs(this.context.settings);
  }

  /** Returns whether the view is recent enough to start tasks. */
  mayStartTasks(): boolean {
    return this.context.now.monotonic - this.jobCache.currentAsOf < MAX_AGE_FOR_STARTS_MS;
  }
}
