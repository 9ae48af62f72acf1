/** Indexes placements by job and by machine. */
import type { Job } from '../jobs/job.js';
import { type TaskKey, taskKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { JobId, MonotonicTime, ZoneName } from '../types.js';
import type { Placement } from './placement.js';

const NO_TASKS: ReadonlyMap<number, Placement> = new Map();
const NO_PLACEMENTS: ReadonlyMap<TaskKey, Placement> = new Map();

/**
 * All placements. Each one is indexed both by its job and by its machine, and both are notified when placements are
 * added or removed.
 */
export class PlacementIndex {
  private readonly byJob = new Map<Job, Map<number, Placement>>();
  private readonly byMachine = new Map<Machine, Map<TaskKey, Placement>>();

  /** Returns the placements of a job by task index, in the order in which they were added. */
  ofJob(job: Job): ReadonlyMap<number, Placement> {
    return this.byJob.get(job) ?? NO_TASKS;
  }

  /** Returns the placements on a machine, in the order in which they were added. */
  onMachine(machine: Machine): ReadonlyMap<TaskKey, Placement> {
    return this.byMachine.get(machine) ?? NO_PLACEMENTS;
  }

  /** Returns the task's placement on the machine, or undefined if it has none there. */
  find(machine: Machine, job: JobId, index: number): Placement | undefined {
    return this.byMachine.get(machine)?.get(taskKey(job, index));
  }

  /** Adds a placement of a task that has none. */
  add(placement: Placement): void {
    const { job, machine, index } = placement;
    const key = taskKey(job.id, index);
    const tasks = this.byJob.get(job);
    if (tasks) tasks.set(index, placement);
    else this.byJob.set(job, new Map([[index, placement]]));
    const onMachine = this.byMachine.get(machine);
    if (onMachine) onMachine.set(key, placement);
    else this.byMachine.set(machine, new Map([[key, placement]]));
    job.onTaskPlaced(index);
    machine.allocations.add(key, job.spec);
  }

  /** Removes a placement. Returns whether it was in the index. */
  remove(placement: Placement, now: MonotonicTime): boolean {
    const { job, machine, index } = placement;
    const tasks = this.byJob.get(job);
    if (tasks?.get(index) !== placement) return false;
    tasks.delete(index);
    if (tasks.size === 0) this.byJob.delete(job);
    const key = taskKey(job.id, index);
    const onMachine = this.byMachine.get(machine);
    onMachine?.delete(key);
    if (onMachine?.size === 0) this.byMachine.delete(machine);
    job.onTaskReleased(index, now);
    machine.allocations.remove(key, now);
    return true;
  }

  /** Returns how many of a job's tasks are running or saving a checkpoint. */
  runningCount(job: Job): number {
    let count = 0;
    for (const { phase } of this.ofJob(job).values()) if (phase === 'running' || phase === 'checkpointing') count += 1;
    return count;
  }

  /** Returns how many of a job's tasks are placed on a machine. */
  taskCountOn(job: Job, machine: Machine): number {
    let count = 0;
    for (const placement of this.ofJob(job).values()) if (placement.machine === machine) count += 1;
    return count;
  }

  /** Returns how many of a job's tasks are placed in each zone. Zones without any are omitted. */
  taskCountByZone(job: Job): Map<ZoneName, number> {
    const counts = new Map<ZoneName, number>();
    for (const { machine } of this.ofJob(job).values()) counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + 1);
    return counts;
  }
}
