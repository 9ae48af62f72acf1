import type { Attempt, JobId } from '../../src/core/types.js';
import type { SimulatedTask } from './task_executor.js';
import type { SimulatedWorker } from './worker.js';

/** A task of a gang, and the worker that it is on. */
export interface GangMember {
  readonly worker: SimulatedWorker;
  readonly task: SimulatedTask;
}

/** Finds the tasks of one attempt of a job on all workers, as the members of a gang find each other. */
export class GangIndex {
  private readonly membersByAttempt = new Map<string, GangMember[]>();

  /** The members in the order in which they were added. */
  members(job: JobId, attempt: Attempt): readonly GangMember[] {
    return this.membersByAttempt.get(`${job}#${attempt}`) ?? [];
  }

  /** A task of the gang is on the worker from now on. */
  add(worker: SimulatedWorker, task: SimulatedTask): void {
    const key = `${task.job}#${task.attempt}`;
    this.membersByAttempt.set(key, [...(this.membersByAttempt.get(key) ?? []), { worker, task }]);
  }

  /** The task is no longer on the worker. */
  remove(worker: SimulatedWorker, task: SimulatedTask): void {
    const key = `${task.job}#${task.attempt}`;
    const left = this.members(task.job, task.attempt).filter(
      (member) => member.worker !== worker || member.task !== task,
    );
    if (left.length > 0) this.membersByAttempt.set(key, left);
    else this.membersByAttempt.delete(key);
  }
}
