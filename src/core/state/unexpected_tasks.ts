/**
 * Keeps account of unexpected tasks: those that a worker reports and that have no placement on its machine, as their job
 * isn't known or as they were found on two machines at once. While one is there its machine gets no new work, and the same
 * task is started nowhere.
 */

import { type TaskKey, taskKey } from '../jobs/task_keys.js';
import type { Machine, UnexpectedTask } from '../machines/machine.js';
import type { JobSpec, MachineType } from '../types.js';

/** What changes with the unexpected tasks of a machine. */
export interface UnexpectedTaskAccounting {
  readonly quotas: {
    /** Counts a task for or against its team's usage. */
    recordUsage(spec: JobSpec, change: 1 | -1): void;
    /** Counts a machine for or against those that may run anybody's tasks. */
    addUnattributed(type: MachineType, change: 1 | -1): void;
  };
  /** Queues the stops of the machine's tasks to be pushed. */
  scheduleStopCommands(machine: Machine): void;
}

const unexpectedTaskKey = ({ job, index }: UnexpectedTask): TaskKey => taskKey(job, index);

/** Replaces the unexpected tasks of the machine by those that its newest status shows. */
export function replaceUnexpectedTasks(
  accounting: UnexpectedTaskAccounting,
  machine: Machine,
  tasks: readonly UnexpectedTask[],
): void {
  if (tasks.length === 0 && machine.unexpectedTasks.size === 0) return;
  const before = machine.unexpectedTasks;
  machine.unexpectedTasks = new Map(tasks.map((task) => [unexpectedTaskKey(task), task]));
  for (const task of machine.unexpectedTasks.values()) countUnexpectedTask(accounting, task, 1);
  for (const task of before.values()) countUnexpectedTask(accounting, task, -1);
  const change = Number(hasUnknownJob(machine.unexpectedTasks)) - Number(hasUnknownJob(before));
  if (change !== 0) accounting.quotas.addUnattributed(machine.type, change > 0 ? 1 : -1);
  if (tasks.some(({ shouldStop }) => shouldStop)) accounting.scheduleStopCommands(machine);
}

/** Whether tasks of jobs that aren't known are among them. */
function hasUnknownJob(tasks: ReadonlyMap<TaskKey, UnexpectedTask>): boolean {
  for (const { knownJob } of tasks.values()) if (!knownJob) return true;
  return false;
}

/** Forgets the unexpected tasks of a machine that is gone, or whose tasks are. */
export function dropUnexpectedTasks(accounting: UnexpectedTaskAccounting, machine: Machine): void {
  replaceUnexpectedTasks(accounting, machine, []);
}

/** Adds a task whose placement turned out to be left over from an earlier start: it counts until it is gone. */
export function addUnexpectedTask(accounting: UnexpectedTaskAccounting, machine: Machine, task: UnexpectedTask): void {
  replaceUnexpectedTasks(accounting, machine, [...machine.unexpectedTasks.values(), task]);
}

/** Unexpected tasks of known jobs count against their team's limit, and keep the same task from being started again. */
function countUnexpectedTask(
  { quotas }: UnexpectedTaskAccounting,
  { knownJob, index }: UnexpectedTask,
  change: 1 | -1,
): void {
  if (!knownJob) return;
  quotas.recordUsage(knownJob.spec, change);
  const onMachines = (knownJob.unexpectedTasks.get(index) ?? 0) + change;
  if (onMachines > 0) knownJob.unexpectedTasks.set(index, onMachines);
  else knownJob.unexpectedTasks.delete(index);
}
