import type { ReconciledBy, StartZonesRecordedSince } from '../../recovery/index.js';
import { Job, type Placement, type PlacementPhase } from '../jobs/job.js';
import { RuntimeEstimator } from '../jobs/runtime_estimator.js';
import { taskKey } from '../jobs/task_keys.js';
import { BootTimeEstimator } from '../machines/boot_time_estimator.js';
import type { Machine } from '../machines/machine.js';
import type { MachineTypes } from '../machines/machine_type_catalog.js';
import { SpotInterruptionRate } from '../machines/spot_interruption_rate.js';
import type { JobRecord } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { Attempt, ImageName, JobId, MachineId, MonotonicTime, Resources, Revision } from '../types.js';
import { PreviousTerms } from './previous_terms.js';
import { Quotas } from './quotas.js';
import { dropUnexpectedTasks } from './unexpected_tasks.js';

const MAX_CANCELLED_BEFORE_RECORD = 10_000;
/** Least spacing of placements of replicas, and how long one waits for more to place. */
const SERVICE_PLACEMENT_SPACING_MS = 100;
const SERVICE_PLACEMENT_BATCHING_MS = 10;
/** Attempts of one term are numbered within so many bits. */
const ATTEMPTS_PER_TERM_BITS = 24n;
/** A task is given more time to save than it says it needs. */
const CHECKPOINT_TIME_FACTOR = 1.5;
const CHECKPOINT_TIME_EXTRA_SECONDS = 1;

/** What the leader knows: jobs, machines, and which task may be on which machine. */
export class Cluster {
  readonly jobs = new Map<JobId, Job>();
  /** Jobs that still need attention: not over, or over with tasks left on machines. */
  readonly activeJobs = new Set<Job>();
  /** Accepted services: their replicas are placed outside the search. */
  readonly services = new Set<Job>();
  readonly machines = new Map<MachineId, Machine>();
  /** Machines proven gone in this term: a late report of theirs brings nothing back. */
  readonly removedMachines = new Set<MachineId>();
  /** Machines with tasks that were told to stop, or with replicas to start: only these need direct commands. */
  readonly machinesWithPendingStops = new Set<Machine>();
  readonly machinesWithPendingStarts = new Set<Machine>();
  readonly quotas: Quotas;
  readonly previousTerms: PreviousTerms;
  /** Jobs whose records this version can't read. */
  unreadableJobIds: ReadonlySet<JobId> = new Set();
  readonly runtimeEstimator = new RuntimeEstimator();
  readonly bootTimeEstimator = new BootTimeEstimator();
  readonly spotInterruptions = new SpotInterruptionRate();
  /** The largest tasks seen that use an image, and its size. */
  readonly largestTaskByImage = new Map<ImageName, Resources>();
  readonly imageSizesGb = new Map<ImageName, number>();
  machineTypes: MachineTypes = new Map();
  lastServicePlacementAt = 0 as MonotonicTime;
  /** Jobs of whose cancellation a notice came before their records were known here. */
  private readonly cancelledBeforeRecord = new Set<JobId>();
  private attemptCount = 0n;

  constructor(
    readonly context: StepContext,
    readonly term: number,
    zonesKeptSince: StartZonesRecordedSince = null,
  ) {
    this.quotas = new Quotas(context.settings.teamQuotas);
    this.previousTerms = new PreviousTerms(this, zonesKeptSince);
  }

  /** Higher than any attempt of an earlier term, and than any earlier one of this term. */
  nextAttempt(): Attempt {
    this.attemptCount += 1n;
    return ((BigInt(this.term) << ATTEMPTS_PER_TERM_BITS) + this.attemptCount) as Attempt;
  }

  // ---- jobs

