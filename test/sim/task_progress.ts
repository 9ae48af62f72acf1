import type { JobId } from '../../src/core/types.js';

const DEFAULT_RUN_MS = 10_000;

/** How long the tasks of each job run, and how far their checkpoints have got; in milliseconds of a usual machine. */
export class TaskProgress {
  private readonly submittedRunMs = new Map<JobId, number>();
  private readonly injectedRunMs = new Map<JobId, number>();
  private readonly checkpoints = new Map<string, number>();

  /** The run time that came with the submission, or else with the injected task. */
  runMs(job: JobId): number {
    return this.submittedRunMs.get(job) ?? this.injectedRunMs.get(job) ?? DEFAULT_RUN_MS;
  }

  /** For jobs that a user submitted. */
  setSubmittedRunMs(job: JobId, ms: number): void {
    this.submittedRunMs.set(job, ms);
  }

  /** For jobs that nobody submitted. */
  setInjectedRunMs(job: JobId, ms: number): void {
    this.injectedRunMs.set(job, ms);
  }

  /** Where a new attempt of a task goes on; 0: from the beginning. */
  checkpointedMs(job: JobId, index: number): number {
    return this.checkpoints.get(`${job}/${index}`) ?? 0;
  }

  /** A checkpoint of a task is complete; an earlier one never replaces it. */
  saveCheckpoint(job: JobId, index: number, ms: number): void {
    const key = `${job}/${index}`;
    this.checkpoints.set(key, Math.max(ms, this.checkpoints.get(key) ?? 0));
  }
}
