/** Which task has a placement on which machine: the one place where placements are made, stopped and taken away. */
import type { Job, Placement, PlacementPhase } from '../jobs/job.js';
import { taskKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { StepContext } from '../step_context.js';
import type { Attempt, JobId } from '../types.js';
import type { JobTable } from './job_table.js';
import type { PendingCommands } from './pending_commands.js';
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
  /** Whether tasks that are found on machines are noted in their jobs: with the recovery feature. */
  readonly notesLocatedTasks: boolean;
}

/** A task to be given a placement. */
export interface NewPlacement {
  readonly job: Job;
  readonly index: number;
  readonly machine: Machine;
  readonly attempt: Attempt;
  readonly phase: PlacementPhase;
}

/** Makes, stops and takes away placements, and keeps jobs, machines and quotas in line with them. */
export class PlacementTable {
  constructor(
    private readonly context: StepContext,
    private readonly parts: PlacementTableParts,
  ) {}

  /** Returns undefined where the task has no placement on the machine. */
  find(machine: Machine, job: JobId, index: number): Placement | undefined {
    return machine.placements.get(taskKey(job, index));
  }

  /** Gives the task a placement: `planned` if a start is to be sent, otherwise as it was found on the machine. */
  add({ job, index, machine, attempt, phase }: NewPlacement): Placement {
    const now = this.context.now.monotonic;
    if (phase !== 'planned' && this.parts.notesLocatedTasks) job.locatedTasks.add(index);
    const placement: Placement = {
      job,
      index,
      machine,
      attempt,
      phase,
      sentInResponseTo: null,
      since: now,
      runningSince: phase === 'running' ? now : null,
      foundRunning: phase === 'running',
      pendingStop: null,
    };
    job.placements.set(index, placement);
    machine.addPlacement(placement);
    this.parts.quotas.recordUsage(job.spec, 1);
    this.parts.jobs.activate(job);
    return placement;
  }

  // ---- taking away

  /** The task is proven not to be on the machine, or not to be any more. The rest of a gang leaves too. */
  release(placement: Placement): void {
    const { job, machine } = placement;
    if (!this.detach(placement)) return;
    const { jobs, servicePlacements } = this.parts;
    if (jobs.services.has(job) || machine.hasReservation) servicePlacements.request();
    if (job.isGang && job.state === 'accepted') this.onGangTaskReleased(job);
    jobs.deactivateIfSettled(job);
  }

  private onGangTaskReleased(job: Job): void {
    if (job.placements.size > 0) this.breakGang(job);
    else job.gangBroken = false;
  }

  /** Takes the placement away, whatever that means for the others of its job. Returns whether it was there. */
  detach(placement: Placement): boolean {
    const { job, machine, index } = placement;
    if (job.placements.get(index) !== placement) return false;
    const now = this.context.now.monotonic;
    job.placements.delete(index);
    if (job.placements.size === 0) job.inactiveSince = now;
    machine.removePlacement(placement, now);
    this.parts.quotas.recordUsage(job.spec, -1);
    job.onTaskReleased(index);
    return true;
  }

  /** Releases all placements on the machine. */
  releaseAll(machine: Machine): void {
    for (const placement of [...machine.placements.values()]) this.release(placement);
  }

  /** Releases the placements on the machine of which no start was sent: they go elsewhere. */
  releasePlanned(machine: Machine): void {
    for (const placement of [...machine.placements.values()]) {
      if (placement.phase === 'planned') this.release(placement);
    }
  }

  /** The job is done or cancelled: what is only planned is released, what may be on a machine is stopped. */
  onJobOver(job: Job): void {
    for (const placement of [...job.placements.values()]) {
      if (placement.phase === 'planned') this.release(placement);
      else if (job.state === 'cancelled') this.stop(placement, 0);
    }
  }

  // ---- stopping

  /** Asks the worker to stop the task. A stop that was asked for with no longer a grace period stands. */
  stop(placement: Placement, gracePeriodSeconds: number): void {
    if (placement.pendingStop && placement.pendingStop.gracePeriodSeconds <= gracePeriodSeconds) return;
    placement.pendingStop = { gracePeriodSeconds, since: this.context.now.monotonic };
    this.parts.pendingCommands.scheduleStops(placement.machine);
  }

  /** Takes the task from its machine: at once if no start was sent, otherwise by a stop. */
  evict(placement: Placement, gracePeriodSeconds: number): void {
    if (placement.phase === 'planned') this.release(placement);
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
    job.gangBroken = true;
    for (const placement of [...job.placements.values()]) this.evict(placement, gracePeriodSeconds);
    if (job.placements.size === 0) job.gangBroken = false;
  }
}

function checkpointGracePeriodSeconds({ spec }: Job): number {
  if (spec.checkpointIntervalSeconds <= 0) return 0;
  return spec.checkpointDurationSeconds * CHECKPOINT_TIME_FACTOR + CHECKPOINT_TIME_EXTRA_SECONDS;
}
