/**
 * Tracks unexpected tasks. These are tasks that a worker reports without a placement on its machine, because their job
 * is unknown or because they were found on two machines at once. While a machine has an unexpected task, it gets no new
 * work, and the same task is not started anywhere.
 */
import { type TaskKey, taskKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { UnexpectedTask } from '../machines/reported_tasks.js';
import type { PendingCommands } from './pending_commands.js';
import type { Quotas } from './quotas.js';

/** Maintains the unexpected tasks of machines, and counts them in quotas and in their jobs. */
export class UnexpectedTasks {
  constructor(
    private readonly quotas: Quotas,
    private readonly pendingCommands: PendingCommands,
  ) {}

  /** Replaces the unexpected tasks of the machine with those that its newest status shows. */
  replace(machine: Machine, tasks: readonly UnexpectedTask[]): void {
    if (tasks.length === 0 && machine.reportedTasks.unexpected.size === 0) return;
    const before = machine.reportedTasks.unexpected;
    machine.reportedTasks.setUnexpected(new Map(tasks.map((task) => [unexpectedTaskKey(task), task])));
    for (const task of machine.reportedTasks.unexpected.values()) this.count(task, 1);
    for (const task of before.values()) this.count(task, -1);
    const change = Number(hasUnknownJob(machine.reportedTasks.unexpected)) - Number(hasUnknownJob(before));
    if (change !== 0) this.quotas.addUnattributed(machine.type, change > 0 ? 1 : -1);
    if (tasks.some(({ shouldStop }) => shouldStop)) this.pendingCommands.scheduleStops(machine);
  }

  /** Drops the unexpected tasks of a machine that is terminated or has lost its tasks. */
  drop(machine: Machine): void {
    this.replace(machine, []);
  }

  /**
   * Adds a task whose placement turned out to belong to an outdated start. It counts until it is no longer on the
   * machine.
   */
  add(machine: Machine, task: UnexpectedTask): void {
    this.replace(machine, [...machine.reportedTasks.unexpected.values(), task]);
  }

  /**
   * Counts the task against its team's limit and prevents it from being started again. Has no effect on tasks of
   * unknown jobs.
   */
  private count({ knownJob, index }: UnexpectedTask, change: 1 | -1): void {
    if (!knownJob) return;
    this.quotas.recordUsage(knownJob.spec, change);
    knownJob.countUnexpectedTask(index, change);
  }
}

const unexpectedTaskKey = ({ job, index }: UnexpectedTask): TaskKey => taskKey(job, index);

function hasUnknownJob(tasks: ReadonlyMap<TaskKey, UnexpectedTask>): boolean {
  for (const { knownJob } of tasks.values()) if (!knownJob) return true;
  return false;
}
