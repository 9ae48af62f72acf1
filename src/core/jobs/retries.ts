/** Decides from when on a job whose tasks failed may be started again. */
import { addMilliseconds, type MonotonicTime } from '../types.js';

/** So many short runs of replicas are followed by no pause; then it doubles with each. */
const SHORT_RUNS_WITHOUT_PAUSE = 2;
const FIRST_RESTART_PAUSE_MS = 500;
const MAX_RESTART_DOUBLINGS = 6;
const MAX_RESTART_PAUSE_MS = 30_000;

/** The failures of a job's tasks as far as they delay its next start. */
export class Retries {
  private delayedUntil = 0 as MonotonicTime;
  private failures = 0;
  /** Of a service: replicas that ended soon after their start, one after the other. */
  private shortRuns = 0;
  private lastShortRunAt = 0 as MonotonicTime;

  /** The job is not started before this time. */
  get notBefore(): MonotonicTime {
    return this.delayedUntil;
  }

  /** How many of its tasks have failed, or were stopped while they ran. */
  get failureCount(): number {
    return this.failures;
  }

  /** Whether the job has to wait now. */
  isDelayed(now: MonotonicTime): boolean {
    return this.delayedUntil > now;
  }

  /** A task failed, or was stopped while it ran. */
  recordFailure(): void {
    this.failures += 1;
  }

  /** The job is not started before `time`, whatever was asked before. */
  delayUntil(time: MonotonicTime): void {
    this.delayedUntil = time;
  }

  /** The job is not started before `time`, nor before what was asked before. */
  delayAtLeastUntil(time: MonotonicTime): void {
    if (time > this.delayedUntil) this.delayedUntil = time;
  }

  /** A replica ran for long enough to show that its service can stay up. */
  recordStableRun(): void {
    this.shortRuns = 0;
  }

  /** A replica ended soon after its start: the next has to wait, with each one in a row for longer. */
  recordShortRun(placedAt: MonotonicTime, now: MonotonicTime): void {
    // Replicas that began together and end together have failed once.
    if (placedAt >= this.lastShortRunAt) {
      this.shortRuns += 1;
      this.lastShortRunAt = now;
    }
    const doublings = Math.min(MAX_RESTART_DOUBLINGS, this.shortRuns - SHORT_RUNS_WITHOUT_PAUSE);
    const pauseMs = doublings <= 0 ? 0 : FIRST_RESTART_PAUSE_MS * 2 ** doublings;
    this.delayedUntil = addMilliseconds(now, Math.min(MAX_RESTART_PAUSE_MS, pauseMs));
  }
}
