/** What the leader knows, put together: jobs, machines, which task may be on which machine, quotas and estimates. */
import type { ReconciledBy, StartZonesRecordedSince } from '../../recovery/index.js';
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
import { ImageUsage } from './image_usage.js';
import { JobTable } from './job_table.js';
import { MachineTable } from './machine_table.js';
import { PendingCommands } from './pending_commands.js';
import { PlacementTable } from './placement_table.js';
import { PreviousTerms } from './previous_terms.js';
import { Quotas } from './quotas.js';
import { ServicePlacementSchedule } from './service_placement_schedule.js';
import { TermTimers } from './term_timers.js';
import { UnexpectedTasks } from './unexpected_tasks.js';

/** The state of one term, lost with it: what has to last is written to the state store (leadership/record_writer.ts). */
export class Cluster {
  readonly runtimeEstimator = new RuntimeEstimator();
  readonly bootTimeEstimator = new BootTimeEstimator();
  readonly spotInterruptions = new SpotInterruptionRate();
  readonly images = new ImageUsage();
  readonly jobs = new JobTable();
  readonly timers: TermTimers;
  readonly machines: MachineTable;
  readonly quotas: Quotas;
  readonly previousTerms: PreviousTerms;
  readonly pendingCommands: PendingCommands;
  readonly unexpectedTasks: UnexpectedTasks;
  readonly servicePlacements: ServicePlacementSchedule;
  readonly placements: PlacementTable;
  /** What the cloud offers; empty until its list has been read. */
  machineTypes: MachineTypes = new Map();
  private readonly attempts: AttemptNumbers;

  constructor(
    readonly context: StepContext,
    readonly term: number,
    startZonesRecordedSince: StartZonesRecordedSince = null,
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
    const notesLocatedTasks = this.previousTerms.recovery !== null;
    this.placements = new PlacementTable(context, {
      jobs,
      quotas,
      pendingCommands,
      servicePlacements,
      attempts,
      notesLocatedTasks,
    });
  }

  /** Returns an attempt number higher than any before. */
  nextAttempt(): Attempt {
    return this.attempts.next();
  }

  /** Returns whether the attempt was started in an earlier term. */
  isOfEarlierTerm(attempt: Attempt): boolean {
    return this.attempts.isOfEarlierTerm(attempt);
  }

  // ---- jobs

  /** Takes over a job's record, whether or not the job is known. */
  applyJobRecord(record: JobRecord, version: Revision): void {
    const known = this.jobs.get(record.spec.id);
    if (!known) {
      this.addJob(record, version);
      return;
    }
    const stateBefore = known.state;
    known.merge(record, version);
    if (known.state !== stateBefore) this.onJobOver(known);
  }

  private addJob(record: JobRecord, version: Revision): void {
    const job = new Job(record, version);
    this.previousTerms.onJobAdded(job, record.startZones);
    job.resetInactiveSince(this.context.now.monotonic);
    this.jobs.add(job);
    this.images.record(job.spec);
    if (job.isService && job.state === 'accepted') this.servicePlacements.request();
  }

  /** A controller has put the job's cancellation on record, which is never undone: nothing more of it is started. */
  applyCancellationBroadcast(id: JobId): void {
    const job = this.jobs.get(id);
    if (!job) {
      this.jobs.cancelBeforeRecord(id);
      return;
    }
    if (job.cancel()) this.onJobOver(job);
  }

  private onJobOver(job: Job): void {
    this.jobs.endService(job);
    this.placements.onJobOver(job);
    this.jobs.deactivateIfSettled(job);
  }

  // ---- machines

  /** Nothing is on the machine any more: neither placements nor unexpected or ended tasks. */
  clearMachine(machine: Machine, reason: ReleaseReason): void {
    this.unexpectedTasks.drop(machine);
    this.placements.releaseAll(machine, reason);
    machine.reportedTasks.clearExits();
  }

  /** The machine is proven gone, with everything on it. */
  removeMachine(machine: Machine): void {
    this.clearMachine(machine, 'machineGone');
    this.machines.remove(machine);
    this.previousTerms.onMachineReconciled(machine, 'gone');
  }

  /** Nothing of a previous term can be on the machine that isn't known here. */
  markReconciled(machine: Machine, how: ReconciledBy): void {
    machine.markReconciled();
    this.previousTerms.onMachineReconciled(machine, how);
  }
}
