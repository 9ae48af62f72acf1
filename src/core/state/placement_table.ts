/** Which task has a placement on which machine: the one place where placements are made, stopped and taken away. */
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

/** A task is given more time to save a checkpoint than it says it needs. */
const CHECKPOINT_TIME_FACTOR = 1.5;
const CHECKPOINT_TIME_EXTRA_SECONDS = 1;

/** The other parts of the state that a change of placements touches. */
export interface PlacementTableParts {
  readonly jobs: JobTable;
  readonly quotas: Quotas;
  readonly pendingCommands: PendingCommands;
  readonly servicePlacements: ServicePlacementSchedule;
  readonly attempts: AttemptNumbers;
  /** Whether tasks that are found on machines are noted in their jobs: with the recovery feature. */
  readonly notesLocatedTasks: boolean;
}

/** A task to be given a placement. */
export type NewPlacement = Omit<PlacementInit, 'placedAt'>;

/** Makes, stops and takes away placements, and keeps jobs, machines and quotas in line with them. */
export class PlacementTable {
  private readonly index = new PlacementIndex();

  constructor(
    private readonly context: StepContext,
    private readonly parts: PlacementTableParts,
  ) {}

  // ---- finding

  /** Returns undefined where the task has no placement on the machine. */
  find(machine: Machine, job: JobId, index: number): Placement | undefined {
    return this.index.find(machine, job, index);
  }

  /** Returns the placements of a job by the indices of its tasks, in the order in which they were placed. */
  ofJob(job: Job): ReadonlyMap<number, Placement> {
    return this.index.ofJob(job);
  }

  /** Returns the placements on a machine, in the order in which they were placed. */
  onMachine(machine: Machine): ReadonlyMap<TaskKey, Placement> {
    return this.index.onMachine(machine);
  }

  /** Returns how many of a job's tasks run or save a checkpoint. */
  runningCount(job: Job): number {
    return this.index.runningCount(job);
  }

  /** Returns how many of a job's tasks are placed on a machine. */
  taskCountOn(job: Job, machine: Machine): number {
    return this.index.taskCountOn(job, machine);
  }

  /** Returns how many of a job's tasks are placed in each zone; zones without any are left out. */
  taskCountByZone(job: Job): Map<ZoneName, number> {
    return this.index.taskCountByZone(job);
  }

  // ---- placing

  /** Gives the task a placement: `planned` if a start is to be sent, otherwise as it was found on the machine. */
  add(task: NewPlacement): Placement {
    const { job, index, phase } = task;
    if (phase !== 'planned' && this.parts.notesLocatedTasks) job.locatedTasks.add(index);
    const placement = new Placement({ ...task, placedAt: this.context.now.monotonic });
    this.index.add(placement);
    this.parts.quotas.recordUsage(job.spec, 1);
    this.parts.jobs.activate(job);
    return placement;
  }

  // ---- taking away

  /** The task is proven not to be on the machine, or not to be any more: `reason` says by what. The rest of a gang leaves too. */
  release(placement: Placement, reason: ReleaseReason): void {
    const { job, index, machine, attempt } = placement;
    if (!this.detach(placement)) return;
    const { jobs, servicePlacements, attempts } = this.parts;
    if (attempts.isOfEarlierTerm(attempt) && job.mayStartAgain(index))
      job.locatedTasks.recordRelease(index, { machine: machine.id, attempt, reason });
    if (jobs.services.has(job) || machine.hasReservation) servicePlacements.request();
    if (job.isGang && job.state === 'accepted') this.onGangTaskReleased(job);
    jobs.deactivateIfSettled(job);
  }

  private onGangTaskReleased(job: Job): void {
    if (job.placedCount > 0) this.breakGang(job);
    else job.clearGangBroken();
  }

  /** Takes the placement away, whatever that means for the others of its job. Returns whether it was there. */
  detach(placement: Placement): boolean {
    if (!this.index.remove(placement, this.context.now.monotonic)) return false;
    this.parts.quotas.recordUsage(placement.job.spec, -1);
    return true;
  }

  /** Releases all placements on the machine. */
  releaseAll(machine: Machine, reason: ReleaseReason): void {
    for (const placement of [...this.onMachine(machine).values()]) this.release(placement, reason);
  }

  /** Releases the placements on the machine of which no start was sent: they go elsewhere. */
  releasePlanned(machine: Machine): void {
    for (const placement of [...this.onMachine(machine).values()]) {
      if (placement.phase === 'planned') this.release(placement, 'startNotSent');
    }
  }

  /** The job is done or cancelled: what is only planned is released, what may be on a machine is stopped. */
  onJobOver(job: Job): void {
    for (const placement of [...this.ofJob(job).values()]) {
      if (placement.phase === 'planned') this.release(placement, 'startNotSent');
      else if (job.state === 'cancelled') this.stop(placement, 0);
    }
  }

  // ---- stopping

  /** Asks the worker to stop the task. A stop that was asked for with no longer a grace period stands. */
  stop(placement: Placement, gracePeriodSeconds: number): void {
    const isChanged = placement.requestStop(gracePeriodSeconds, this.context.now.monotonic);
    if (isChanged) this.parts.pendingCommands.scheduleStops(placement.machine);
  }

  /** Takes the task from its machine: at once if no start was sent, otherwise by a stop. */
  evict(placement: Placement, gracePeriodSeconds: number): void {
    if (placement.phase === 'planned') this.release(placement, 'startNotSent');
    else this.stop(placement, gracePeriodSeconds);
  }

  /** Evicts the task with time to save a checkpoint, if it saves any; a gang is evicted as a whole. */
  evictWithCheckpoint(placement: Placement): void {
    const { job } = placement;
    const gracePeriodSeconds = checkpointGracePeriodSeconds(job);
    if (job.isGang) this.evictGang(job, gracePeriodSeconds);
    else this.evict(placement, gracePeriodSeconds);
  }

  /** One task of a gang is lost: the others of its attempt have nothing to wait for. */
  breakGang(job: Job): void {
    if (!job.gangBroken) this.evictGang(job, 0);
  }

  /** All of a gang leaves; what was only planned is gone at once. */
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
