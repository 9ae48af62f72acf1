/**
 * Keeps account of unexpected tasks: those that a worker reports and that have no placement on its machine, as their job
 * isn't known or as they were found on two machines at once. While one is there its machine gets no new work, and the same
 * task is started nowhere.
 */
import { type TaskKey, taskKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { UnexpectedTask } from '../machines/reported_tasks.js';
import type { PendingCommands } from './pending_commands.js';
import type { Quotas } from './quotas.js';

/** Keeps machines' unexpected tasks, and counts them against quotas and in their jobs. */
export class UnexpectedTasks {
  constructor(
    private readonly quotas: Quotas,
    private readonly pendingCommands: PendingCommands,
  ) {}

  /** Replaces the unexpected tasks of the machine by those that its newest status shows. */
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

  /** Forgets the unexpected tasks of a machine that is gone, or whose tasks are. */
  drop(machine: Machine): void {
    this.replace(machine, []);
  }

  /** Adds a task whose placement turned out to be left over from an earlier start: it counts until it is gone. */
  add(machine: Machine, task: UnexpectedTask): void {
    this.replace(machine, [...machine.reportedTasks.unexpected.values(), task]);
  }

  /** Tasks of known jobs count against their team's limit, and keep the same task from being started again. */
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
