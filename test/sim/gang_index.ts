/** Finds the members of a gang on the simulated workers. */
import type { Attempt, JobId } from '../../src/core/types.js';
import type { SimulatedTask } from './task_executor.js';
import type { SimulatedWorker } from './worker.js';

/** A task and the worker that it is on. */
export interface GangMember {
  readonly worker: SimulatedWorker;
  readonly task: SimulatedTask;
}

/** Indexes tasks by job and attempt over all workers. Members of a gang use it to find each other. */
export class GangIndex {
  private readonly membersByAttempt = new Map<string, GangMember[]>();

  /** The tasks of an attempt of a job, in the order in which they were added. */
  members(job: JobId, attempt: Attempt): readonly GangMember[] {
    return this.membersByAttempt.get(`${job}#${attempt}`) ?? [];
  }

  /** Adds a task that is now on the worker. */
  add(worker: SimulatedWorker, task: SimulatedTask): void {
    const key = `${task.job}#${task.attempt}`;
    this.membersByAttempt.set(key, [...(this.membersByAttempt.get(key) ?? []), { worker, task }]);
  }

  /** Removes a task that is no longer on the worker. */
  remove(worker: SimulatedWorker, task: SimulatedTask): void {
    const key = `${task.job}#${task.attempt}`;
    const remaining = this.members(task.job, task.attempt).filter(
      (member) => member.worker !== worker || member.task !== task,
    );
    if (remaining.length > 0) this.membersByAttempt.set(key, remaining);
    else this.membersByAttempt.delete(key);
  }
}
