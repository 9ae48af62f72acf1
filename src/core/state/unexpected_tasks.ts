import { type Machine, type TaskKey, taskKey, type UnexpectedTask } from '../machines/machine.js';
import type { Cluster } from './cluster.js';

/*
 * Tasks that a worker reports and that have no place on its machine: those of jobs that aren't known, and those found on two
 * machines at once. While one is there its machine gets nothing new, and the same task is started nowhere.
 */

const unexpectedTaskKey = ({ job, index }: UnexpectedTask): TaskKey => taskKey(job, index);

/** The strays that a new list shows, instead of those of the one before. */
export function replaceUnexpectedTasks(cluster: Cluster, machine: Machine, strays: readonly UnexpectedTask[]): void {
  if (strays.length === 0 && machine.unexpectedTasks.size === 0) return;
  const before = machine.unexpectedTasks;
  machine.unexpectedTasks = new Map(strays.map((stray) => [unexpectedTaskKey(stray), stray]));
  for (const stray of machine.unexpectedTasks.values()) countUnexpectedTask(cluster, stray, 1);
  for (const stray of before.values()) countUnexpectedTask(cluster, stray, -1);
  const change = Number(hasUnknownJob(machine.unexpectedTasks)) - Number(hasUnknownJob(before));
  if (change !== 0) cluster.quotas.addUnattributed(machine.type, change > 0 ? 1 : -1);
  if (strays.some(({ shouldStop }) => shouldStop)) cluster.scheduleStopCommands(machine);
}

/** Whether tasks of jobs that aren't known are among them. */
function hasUnknownJob(strays: ReadonlyMap<TaskKey, UnexpectedTask>): boolean {
  for (const { knownJob } of strays.values()) if (!knownJob) return true;
  return false;
}

/** The machine is gone, or its tasks are. */
export function dropUnexpectedTasks(cluster: Cluster, machine: Machine): void {
  replaceUnexpectedTasks(cluster, machine, []);
}

/** A place turned out to be left over from an earlier start: its task is stopped, and it counts until it is gone. */
export function addUnexpectedTask(cluster: Cluster, machine: Machine, stray: UnexpectedTask): void {
  replaceUnexpectedTasks(cluster, machine, [...machine.unexpectedTasks.values(), stray]);
}

/** Strays of known jobs count against their team's limit, and keep the same task from being started again. */
function countUnexpectedTask({ quotas }: Cluster, { knownJob, index }: UnexpectedTask, change: 1 | -1): void {
  if (!knownJob) return;
  quotas.recordUsage(knownJob.spec, change);
  const onMachines = (knownJob.unexpectedTasks.get(index) ?? 0) + change;
  if (onMachines > 0) knownJob.unexpectedTasks.set(index, onMachines);
  else knownJob.unexpectedTasks.delete(index);
}