  /** Takes over a job's record, whether or not the job is known. */
  applyJobRecord(record: JobRecord, version: Revision): void {
    const known = this.jobs.get(record.spec.id);
    if (!known) {
      const job = new Job(record, version);
      this.previousTerms.onJobAdded(job, record.startZones);
      this.addJob(job);
      return;
    }
    const stateBefore = known.state;
    known.merge(record, version);
    if (known.state !== stateBefore) this.onJobFinished(known);
  }

  private addJob(job: Job): void {
    if (this.cancelledBeforeRecord.delete(job.id) && job.state === 'accepted') job.state = 'cancelled';
    job.inactiveSince = this.context.now.monotonic;
    this.jobs.set(job.id, job);
    this.recordImageUse(job);
    if (job.state !== 'accepted') return;
    this.activeJobs.add(job);
    if (!job.isService) return;
    this.services.add(job);
    this.scheduleServicePlacement();
  }

  private recordImageUse({ spec }: Job): void {
    this.imageSizesGb.set(spec.image, spec.imageGb);
    const largest = this.largestTaskByImage.get(spec.image);
    if (!largest || largest.gpus < spec.gpus || largest.cpus < spec.cpus) this.largestTaskByImage.set(spec.image, spec);
  }

  /** A node says that the job's cancellation is on record: it never turns back, so nothing more is started at once. */
  applyCancellationBroadcast(id: JobId): void {
    const job = this.jobs.get(id);
    if (!job) {
      if (this.cancelledBeforeRecord.size < MAX_CANCELLED_BEFORE_RECORD) this.cancelledBeforeRecord.add(id);
      return;
    }
    if (job.state !== 'accepted') return;
    job.state = 'cancelled';
    this.onJobFinished(job);
  }

  /** A job is done or cancelled: what is only planned is released, what may be on a machine is stopped. */
  private onJobFinished(job: Job): void {
    this.services.delete(job);
    for (const placement of [...job.placements.values()]) {
      if (placement.phase === 'planned') this.release(placement);
      else if (job.state === 'cancelled') this.stop(placement, 0);
    }
    this.deactivateIfSettled(job);
  }

  deactivateIfSettled(job: Job): void {
    if (job.isSettled) this.activeJobs.delete(job);
  }

  /** Whether any replica waits for a place. */
  hasPendingReplicas(): boolean {
    for (const job of this.services) if (job.pendingCount > 0) return true;
    return false;
  }

  /** Replicas wait for a place, or room was made for one: looked at soon, not with the next round. */
  scheduleServicePlacement(at: MonotonicTime = this.context.now.monotonic): void {
    if (!this.hasPendingReplicas()) return;
    const earliest = Math.max(
      at,
      this.lastServicePlacementAt + SERVICE_PLACEMENT_SPACING_MS,
      this.context.after(SERVICE_PLACEMENT_BATCHING_MS),
    ) as MonotonicTime;
    this.context.timers.bringForward('servicePlacement', earliest);
  }

  // ---- placements

  place(job: Job, index: number, machine: Machine, attempt: Attempt, phase: PlacementPhase): Placement {
    const now = this.context.now.monotonic;
    if (phase !== 'planned' && this.previousTerms.recovery) job.locatedTasks.add(index);
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
    this.quotas.recordUsage(job.spec, 1);
    this.activeJobs.add(job);
    return placement;
  }

  /** The task is proven not to be on the machine (any more). */
  release(placement: Placement): void {
    const { job, machine } = placement;
    if (!this.detach(placement)) return;
    if (this.services.has(job) || machine.hasReservation) this.scheduleServicePlacement();
    if (job.isGang && job.state === 'accepted') {
      if (job.placements.size > 0) this.breakGang(job);
      else job.gangBroken = false;
    }
    this.deactivateIfSettled(job);
  }

  /** Takes the place away, whatever that means for the others of its job. Returns whether it was there. */
  detach(placement: Placement): boolean {
    const { job, machine, index } = placement;
    if (job.placements.get(index) !== placement) return false;
    job.placements.delete(index);
    if (job.placements.size === 0) job.inactiveSince = this.context.now.monotonic;
    machine.removePlacement(placement, this.context.now.monotonic);
    this.quotas.recordUsage(job.spec, -1);
    job.onTaskReleased(index);
    return true;
  }

