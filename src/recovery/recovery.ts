/** What a leader knows and doesn't know of what previous terms left, from its election on. */
import type { JobId, MachineId, MonotonicTime } from '../core/types.js';
import { OrphanTracker } from './orphan_tracker.js';
import { type RecoverySummary, zeroReconciledByCounts, zeroTaskCounts } from './summary.js';
import { type TeamExposure, teamExposure } from './team_exposure.js';
import type { PreviousTermJob, ReconciledBy, RecordLookupResult, TaskClass, UnreconciledMachine } from './types.js';
import { type Capacity, UnreconciledMachines } from './unreconciled_machines.js';

/** What recovery begins with. */
export interface RecoveryInit {
  /** The term of this leader. */
  readonly term: number;
  /** When this controller was elected. */
  readonly electedAt: MonotonicTime;
}

/**
 * Makes no calls and reads no clock: what is stored, reported and looked up is told to it, and it says what must wait for which
 * machines, and what was found.
 */
export class Recovery {
  private readonly unreconciled = new UnreconciledMachines();
  private readonly orphans = new OrphanTracker();
  private readonly reconciledBy = zeroReconciledByCounts();
  private readonly tasks = zeroTaskCounts();
  private machines = 0;
  private unregisteredMachines = 0;
  private unreadableRecords = 0;
  private missingTasks = 0;
  private longestBacklog = 0;
  private outdatedStatuses = 0;
  private loaded = false;
  private finishedAt: MonotonicTime | null = null;
  private firstStartAt: MonotonicTime | null = null;

  constructor(private readonly init: RecoveryInit) {}

  // ---- what was stored

  /** A machine is on record, and has yet to be reconciled. */
  addMachine(machine: UnreconciledMachine): void {
    this.unreconciled.add(machine);
    this.machines += 1;
  }

  /** A page of the registry can't be read in full: machines on it may run tasks unknown until their leases have ended. */
  onUnreadablePage(leasesEndAt: MonotonicTime): void {
    this.unreadableRecords += 1;
    this.unreconciled.setMayHaveUnregisteredUntil(leasesEndAt);
  }

  /** A job's record can't be read. */
  onUnreadableJob(): void {
    this.unreadableRecords += 1;
  }

  /** Everything on record has been added. */
  onLoaded(): void {
    this.loaded = true;
  }

  // ---- machines

  /** What is on the machine is certain from now on. Without effect if it was before. */
  onMachineReconciled(machine: MachineId, how: ReconciledBy): void {
    if (this.unreconciled.remove(machine)) this.reconciledBy[how] += 1;
  }

  /** A machine was found that no record shows. */
  onUnregisteredMachine(): void {
    this.unregisteredMachines += 1;
  }

  /** How many machines on record have yet to be reconciled. */
  get unreconciledMachines(): number {
    return this.unreconciled.count;
  }

  /** Returns whether it is certain what is on every machine. */
  isReconciled(now: MonotonicTime): boolean {
    return this.loaded && this.unreconciled.isEmpty(now);
  }

  // ---- jobs

  /** Returns whether a task of the job that was not found may be on a machine that is not reconciled. */
  mayRunUnreconciled(job: PreviousTermJob, now: MonotonicTime): boolean {
    if (job.startTerm <= 0 || job.startTerm >= this.init.term || job.unaccountedCount <= 0) return false;
    return this.unreconciled.isFeasible(job, now);
  }

  /** Returns the capacity of machines that are not reconciled; null: there may be others. */
  unreconciledCapacity(now: MonotonicTime): Capacity | null {
    return this.unreconciled.capacity(now);
  }

  /** Returns what each team's tasks of these jobs may take on machines not reconciled; null: it can't be told. */
  teamExposure(jobs: Iterable<PreviousTermJob>, now: MonotonicTime): TeamExposure | null {
    const capacity = this.unreconciled.capacity(now);
    if (capacity === null || this.unreadableRecords > 0) return null;
    return teamExposure(jobs, this.unreconciled, (job) => this.mayRunUnreconciled(job, now), capacity);
  }

  // ---- tasks

  /** Counts a reported task by what it was found to be; called once for each. */
  countTask(taskClass: TaskClass): void {
    this.tasks[taskClass] += 1;
  }

  /** A task of a job that isn't known is reported. Returns whether the job's record is to be looked up now. */
  onUnknownJobReported(job: JobId, machine: MachineId, now: MonotonicTime): boolean {
    return this.orphans.onReported(job, machine, now);
  }

  /** The record of a job that wasn't known was looked up. Returns whether it is news that the record is absent. */
  onRecordLookedUp(job: JobId, result: RecordLookupResult): boolean {
    return this.orphans.onLookedUp(job, result);
  }

  /** The job's record has turned up: it is no orphan. */
  onRecorded(job: JobId): void {
    this.orphans.onRecorded(job);
  }

  /** Returns whether the state store has confirmed that the job has no record. */
  isOrphan(job: JobId): boolean {
    return this.orphans.isConfirmed(job);
  }

  /** A start goes out. */
  onTaskStarted(now: MonotonicTime): void {
    this.firstStartAt ??= now;
  }

  /** Notes how many heartbeats wait for their turn. */
  recordBacklogLength(length: number): void {
    this.longestBacklog = Math.max(this.longestBacklog, length);
  }

  /** A status was passed over: it may be older than a command of an earlier leader that is still on its way. */
  countOutdatedStatus(): void {
    this.outdatedStatuses += 1;
  }

  // ---- the end

  /**
   * Returns whether recovery has just ended, as all machines are reconciled now. `countMissing` counts the tasks of jobs begun
   * in previous terms that were found nowhere.
   */
  finish(now: MonotonicTime, countMissing: () => number): boolean {
    if (this.finishedAt !== null || !this.isReconciled(now)) return false;
    this.finishedAt = now;
    this.missingTasks = countMissing();
    return true;
  }

  /** Whether all machines have been reconciled. */
  get isFinished(): boolean {
    return this.finishedAt !== null;
  }

  /** Returns what has been found so far. */
  summary(): RecoverySummary {
    return {
      term: this.init.term,
      startedAt: this.init.electedAt,
      finishedAt: this.finishedAt,
      firstStartAt: this.firstStartAt,
      machines: this.machines,
      unreconciledMachines: this.unreconciled.count,
      reconciledBy: { ...this.reconciledBy },
      unregisteredMachines: this.unregisteredMachines,
      tasks: { ...this.tasks },
      missingTasks: this.missingTasks,
      unreadableRecords: this.unreadableRecords,
      longestBacklog: this.longestBacklog,
      outdatedStatuses: this.outdatedStatuses,
      orphans: this.orphans.list(),
    };
  }
}
