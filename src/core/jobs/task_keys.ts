/** String keys that identify tasks and starts of tasks in maps and sets. */
import type { Attempt, JobId } from '../types.js';

/** Identifies a task by its job and index. */
export type TaskKey = string;

export const taskKey = (job: JobId, index: number): TaskKey => `${job}/${index}`;

/** Identifies one start of a task by job, index and attempt. */
export type StartKey = string;

export const startKey = (job: JobId, index: number, attempt: Attempt): StartKey => `${job}/${index}/${attempt}`;

/** A task and its attempt, with a reference to its job. */
interface StartedTask {
  readonly job: { readonly id: JobId };
  readonly index: number;
  readonly attempt: Attempt;
}

/** Returns the key of the start that a placement represents. */
export const startKeyOf = ({ job, index, attempt }: StartedTask): StartKey => startKey(job.id, index, attempt);
