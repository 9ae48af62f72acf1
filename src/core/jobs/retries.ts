/** Decides when a job may be started again after its tasks failed. */
import { addMilliseconds, type MonotonicTime } from '../types.js';

/**
 * Number of consecutive short runs of replicas that cause no restart delay. After these, the delay doubles with each
 * further short run.
 */
const SHORT_RUNS_WITHOUT_PAUSE = 2;
const RESTART_PAUSE_BASE_MS = 500;
const MAX_RESTART_DOUBLINGS = 6;
const MAX_RESTART_PAUSE_MS = 30_000;

/** Counts the failures of a job's tasks and holds the time before which the job must not be started again. */
export class Retries {
  private delayedUntil = 0 as MonotonicTime;
  private failures = 0;
  /** For a service: number of consecutive replica runs that ended soon after their start. */
  private shortRuns = 0;
  private lastShortRunAt = 0 as MonotonicTime;

  /** The job must not be started before this time. */
  get notBefore(): MonotonicTime {
    return this.delayedUntil;
  }

  /** Number of tasks that have failed or were stopped while running. */
  get failureCount(): number {
    return this.failures;
  }

  /** Returns whether the job may not be started now. */
  isDelayed(now: MonotonicTime): boolean {
    return this.delayedUntil > now;
  }

  /** Records that a task failed or was stopped while running. */
  recordFailure(): void {
    this.failures += 1;
  }

  /** Sets the time before which the job must not be started, replacing any earlier setting. */
  delayUntil(time: MonotonicTime): void {
    this.delayedUntil = time;
  }

  /** Ensures that the job is not started before `time`. A later time that was set before stays. */
  delayAtLeastUntil(time: MonotonicTime): void {
    if (time > this.delayedUntil) this.delayedUntil = time;
  }

  /** Records that a replica ran long enough to show that its service is stable. */
  recordStableRun(): void {
    this.shortRuns = 0;
  }

  /**
   * Records that a replica exited soon after its start. After several consecutive short runs, the next start is
   * delayed, and longer with each further one.
   */
  recordShortRun(placedAt: MonotonicTime, now: MonotonicTime): void {
    // Replicas that started together and exit together count as one failure.
    if (placedAt >= this.lastShortRunAt) {
      this.shortRuns += 1;
      this.lastShortRunAt = now;
    }
    const doublings = Math.min(MAX_RESTART_DOUBLINGS, this.shortRuns - SHORT_RUNS_WITHOUT_PAUSE);
    const pauseMs = doublings <= 0 ? 0 : RESTART_PAUSE_BASE_MS * 2 ** doublings;
    this.delayedUntil = addMilliseconds(now, Math.min(MAX_RESTART_PAUSE_MS, pauseMs));
  }
}
