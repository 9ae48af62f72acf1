/** What this leader knows of the work of previous terms: which jobs must wait, and what counts against quotas meanwhile. */
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

/** So many restarts of tasks begun in earlier terms have a line of their own in each term; of any more, one in so many. */
const MAX_RESTARTS_LOGGED = 200;
const RESTARTS_PER_LATER_LINE = 100;

/** While machines that no record shows may run anything, limited teams get nothing new. */
const UNKNOWN_CAPACITY = { cpus: Number.POSITIVE_INFINITY, gpus: Number.POSITIVE_INFINITY };

/** What a leader's knowledge of previous terms depends on. */
export interface PreviousTermsInit {
  /** The term of this leader. */
  readonly term: number;
  readonly quotas: Quotas;
  readonly machines: MachineTable;
  /** Since which term every leader has put start zones on record; null: this one doesn't. */
  readonly startZonesRecordedSince: StartZonesRecordedSince;
}

/** Carries out what `src/recovery` decides, on the jobs, machines and quotas of this term. */
export class PreviousTerms {
  /** Null where the feature is off: then every job begun in a previous term waits until all machines are reconciled. */
  readonly recovery: Recovery | null;
  /** Jobs begun in previous terms of which tasks may be anywhere. */
  private readonly jobs = new Set<Job>();
  private unreconciledCount = 0;
  private recordsToLookUp: JobId[] = [];
  private restarts = 0;

  constructor(
    private readonly context: StepContext,
    private readonly init: PreviousTermsInit,
  ) {
    const recoveryInit = { term: init.term, electedAt: context.now.monotonic };
    this.recovery = context.features.recovery.enabled ? new Recovery(recoveryInit) : null;
  }

  /** Returns whether the zones in which the job is started go on record: asked as it is started for the first time. */
  recordsStartZones(job: Job): boolean {
    if (this.init.startZonesRecordedSince === null) return false;
    const { zones, stateStore } = this.context.settings;
    return fitsWithStartZones(job, zones, stateStore.maxValueBytes);
  }

  // ---- what was stored

  /** A job's record is known now. `startZones`: as recorded, whether or not to be trusted. */
  onJobAdded(job: Job, startZones: readonly ZoneName[] | null): void {
    this.recovery?.onRecorded(job.id);
    job.restoreStartZones(trustedStartZones(job.startTerm, startZones, this.init.startZonesRecordedSince));
    if (this.isFromPreviousTerm(job) && job.state !== 'done') this.jobs.add(job);
  }

  private isFromPreviousTerm({ startTerm }: Job): boolean {
    return startTerm > 0 && startTerm < this.init.term;
  }

  /** A machine was on record when this leader was elected. */
  onMachineRestored({ id, type, zone, spot }: Machine): void {
    this.recovery?.addMachine({ id, type: type.name, zone, spot, cpus: type.cpus, gpus: type.gpus });
  }

  /** Machines on a page that can't be read may run tasks until their leases have surely expired. */
  onUnreadablePage(): void {
    this.recovery?.onUnreadablePage(this.context.after(workerLeaseExpiryMs(this.context.settings)));
  }

  /** How many jobs were begun in previous terms and are not known to be done. */
  get begunJobs(): number {
    return this.jobs.size;
  }

  /** All records have been read. */
  onLoaded(unreadableJobs: number): void {
    for (let i = 0; i < unreadableJobs; i++) this.recovery?.onUnreadableJob();
    this.recovery?.onLoaded();
    this.updateUnreconciled();
    this.finishIfReconciled();
  }

  // ---- reconciliation of machines

  /** What is on the machine is certain now. */
  onMachineReconciled(machine: Machine, how: ReconciledBy): void {
    // What counts against quotas is reckoned anew before placements are made; until then it is rather too much.
    if (this.recovery) this.recovery.onMachineReconciled(machine.id, how);
    else this.updateUnreconciledCount();
    this.finishIfReconciled();
  }

  /**
   * Counts the machines that may hold anybody's tasks, and holds against each limited team what may be its own there. Returns
   * how many machines they are.
   */
  updateUnreconciled(): number {
    if (this.recovery) this.updateExposure(this.recovery);
    else this.updateUnreconciledCount();
    return this.unreconciledCount;
  }

  private updateExposure(recovery: Recovery): void {
    const before = this.unreconciledCount;
    this.unreconciledCount = recovery.unreconciledMachines;
    if (before === 0 && this.unreconciledCount === 0 && recovery.isFinished) return;
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
    this.unreconciledCount = count;
    this.init.quotas.unreconciledCapacity = { cpus, gpus };
  }

  /** Logs once that all machines are reconciled, and what was found. */
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

  /** Notes whether tasks of a job may run unreconciled, and returns how many of it may be given placements now. */
  startableTasks(job: Job): number {
    job.setMayRunUnreconciled(this.mayRunUnreconciled(job));
    return job.startableCount;
  }

  /** Returns whether tasks of the job may be on a machine that is not reconciled. */
  mayRunUnreconciled(job: Job): boolean {
    if (!this.isFromPreviousTerm(job)) return false;
    if (!this.recovery) return this.unreconciledCount > 0;
    if (this.recovery.isFinished) return false;
    return this.recovery.mayRunUnreconciled(toPreviousTermJob(job), this.context.now.monotonic);
  }

  /** A start goes out. */
  onTaskStarted(placement: Placement): void {
    this.recovery?.onTaskStarted(this.context.now.monotonic);
    const release = placement.job.locatedTasks.takeRelease(placement.index);
    if (release) this.logRestart(placement, release);
  }

  /** Says why a task that an earlier leader began was held to be on no machine; of very many restarts not each. */
  private logRestart({ job, index, machine, attempt }: Placement, release: TaskRelease): void {
    this.restarts += 1;
    if (this.restarts > MAX_RESTARTS_LOGGED && this.restarts % RESTARTS_PER_LATER_LINE !== 0) return;
    this.context.log('task started again', {
      task: taskKey(job.id, index),
      machine: machine.id,
      attempt,
      evidence: job.locatedTasks.has(index) ? release.reason : 'noFeasibleMachine',
      earlierMachine: release.machine,
      earlierAttempt: release.attempt,
      restarts: this.restarts,
    });
  }

  /** Returns what has been found so far; null where the feature is off. */
  summary(): RecoverySummary | null {
    return this.recovery?.summary() ?? null;
  }

  // ---- orphans

  /** A worker has a task of a job that isn't known: its record is to be looked up, once. */
  suspectOrphan(job: JobId, { id }: Machine): void {
    const isNew = this.recovery?.onUnknownJobReported(job, id, this.context.now.monotonic);
    if (isNew) this.recordsToLookUp.push(job);
  }

  /** Returns the jobs whose records are to be looked up, each once. */
  takeRecordsToLookUp(): JobId[] {
    const jobs = this.recordsToLookUp;
    this.recordsToLookUp = [];
    return jobs;
  }

  /** A job's record was looked up. */
  onRecordLookedUp(job: JobId, result: RecordLookupResult): void {
    if (!this.recovery?.onRecordLookedUp(job, result)) return;
    this.context.log('task of a job not on record', { job });
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
