/** Holds the exited tasks and the unexpected tasks in the newest status of one machine. */
import type { Job } from '../jobs/job.js';
import { type StartKey, startKey, type TaskKey } from '../jobs/task_keys.js';
import type { Attempt, JobId } from '../types.js';

/** A task that a status lists as exited. */
interface ExitedTask {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  /** Whether it has a result that must be stored. */
  readonly isDone: boolean;
}

/** A live task that a machine reports although the task has no placement there. */
export interface UnexpectedTask {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  /** Whether the task must be stopped. Otherwise no command is sent for it until more is known. */
  readonly shouldStop: boolean;
  /** The task's job. Null if it is unknown. */
  readonly knownJob: Job | null;
}

/** Empty set that is shared by all statuses without exits, which are the majority. */
const NO_EXITS: ReadonlySet<StartKey> = new Set();

/** Exited and unexpected tasks of one machine, as listed in its newest status. */
export class ReportedTasks {
  private exitedTasks: ExitedTask[] = [];
  private previousExits: ReadonlySet<StartKey> = NO_EXITS;
  private unexpectedTasks: ReadonlyMap<TaskKey, UnexpectedTask> = new Map();

  /** Exited tasks in the newest status. A worker lists an exit until it is acknowledged. */
  get exited(): readonly ExitedTask[] {
    return this.exitedTasks;
  }

  /** Live tasks without a placement on this machine. Their jobs are unknown, or they are also on another machine. */
  get unexpected(): ReadonlyMap<TaskKey, UnexpectedTask> {
    return this.unexpectedTasks;
  }

  /** Begins the processing of a new status. The exits of the status before it become the previous exits. */
  beginStatus(): void {
    const before = this.exitedTasks;
    const keys = before.map(({ job, index, attempt }) => startKey(job, index, attempt));
    this.previousExits = keys.length === 0 ? NO_EXITS : new Set(keys);
    this.exitedTasks = [];
  }

  /** Adds a task that the status lists as exited. */
  addExit(task: ExitedTask): void {
    this.exitedTasks.push(task);
  }

  /** Clears the exits when no task is left on the machine. */
  clearExits(): void {
    this.exitedTasks = [];
  }

  /** Returns whether this exit was missing from the previous status. */
  isNewExit(start: StartKey): boolean {
    return !this.previousExits.has(start);
  }

  /** Replaces the unexpected tasks. The caller updates their quota usage and their jobs' counts. */
  setUnexpected(tasks: ReadonlyMap<TaskKey, UnexpectedTask>): void {
    this.unexpectedTasks = tasks;
  }
}
