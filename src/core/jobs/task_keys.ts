/** Names tasks and starts of tasks by strings, as keys of maps and sets. */
import type { Attempt, JobId } from '../types.js';

/** Names a task: its job and its index. */
export type TaskKey = string;

/** Returns the name of a task. */
export const taskKey = (job: JobId, index: number): TaskKey => `${job}/${index}`;

/** Names one start of a task: the task and its attempt. */
export type StartKey = string;

/** Returns the name of one start of a task. */
export const startKey = (job: JobId, index: number, attempt: Attempt): StartKey => `${job}/${index}/${attempt}`;

/** A task with its attempt, by the job that it belongs to. */
interface StartedTask {
  readonly job: { readonly id: JobId };
  readonly index: number;
  readonly attempt: Attempt;
}

/** Returns the name of the start that a placement stands for. */
export const startKeyOf = ({ job, index, attempt }: StartedTask): StartKey => startKey(job.id, index, attempt);
