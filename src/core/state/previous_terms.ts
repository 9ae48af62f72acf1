/**
 * What this leader knows of the tasks of previous terms: which jobs must wait, and which capacity counts against quotas
 * until all machines are reconciled.
 */
import {
  type PreviousTermJob,
  type ReconciledBy,
  type RecordLookupResult,
  Recovery,
  type RecoverySummary,
  type StartZonesRecordedSince,
  summaryFields,
  trustedStartZones,
} from '../../recovery/index.js';
import type { Job } from '../jobs/job.js';
import type { TaskRelease } from '../jobs/located_tasks.js';
import { taskKey } from '../jobs/task_keys.js';
import { workerLeaseExpiryMs } from '../lease_bounds.js';
import type { Machine } from '../machines/machine.js';
import { fitsWithStartZones } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { JobId, ZoneName } from '../types.js';
import type { MachineTable } from './machine_table.js';
import type { Placement } from './placement.js';
import type { Quotas } from './quotas.js';

/**
 * Number of restarts per term that are each logged. Only tasks that were started in previous terms count. After that,
 * one in RESTART_LOG_INTERVAL restarts is logged.
 */
const RESTARTS_LOGGED_INDIVIDUALLY = 200;
const RESTART_LOG_INTERVAL = 100;

/** Assumed while there may be unregistered machines with unknown tasks. Teams with a limit then get no new tasks. */
const UNKNOWN_CAPACITY = { cpus: Number.POSITIVE_INFINITY, gpus: Number.POSITIVE_INFINITY };

const NO_ZONES: ReadonlySet<ZoneName> = new Set();

/** What `PreviousTerms` needs to know of this leader's term and state. */
export interface PreviousTermsInit {
  /** The term of this leader. */
  readonly term: number;
  readonly quotas: Quotas;
  readonly machines: MachineTable;
  /** The term since which every leader has recorded start zones. Null if this leader does not record them. */
  readonly startZonesRecordedSince: StartZonesRecordedSince;
}

/** Applies the decisions of `src/recovery` to the jobs, machines and quotas of this term. */
export class PreviousTerms {
  /**
   * Null if the recovery feature is disabled. Every job first started in a previous term then waits until all machines
   * are reconciled.
   */
  readonly recovery: Recovery | null;
  /** Jobs first started in previous terms that may have tasks which this leader has not found yet. */
  private readonly jobs = new Set<Job>();
  private unreconciledMachineCount = 0;
  /** Whether the exposure of the teams has been updated since recovery finished. It does not change any more then. */
  private isExposureFinal = false;
  private recordsToLookUp: JobId[] = [];
  private restartCount = 0;

  constructor(
    private readonly context: StepContext,
    private readonly init: PreviousTermsInit,
  ) {
    const recoveryInit = { term: init.term, electedAt: context.now.monotonic };
    this.recovery = context.features.recovery.enabled ? new Recovery(recoveryInit) : null;
  }

  /**
   * Returns whether the zones of the job's starts are stored in its record. Called when the job is started for the
   * first time.
   */
  recordsStartZones(job: Job): boolean {
    if (this.init.startZonesRecordedSince === null) return false;
    const { zones, stateStore } = this.context.settings;
    return fitsWithStartZones(job, zones, stateStore.maxValueBytes);
  }

  // ---- stored state

  /**
   * Handles a job whose record has become known. `startZones` are the zones in the record, which may not be
   * trustworthy.
   */
  onJobAdded(job: Job, startZones: readonly ZoneName[] | null): void {
    this.recovery?.onRecordFound(job.id);
    job.restoreStartZones(trustedStartZones(job.startTerm, startZones, this.init.startZonesRecordedSince));
    if (this.isFromPreviousTerm(job) && job.state !== 'done') this.jobs.add(job);
  }

  private isFromPreviousTerm({ startTerm }: Job): boolean {
    return startTerm > 0 && startTerm < this.init.term;
  }

  /** Handles a machine that was registered in the state store when this leader was elected. */
  onMachineRestored({ id, type, zone, spot }: Machine): void {
    this.recovery?.addMachine({ id, type: type.name, zone, spot, cpus: type.cpus, gpus: type.gpus });
  }

  /**
   * Handles a registry page that cannot be read. Machines on it may run tasks until their leases have certainly
   * expired.
   */
  onUnreadablePage(): void {
    this.recovery?.onUnreadablePage(this.context.after(workerLeaseExpiryMs(this.context.settings)));
  }

  /**
   * Handles a renewal of the lease of a machine of an unknown type that reports tasks. They may run until the lease has
   * certainly expired, wherever this leader could start them again.
   */
  onUntrackedLeaseRenewed(): void {
    this.recovery?.onUntrackedLeaseRenewed(this.context.after(workerLeaseExpiryMs(this.context.settings)));
  }

  /** Number of jobs that were first started in previous terms and are not known to be done. */
  get begunJobs(): number {
    return this.jobs.size;
  }

  /** Called when all records have been read. */
  onLoaded(unreadableJobs: number): void {
    for (let i = 0; i < unreadableJobs; i++) this.recovery?.onUnreadableJob();
    this.recovery?.onLoaded();
    this.updateUnreconciled();
    this.finishIfReconciled();
  }

  // ---- reconciliation of machines

  /** Called when it is certain which tasks are on the machine. */
  onMachineReconciled(machine: Machine, how: ReconciledBy): void {
    // The capacity that counts against quotas is recalculated before placements are made. Until then it may be too
    // high.
    if (this.recovery) this.recovery.onMachineReconciled(machine.id, how);
    else this.updateUnreconciledCount();
    this.finishIfReconciled();
  }

