/** How old the leader's view of jobs is, and what may still be done on it. */
import type { JobCache } from '../jobs/job_cache.js';
import { maxJobViewAgeMs } from '../lease_bounds.js';
import type { StepContext } from '../step_context.js';
import type { MonotonicTime } from '../types.js';

/** A start is based on a view of jobs that is at most so old: a cancellation may be on record since. */
const MAX_AGE_FOR_STARTS_MS = 4000;

/** The age of what the job cache knows. */
export class JobView {
  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
  ) {}

  /**
   * Returns whether the view is recent enough to renew workers' leases on. A leader whose lease is renewed while it hears
   * nothing of jobs would keep cancelled tasks alive for ever (no-job-news.txt). `loadingSince`: when the state began to be
   * read; null once it was.
   */
  mayRenewLeases(loadingSince: MonotonicTime | null): boolean {
    const currentAsOf = loadingSince ?? this.jobCache.currentAsOf;
    return this.context.now.monotonic - currentAsOf < maxJobViewAgeMs(this.context.settings);
  }

  /** Returns whether the view is recent enough to start tasks on. */
  mayStartTasks(): boolean {
    return this.context.now.monotonic - this.jobCache.currentAsOf < MAX_AGE_FOR_STARTS_MS;
  }
}
