/** The cluster state that a leader holds: jobs, machines, placements, quotas and estimates. */
import type { ReconciledBy, StartZonesRecordedSince } from '../../recovery/index.js';
import { ImageUsage } from '../jobs/image_usage.js';
import { Job } from '../jobs/job.js';
import type { ReleaseReason } from '../jobs/located_tasks.js';
import { RuntimeEstimator } from '../jobs/runtime_estimator.js';
import { BootTimeEstimator } from '../machines/boot_time_estimator.js';
import type { Machine } from '../machines/machine.js';
import type { MachineTypes } from '../machines/machine_type_catalog.js';
import { SpotInterruptionRate } from '../machines/spot_interruption_rate.js';
import type { JobRecord } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { Attempt, JobId, Revision } from '../types.js';
import { AttemptNumbers } from './attempt_numbers.js';
import { JobTable } from './job_table.js';
import { MachineTable } from './machine_table.js';
import { PendingCommands } from './pending_commands.js';
import { PlacementTable } from './placement_table.js';
import { PreviousTerms } from './previous_terms.js';
import { Quotas } from './quotas.js';
import { ServicePlacementSchedule } from './service_placement_schedule.js';
import { TermTimers } from './term_timers.js';
import { UnexpectedTasks } from './unexpected_tasks.js';

/**
 * The state of one term, which is lost when the term ends. Data that has to outlive the term is written to the state
 * store (leadership/record_writer.ts).
 */
export class Cluster {
  readonly runtimeEstimator = new RuntimeEstimator();
  readonly bootTimeEstimator = new BootTimeEstimator();
  readonly spotInterruptions = new SpotInterruptionRate();
  readonly jobs = new JobTable();
  readonly timers: TermTimers;
  readonly machines: MachineTable;
  readonly quotas: Quotas;
  readonly previousTerms: PreviousTerms;
  readonly pendingCommands: PendingCommands;
  readonly unexpectedTasks: UnexpectedTasks;
  readonly servicePlacements: ServicePlacementSchedule;
  readonly placements: PlacementTable;
  /** The machine types that the cloud offers. Empty until the list of types has been read. */
  machineTypes: MachineTypes = new Map();
  private readonly attempts: AttemptNumbers;

  constructor(
    readonly context: StepContext,
    readonly term: number,
    startZonesRecordedSince: StartZonesRecordedSince = null,
    readonly images: Pick<ImageUsage, 'sizeGb' | 'largestTask'> = new ImageUsage(),
  ) {
    const { jobs } = this;
    const attempts = new AttemptNumbers(term);
    this.attempts = attempts;
    const timers = new TermTimers(context.timers);
    this.timers = timers;
    const quotas = new Quotas(context.settings.teamQuotas);
    const machines = new MachineTable(context, this.bootTimeEstimator);
    const pendingCommands = new PendingCommands(context, timers);
    const servicePlacements = new ServicePlacementSchedule(context, timers, jobs);
    this.quotas = quotas;
    this.machines = machines;
    this.pendingCommands = pendingCommands;
    this.servicePlacements = servicePlacements;
    this.unexpectedTasks = new UnexpectedTasks(quotas, pendingCommands);
    this.previousTerms = new PreviousTerms(context, { term, quotas, machines, startZonesRecordedSince });
    const recordsLocatedTasks = this.previousTerms.recovery !== null;
    this.placements = new PlacementTable(context, {
      jobs,
      quotas,
      pendingCommands,
      servicePlacements,
      attempts,
      recordsLocatedTasks,
    });
  }

  /** Returns an attempt number higher than any previous one. */
  nextAttempt(): Attempt {
    return this.attempts.next();
  }

  /** Returns whether the attempt was started in a previous term. */
  isOfPreviousTerm(attempt: Attempt): boolean {
    return this.attempts.isOfPreviousTerm(attempt);
  }

  // ---- jobs

  /** Applies a stored job record. Adds the job if it is not known yet. */
  applyJobRecord(record: JobRecord, version: Revision): void {
    const known = this.jobs.get(record.spec.id);
    if (!known) {
      this.addJob(record, version);
      return;
    }
    const stateBefore = known.state;
    known.merge(record, version);
    if (known.state !== stateBefore) this.onJobEnded(known);
  }

  private addJob(record: JobRecord, version: Revision): void {
    const job = new Job(record, version);
    this.previousTerms.onJobAdded(job, record.startZones);
    job.resetInactiveSince(this.context.now.monotonic);
    this.jobs.add(job);
    if (job.isService && job.state === 'accepted') this.servicePlacements.request();
  }

  /**
   * Applies a cancellation that a controller has persisted. A persisted cancellation is never undone, so no more tasks
   * of the job are started.
   */
  applyCancellationBroadcast(id: JobId): void {
    const job = this.jobs.get(id);
    if (!job) {
      this.jobs.cancelBeforeRecord(id);
      return;
    }
    if (job.cancel()) this.onJobEnded(job);
  }

  private onJobEnded(job: Job): void {
    this.jobs.endService(job);
    this.placements.onJobEnded(job);
    this.jobs.deactivateIfSettled(job);
  }

  // ---- machines

  /** Releases the placements, unexpected tasks and exited tasks of a machine on which nothing runs any more. */
  clearMachine(machine: Machine, reason: ReleaseReason): void {
    this.unexpectedTasks.drop(machine);
    this.placements.releaseAll(machine, reason);
    machine.reportedTasks.clearExits();
  }

  /** Removes a machine that is proven to be terminated, and releases everything that was on it. */
  removeMachine(machine: Machine): void {
    this.clearMachine(machine, 'machineGone');
    this.machines.remove(machine);
    this.previousTerms.onMachineReconciled(machine, 'gone');
  }

  /** Marks the machine as reconciled. This leader then knows every task of a previous term that can be on it. */
  markReconciled(machine: Machine, how: ReconciledBy): void {
    machine.markReconciled();
    this.previousTerms.onMachineReconciled(machine, how);
  }
}