  /**
   * Recounts the unreconciled machines, which may hold tasks of any team, and updates how much of their capacity counts
   * against each team's limit. Returns the number of these machines.
   */
  updateUnreconciled(): number {
    if (this.recovery) this.updateExposure(this.recovery);
    else this.updateUnreconciledCount();
    return this.unreconciledMachineCount;
  }

  private updateExposure(recovery: Recovery): void {
    this.unreconciledMachineCount = recovery.unreconciledMachines;
    if (this.isExposureFinal) return;
    this.isExposureFinal = recovery.isFinished;
    const { quotas } = this.init;
    const { monotonic } = this.context.now;
    quotas.unreconciledCapacity = recovery.unreconciledCapacity(monotonic) ?? UNKNOWN_CAPACITY;
    quotas.exposure = quotas.hasLimits ? recovery.teamExposure(this.previousTermJobs(), monotonic) : null;
  }

  private *previousTermJobs(): Iterable<PreviousTermJob> {
    for (const job of this.jobs) {
      if (job.unaccountedCount === 0) this.jobs.delete(job);
      else yield toPreviousTermJob(job);
    }
  }

  private updateUnreconciledCount(): void {
    let count = 0;
    let cpus = 0;
    let gpus = 0;
    for (const { reconciled, type } of this.init.machines.values()) {
      if (reconciled) continue;
      count += 1;
      cpus += type.cpus;
      gpus += type.gpus;
    }
    this.unreconciledMachineCount = count;
    this.init.quotas.unreconciledCapacity = { cpus, gpus };
  }

  /** Ends recovery and logs its result if all machines are reconciled. Has no effect after recovery has ended. */
  finishIfReconciled(): void {
    const { recovery } = this;
    if (!recovery?.finish(this.context.now.monotonic, () => this.countMissing())) return;
    this.context.log('recovery finished', summaryFields(recovery.summary()));
    this.updateUnreconciled();
  }

  private countMissing(): number {
    let missing = 0;
    for (const job of this.jobs) if (job.state === 'accepted') missing += job.unaccountedCount;
    this.jobs.clear();
    return missing;
  }

  // ---- starts

  /**
   * Updates in which zones tasks of the job may be on unreconciled machines. Returns how many of its tasks may be placed
   * now.
   */
  startableTaskCount(job: Job): number {
    job.locatedTasks.setUnlocatedTaskZones(this.zonesOfUnlocatedTasks(job));
    return job.startableCount;
  }

  /** Returns whether tasks of the job may be on an unreconciled machine. */
  mayRunOnUnreconciledMachine(job: Job): boolean {
    const zones = this.zonesOfUnlocatedTasks(job);
    return zones === null || zones.size > 0;
  }

  private zonesOfUnlocatedTasks(job: Job): ReadonlySet<ZoneName> | null {
    if (!this.isFromPreviousTerm(job)) return NO_ZONES;
    if (!this.recovery) return this.unreconciledMachineCount > 0 ? null : NO_ZONES;
    if (this.recovery.isFinished) return NO_ZONES;
    return this.recovery.zonesOfUnlocatedTasks(toPreviousTermJob(job), this.context.now.monotonic);
  }

  /** Called when the start of a task is sent. */
  onTaskStarted(placement: Placement): void {
    this.recovery?.onTaskStarted(this.context.now.monotonic);
    const release = placement.job.locatedTasks.takeRelease(placement.index);
    if (release) this.logRestart(placement, release);
  }

  /**
   * Logs the evidence from which this leader concluded that a task started by a previous leader was on no machine. If
   * there are very many restarts, only some are logged.
   */
  private logRestart({ job, index, machine, attempt }: Placement, release: TaskRelease): void {
    this.restartCount += 1;
    if (this.restartCount > RESTARTS_LOGGED_INDIVIDUALLY && this.restartCount % RESTART_LOG_INTERVAL !== 0) return;
    this.context.log('task started again', {
      task: taskKey(job.id, index),
      machine: machine.id,
      attempt,
      evidence: job.locatedTasks.has(index) ? release.reason : 'noFeasibleMachine',
      earlierMachine: release.machine,
      earlierAttempt: release.attempt,
      restarts: this.restartCount,
    });
  }

  /** Returns what recovery has found so far. Null if the recovery feature is disabled. */
  summary(): RecoverySummary | null {
    return this.recovery?.summary() ?? null;
  }

  // ---- orphans

  /**
   * Requests a lookup of a job's record after a worker reported a task of this job, which is unknown here. No further
   * lookup is requested while one is in flight or once it has confirmed that the record is absent.
   */
  suspectOrphan(job: JobId, { id }: Machine): void {
    const isNew = this.recovery?.onUnknownJobReported(job, id, this.context.now.monotonic);
    if (isNew) this.recordsToLookUp.push(job);
  }

  /** Returns the jobs whose records are to be looked up, and clears the list. */
  takeRecordsToLookUp(): JobId[] {
    const jobs = this.recordsToLookUp;
    this.recordsToLookUp = [];
    return jobs;
  }

  onRecordLookedUp(job: JobId, result: RecordLookupResult): void {
    if (!this.recovery?.onRecordLookedUp(job, result)) return;
    this.context.log('task without job record found', { job });
  }
}

function toPreviousTermJob(job: Job): PreviousTermJob {
  const { id, team, allowedMachineTypes, zone, toleratesSpot, cpus, gpus } = job.spec;
  const { startTerm, startZones, unaccountedCount } = job;
  return {
    id,
    team,
    allowedMachineTypes,
    zone,
    toleratesSpot,
    cpus,
    gpus,
    startTerm,
    startZones,
    unaccountedCount,
  };
}
