/** The table that says which task is placed on which machine. Placements are added, stopped and released only here. */
import type { Job } from '../jobs/job.js';
import type { ReleaseReason } from '../jobs/located_tasks.js';
import type { TaskKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { StepContext } from '../step_context.js';
import type { JobId, ZoneName } from '../types.js';
import type { AttemptNumbers } from './attempt_numbers.js';
import type { JobTable } from './job_table.js';
import type { PendingCommands } from './pending_commands.js';
import { Placement, type PlacementInit } from './placement.js';
import { PlacementIndex } from './placement_index.js';
import type { Quotas } from './quotas.js';
import type { ServicePlacementSchedule } from './service_placement_schedule.js';

/** Factor and extra seconds by which a task's grace period exceeds the checkpoint duration that its job declares. */
const CHECKPOINT_TIME_FACTOR = 1.5;
const CHECKPOINT_TIME_EXTRA_SECONDS = 1;

/** The other parts of the state that are affected by a change of placements. */
export interface PlacementTableParts {
  readonly jobs: JobTable;
  readonly quotas: Quotas;
  readonly pendingCommands: PendingCommands;
  readonly servicePlacements: ServicePlacementSchedule;
  readonly attempts: AttemptNumbers;
  /**
   * Whether tasks that are found on machines are recorded in their jobs as located. True if the recovery feature is
   * enabled.
   */
  readonly recordsLocatedTasks: boolean;
}

/** A task that is to get a placement. */
export type NewPlacement = Omit<PlacementInit, 'placedAt'>;

/** Adds, stops and releases placements, and keeps jobs, machines and quotas consistent with them. */
export class PlacementTable {
  private readonly index = new PlacementIndex();

  constructor(
    private readonly context: StepContext,
    private readonly parts: PlacementTableParts,
  ) {}

  // ---- look-ups

  /** Returns undefined if the task has no placement on the machine. */
  find(machine: Machine, job: JobId, index: number): Placement | undefined {
    return this.index.find(machine, job, index);
  }

  /** Returns the placements of a job by task index, in the order in which they were added. */
  ofJob(job: Job): ReadonlyMap<number, Placement> {
    return this.index.ofJob(job);
  }

  /** Returns the placements on a machine, in the order in which they were added. */
  onMachine(machine: Machine): ReadonlyMap<TaskKey, Placement> {
    return this.index.onMachine(machine);
  }

  /** Returns how many of a job's tasks are running or saving a checkpoint. */
  runningCount(job: Job): number {
    return this.index.runningCount(job);
  }

  /** Returns how many of a job's tasks are placed on a machine. */
  taskCountOn(job: Job, machine: Machine): number {
    return this.index.taskCountOn(job, machine);
  }

  /** Returns how many of a job's tasks are placed in each zone. Zones without any are omitted. */
  taskCountByZone(job: Job): Map<ZoneName, number> {
    return this.index.taskCountByZone(job);
  }

  // ---- adding

  /**
   * Adds a placement for the task. The phase is `planned` if a start is to be sent, otherwise the phase in which the
   * task was found on the machine.
   */
  add(task: NewPlacement): Placement {
    const { job, index, phase } = task;
    if (phase !== 'planned' && this.parts.recordsLocatedTasks) job.locatedTasks.add(index);
    const placement = new Placement({ ...task, placedAt: this.context.now.monotonic });
    this.index.add(placement);
    this.parts.quotas.recordUsage(job.spec, 1);
    this.parts.jobs.activate(job);
    return placement;
  }

  // ---- releasing

  /**
   * Releases a placement whose task is proven not to be on the machine. `reason` is the evidence. The other tasks of a
   * gang are evicted too.
   */
  release(placement: Placement, reason: ReleaseReason): void {
    const { job, index, machine, attempt } = placement;
    if (!this.detach(placement)) return;
    const { jobs, servicePlacements, attempts } = this.parts;
    if (attempts.isOfPreviousTerm(attempt) && job.mayStartAgain(index))
      job.locatedTasks.recordRelease(index, { machine: machine.id, attempt, reason });
    if (jobs.services.has(job) || machine.hasReservation) servicePlacements.request();
    if (job.isGang && job.state === 'accepted') this.onGangTaskReleased(job);
    jobs.deactivateIfSettled(job);
  }

  private onGangTaskReleased(job: Job): void {
    if (job.placedCount > 0) this.breakGang(job);
    else job.clearGangBroken();
  }

  /**
   * Removes a placement without affecting the other tasks of its job. Returns whether the placement was in the table.
   */
  detach(placement: Placement): boolean {
    if (!this.index.remove(placement, this.context.now.monotonic)) return false;
    this.parts.quotas.recordUsage(placement.job.spec, -1);
    return true;
  }

  /** Releases all placements on the machine. */
  releaseAll(machine: Machine, reason: ReleaseReason): void {
    for (const placement of [...this.onMachine(machine).values()]) this.release(placement, reason);
  }

  /**
   * Releases the placements on the machine for which no start has been sent, so that their tasks can be placed
   * elsewhere.
   */
  releasePlanned(machine: Machine): void {
    for (const placement of [...this.onMachine(machine).values()]) {
      if (placement.phase === 'planned') this.release(placement, 'startNotSent');
    }
  }

  /**
   * Handles the end of a job. Releases the placements that are only planned, and stops the tasks of a cancelled job
   * that may be on machines.
   */
  onJobEnded(job: Job): void {
    for (const placement of [...this.ofJob(job).values()]) {
      if (placement.phase === 'planned') this.release(placement, 'startNotSent');
      else if (job.state === 'cancelled') this.stop(placement, 0);
    }
  }

  // ---- stopping

  /**
   * Requests that the worker stop the task. An earlier request stays in force if its grace period is as short or
   * shorter.
   */
  stop(placement: Placement, gracePeriodSeconds: number): void {
    const isChanged = placement.requestStop(gracePeriodSeconds, this.context.now.monotonic);
    if (isChanged) this.parts.pendingCommands.scheduleStops(placement.machine);
  }

  /** Removes the task from its machine: at once if no start has been sent, otherwise by a stop. */
  evict(placement: Placement, gracePeriodSeconds: number): void {
    if (placement.phase === 'planned') this.release(placement, 'startNotSent');
    else this.stop(placement, gracePeriodSeconds);
  }

  /** Evicts the task with time to save a checkpoint, if it saves any. A gang is evicted as a whole. */
  evictWithCheckpoint(placement: Placement): void {
    const { job } = placement;
    const gracePeriodSeconds = checkpointGracePeriodSeconds(job);
    if (job.isGang) this.evictGang(job, gracePeriodSeconds);
    else this.evict(placement, gracePeriodSeconds);
  }

  /**
   * Evicts the other tasks of a gang's attempt after one task was lost, because the attempt cannot complete without it.
   */
  breakGang(job: Job): void {
    if (!job.gangBroken) this.evictGang(job, 0);
  }

  /** Evicts all tasks of a gang. Placements that are only planned are released at once. */
  private evictGang(job: Job, gracePeriodSeconds: number): void {
    job.markGangBroken();
    for (const placement of [...this.ofJob(job).values()]) this.evict(placement, gracePeriodSeconds);
    if (job.placedCount === 0) job.clearGangBroken();
  }
}

function checkpointGracePeriodSeconds({ spec }: Job): number {
  if (spec.checkpointIntervalSeconds <= 0) return 0;
  return spec.checkpointDurationSeconds * CHECKPOINT_TIME_FACTOR + CHECKPOINT_TIME_EXTRA_SECONDS;
}