  releaseEverything(machine: Machine): void {
    dropUnexpectedTasks(this, machine);
    for (const placement of [...machine.placements.values()]) this.release(placement);
    machine.exitedTasks = [];
  }

  /** What was only meant for the machine goes elsewhere. */
  releasePlanned(machine: Machine): void {
    for (const placement of [...machine.placements.values()]) {
      if (placement.phase === 'planned') this.release(placement);
    }
  }

  /** Takes the task from its machine: at once if no start was sent, otherwise by a stop. */
  evict(placement: Placement, graceS: number): void {
    if (placement.phase === 'planned') this.release(placement);
    else this.stop(placement, graceS);
  }

  /** One task of a gang is lost: the others of its attempt have nothing to wait for. */
  breakGang(job: Job): void {
    if (!job.gangBroken) this.evictGang(job, 0);
  }

  /** All of a gang leaves; what was only planned is gone at once. */
  private evictGang(job: Job, graceS: number): void {
    job.gangBroken = true;
    for (const placement of [...job.placements.values()]) this.evict(placement, graceS);
    if (job.placements.size === 0) job.gangBroken = false;
  }

  stop(placement: Placement, gracePeriodSeconds: number): void {
    if (placement.pendingStop && placement.pendingStop.gracePeriodSeconds <= gracePeriodSeconds) return;
    placement.pendingStop = { gracePeriodSeconds, since: this.context.now.monotonic };
    this.scheduleStopCommands(placement.machine);
  }

  /** Stops of tasks on the machine go out directly. */
  scheduleStopCommands(machine: Machine): void {
    this.machinesWithPendingStops.add(machine);
    this.context.timers.set('workerCommands', this.context.now.monotonic);
  }

  /** Stops a task so that its work is saved where it can be; a gang is stopped as a whole. */
  evictWithCheckpoint(placement: Placement): void {
    const { job } = placement;
    const { checkpointIntervalSeconds, checkpointDurationSeconds } = job.spec;
    const graceS =
      checkpointIntervalSeconds > 0
        ? checkpointDurationSeconds * CHECKPOINT_TIME_FACTOR + CHECKPOINT_TIME_EXTRA_SECONDS
        : 0;
    if (job.isGang) this.evictGang(job, graceS);
    else this.evict(placement, graceS);
  }

  findPlacement(machine: Machine, job: JobId, index: number): Placement | undefined {
    return machine.placements.get(taskKey(job, index));
  }

  // ---- machines

  /** Whether the machine is still the one that is known by its name. */
  isKnown(machine: Machine): boolean {
    return this.machines.get(machine.id) === machine;
  }

  /** Whether a machine on its way will not be up when it should be. */
  isBootOverdue(machine: Machine): boolean {
    const now = this.context.now.monotonic;
    const { phase, type, zone } = machine;
    return phase === 'booting' && this.bootTimeEstimator.isOverdue(type, zone, machine.lifecycle.ageSeconds(now), now);
  }

  /** Whether the machine is on its way, and may be counted on. */
  isExpected(machine: Machine): boolean {
    return machine.isProvisioning() && !this.isBootOverdue(machine);
  }

  /** The machine is proven gone, with everything on it. */
  removeMachine(machine: Machine): void {
    this.releaseEverything(machine);
    this.machines.delete(machine.id);
    this.removedMachines.add(machine.id);
    this.previousTerms.onMachineReconciled(machine, 'gone');
  }

  /** Nothing of an earlier leader can be on the machine that isn't known here. */
  markReconciled(machine: Machine, how: ReconciledBy): void {
    machine.reconciled = true;
    this.previousTerms.onMachineReconciled(machine, how);
  }
}
