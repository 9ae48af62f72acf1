/** Keeps what the newest status of one machine shows beside its placements: exited tasks and unexpected ones. */
import type { Job } from '../jobs/job.js';
import { type StartKey, startKey, type TaskKey } from '../jobs/task_keys.js';
import type { Attempt, JobId } from '../types.js';

/** A task that a status shows as exited. */
interface ExitedTask {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  /** Whether it has a result to be put on record. */
  readonly isDone: boolean;
}

/** A live task on a machine that has no placement there. */
export interface UnexpectedTask {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  /** Whether it is to be stopped; otherwise it is left alone until more is known. */
  readonly shouldStop: boolean;
  /** Null where the job isn't known. */
  readonly knownJob: Job | null;
}

/** Most statuses show no exits: they share one empty set. */
const NO_EXITS: ReadonlySet<StartKey> = new Set();

/** Exited and unexpected tasks of one machine, as its newest status shows them. */
export class ReportedTasks {
  private exitedTasks: ExitedTask[] = [];
  private previousExits: ReadonlySet<StartKey> = NO_EXITS;
  private unexpectedTasks: ReadonlyMap<TaskKey, UnexpectedTask> = new Map();

  /** Tasks that have exited and whose exits the worker has not been told to drop. */
  get exited(): readonly ExitedTask[] {
    return this.exitedTasks;
  }

  /** Tasks that have no placement here: their jobs aren't known, or they are somewhere else too. */
  get unexpected(): ReadonlyMap<TaskKey, UnexpectedTask> {
    return this.unexpectedTasks;
  }

  /** A new status is processed: its exits are added from here on, and those of the one before become the previous. */
  beginStatus(): void {
    const before = this.exitedTasks;
    const keys = before.map(({ job, index, attempt }) => startKey(job, index, attempt));
    this.previousExits = keys.length === 0 ? NO_EXITS : new Set(keys);
    this.exitedTasks = [];
  }

  /** The status shows that a task has exited. */
  addExit(task: ExitedTask): void {
    this.exitedTasks.push(task);
  }

  /** Nothing is on the machine any more. */
  clearExits(): void {
    this.exitedTasks = [];
  }

  /** Whether the status before didn't show this exit. */
  isNewExit(start: StartKey): boolean {
    return !this.previousExits.has(start);
  }

  /** Replaces the unexpected tasks; their accounts are kept by the caller. */
  setUnexpected(tasks: ReadonlyMap<TaskKey, UnexpectedTask>): void {
    this.unexpectedTasks = tasks;
  }
}
