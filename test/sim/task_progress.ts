/** The run times and checkpoints of simulated tasks. */
import type { JobId } from '../../src/core/types.js';

/** Run time of the tasks of a job without a given one, in milliseconds. */
const DEFAULT_RUN_MS = 10_000;

/**
 * The run time of each job's tasks and the progress that their checkpoints hold, in milliseconds on a normal machine.
 */
export class TaskProgress {
  private readonly submittedRunMs = new Map<JobId, number>();
  private readonly injectedRunMs = new Map<JobId, number>();
  private readonly checkpoints = new Map<string, number>();

  /** The run time given at the submission of the job, or else with an injected task, or else the default. */
  runMs(job: JobId): number {
    return this.submittedRunMs.get(job) ?? this.injectedRunMs.get(job) ?? DEFAULT_RUN_MS;
  }

  /** Sets the run time of a job that a user submitted. */
  setSubmittedRunMs(job: JobId, ms: number): void {
    this.submittedRunMs.set(job, ms);
  }

  /** Sets the run time of a job that a scenario injected. */
  setInjectedRunMs(job: JobId, ms: number): void {
    this.injectedRunMs.set(job, ms);
  }

  /** The progress from which a new attempt of a task resumes; 0 without a checkpoint. */
  checkpointedMs(job: JobId, index: number): number {
    return this.checkpoints.get(`${job}/${index}`) ?? 0;
  }

  /** Saves a checkpoint of a task, unless the saved one holds more progress. */
  saveCheckpoint(job: JobId, index: number, ms: number): void {
    const key = `${job}/${index}`;
    this.checkpoints.set(key, Math.max(ms, this.checkpoints.get(key) ?? 0));
  }
}
