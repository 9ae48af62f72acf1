/** Tracks what a leader knows, from its election on, about the state that previous terms left. */
import type { JobId, MachineId, MonotonicTime, ZoneName } from '../core/types.js';
import { OrphanTracker } from './orphan_tracker.js';
import { type RecoverySummary, zeroReconciledByCounts, zeroTaskCounts } from './summary.js';
import { type TeamExposure, teamExposure } from './team_exposure.js';
import type { PreviousTermJob, ReconciledBy, RecordLookupResult, TaskClass, UnreconciledMachine } from './types.js';
import { type Capacity, UnreconciledMachines } from './unreconciled_machines.js';

export interface RecoveryInit {
  /** The term of this leader. */
  readonly term: number;
  /** When this controller was elected. */
  readonly electedAt: MonotonicTime;
}

/**
 * The recovery of one leader. It makes no calls and reads no clock. Its callers pass in what is stored, reported and
 * looked up. It determines which jobs have to wait for which machines, and it summarizes what was found.
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

  // ---- stored state

  /** Adds a machine that is in the stored registry and has yet to be reconciled. */
  addMachine(machine: UnreconciledMachine): void {
    this.unreconciled.add(machine);
    this.machines += 1;
  }

  /**
   * Records that a page of the machine registry cannot be read completely. Machines on it may run unknown tasks until
   * their leases have expired.
   */
  onUnreadablePage(leasesEndAt: MonotonicTime): void {
    this.unreadableRecords += 1;
    this.unreconciled.setMayHaveUnregisteredUntil(leasesEndAt);
  }

  /**
   * Records that the lease of a machine of an unknown type is renewed. Its tasks cannot be tracked, and may run until
   * the lease has expired.
   */
  onUntrackedLeaseRenewed(leaseEndsAt: MonotonicTime): void {
    this.unreconciled.setMayHaveUnregisteredUntil(leaseEndsAt);
  }

  /** Records that a job's record cannot be read. */
  onUnreadableJob(): void {
    this.unreadableRecords += 1;
  }

  /** Records that all stored records have been added. */
  onLoaded(): void {
    this.loaded = true;
  }

  // ---- machines

  /** Records that all tasks on the machine are now known. Has no effect if the machine was reconciled before. */
  onMachineReconciled(machine: MachineId, how: ReconciledBy): void {
    if (this.unreconciled.remove(machine)) this.reconciledBy[how] += 1;
  }

  /** Counts a machine that was found although it is not in the stored registry. */
  onUnregisteredMachine(): void {
    this.unregisteredMachines += 1;
  }

  /** The number of machines in the stored registry that have yet to be reconciled. */
  get unreconciledMachines(): number {
    return this.unreconciled.count;
  }

  /** Returns whether the stored state is loaded and the tasks on every machine are known. */
  isReconciled(now: MonotonicTime): boolean {
    return this.loaded && this.unreconciled.isEmpty(now);
  }

  // ---- jobs

  /** Returns whether a task of the job that has not been found may be on an unreconciled machine. */
  mayRunOnUnreconciledMachine(job: PreviousTermJob, now: MonotonicTime): boolean {
    return this.hasUnlocatedTasks(job) && this.unreconciled.isFeasible(job, now);
  }

  private hasUnlocatedTasks({ startTerm, unaccountedCount }: PreviousTermJob): boolean {
    return startTerm > 0 && startTerm < this.init.term && unaccountedCount > 0;
  }

  /**
   * Returns the zones in which tasks of the job that have not been found may be. Empty if there are no such tasks, null
   * if they may be in any zone.
   */
  zonesOfUnlocatedTasks(job: PreviousTermJob, now: MonotonicTime): ReadonlySet<ZoneName> | null {
    return this.hasUnlocatedTasks(job) ? this.unreconciled.feasibleZones(job, now) : new Set();
  }

  /** Returns the capacity of the unreconciled machines, or null if there may be unregistered machines too. */
  unreconciledCapacity(now: MonotonicTime): Capacity | null {
    return this.unreconciled.capacity(now);
  }

  /**
   * Returns the resources that each team's tasks of these jobs may use on unreconciled machines, or null if that cannot
   * be determined.
   */
  teamExposure(jobs: Iterable<PreviousTermJob>, now: MonotonicTime): TeamExposure | null {
    const capacity = this.unreconciled.capacity(now);
    if (capacity === null || this.unreadableRecords > 0) return null;
    return teamExposure(jobs, this.unreconciled, (job) => this.mayRunOnUnreconciledMachine(job, now), capacity);
  }

  // ---- tasks

  /** Counts a reported task by its class. Called once for each task. */
  countTask(taskClass: TaskClass): void {
    this.tasks[taskClass] += 1;
  }

  /** Records that a task of an unknown job was reported. Returns whether the job's record has to be looked up now. */
  onUnknownJobReported(job: JobId, machine: MachineId, now: MonotonicTime): boolean {
    return this.orphans.onReported(job, machine, now);
  }

  /**
   * Records the result of the lookup of an unknown job's record. Returns whether it confirms for the first time that
   * the record does not exist.
   */
  onRecordLookedUp(job: JobId, result: RecordLookupResult): boolean {
    return this.orphans.onLookedUp(job, result);
  }

  /** Records that the job's record has been found, so that the job is no orphan. */
  onRecordFound(job: JobId): void {
    this.orphans.onRecordFound(job);
  }

  /** Returns whether the state store has confirmed that the job has no record. */
  isOrphan(job: JobId): boolean {
    return this.orphans.isConfirmed(job);
  }

  /** Records that a start command is sent. */
  onTaskStarted(now: MonotonicTime): void {
    this.firstStartAt ??= now;
  }

  /** Records how many heartbeats are waiting in the backlog. */
  recordBacklogLength(length: number): void {
    this.longestBacklog = Math.max(this.longestBacklog, length);
  }

  /** Counts a status without this leader's fencing token that was ignored because it may be outdated. */
  countOutdatedStatus(): void {
    this.outdatedStatuses += 1;
  }

  // ---- completion

  /**
   * Returns whether recovery has just finished because all machines are reconciled now. `countMissing` counts the tasks
   * of jobs first started in previous terms that were not found on any machine.
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

  /** Returns a summary of what has been found so far. */
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
