import type { JobId, MachineId, MonotonicTime } from '../core/types.js';
import { OrphanTracker } from './orphan_tracker.js';
import { type RecoverySummary, zeroReconciledByCounts, zeroTaskCounts } from './summary.js';
import { type TeamExposure, teamExposure } from './team_exposure.js';
import type { PreviousTermJob, ReconciledBy, TaskClass, UnreconciledMachine } from './types.js';
import { type Capacity, UnreconciledMachines } from './unreconciled_machines.js';

export interface RecoveryInit {
  readonly term: number;
  /** When this node took the lead. */
  readonly now: MonotonicTime;
}

/**
 * What a leader knows and doesn't know of what earlier ones left, from taking the lead on. It makes no calls and reads no
 * clock: what is stored, reported and read is told to it, and it says what each task is, and what must wait for whom.
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
  private loaded = false;
  private finishedAt: MonotonicTime | null = null;
  private firstStartAt: MonotonicTime | null = null;

  constructor(private readonly init: RecoveryInit) {}

  // ---- what was stored

  /** A machine is on record, and its list has yet to come. */
  addMachine(machine: UnreconciledMachine): void {
    this.unreconciled.add(machine);
    this.machines += 1;
  }

  /** A page of the registry can't be read in full: what is on it may run until then without being known. */
  onUnreadablePage(leasesEndAt: MonotonicTime): void {
    this.unreadableRecords += 1;
    this.unreconciled.setMayHaveUnregisteredUntil(leasesEndAt);
  }

  onUnreadableJob(): void {
    this.unreadableRecords += 1;
  }

  /** Everything that is on record has been told. */
  onLoaded(): void {
    this.loaded = true;
  }

  // ---- machines

  /** What is on the machine is certain from now on. */
  onMachineReconciled(machine: MachineId, how: ReconciledBy): void {
    if (this.unreconciled.remove(machine)) this.reconciledBy[how] += 1;
  }

  onUnregisteredMachine(): void {
    this.unregisteredMachines += 1;
  }

  get unreconciledMachines(): number {
    return this.unreconciled.count;
  }

  isReconciled(now: MonotonicTime): boolean {
    return this.loaded && this.unreconciled.isEmpty(now);
  }

  // ---- jobs

  /** Whether a task of the job that was not found may yet be on a machine that has told nothing. */
  mayRunUnseen(job: PreviousTermJob, now: MonotonicTime): boolean {
    if (job.startTerm <= 0 || job.startTerm >= this.init.term || job.unaccountedTasks <= 0) return false;
    return this.unreconciled.isFeasible(job, now);
  }

  /** What uncertain machines have; null: there may be others. */
  unreconciledCapacity(now: MonotonicTime): Capacity | null {
    return this.unreconciled.capacity(now);
  }

  /** What each team may have running unseen, of these jobs; null where there is no telling. */
  teamExposure(jobs: Iterable<PreviousTermJob>, now: MonotonicTime): TeamExposure | null {
    const capacity = this.unreconciled.capacity(now);
    if (capacity === null || this.unreadableRecords > 0) return null;
    return teamExposure(jobs, this.unreconciled, (job) => this.mayRunUnseen(job, now), capacity);
  }

  // ---- tasks

  /** A reported task was found to be this; told once of each. */
  countTask(taskClass: TaskClass): void {
    this.tasks[taskClass] += 1;
  }

  /** A task of a job that isn't known is reported. Returns whether the job's record is to be read. */
  onUnknownJobReported(job: JobId, machine: MachineId, now: MonotonicTime): boolean {
    return this.orphans.onReported(job, machine, now);
  }

  /** `exists`: whether the store holds a record; null: it didn't say. Returns whether it is news that there is none. */
  onRecordLookedUp(job: JobId, exists: boolean | null): boolean {
    return this.orphans.onLookedUp(job, exists);
  }

  onRecorded(job: JobId): void {
    this.orphans.onRecorded(job);
  }

  isOrphan(job: JobId): boolean {
    return this.orphans.isConfirmed(job);
  }

  onTaskStarted(now: MonotonicTime): void {
    this.firstStartAt ??= now;
  }

  recordBacklogLength(length: number): void {
    this.longestBacklog = Math.max(this.longestBacklog, length);
  }

  // ---- the end

  /**
   * Whether recovery has just ended: nothing is uncertain any more. `countMissing` counts the tasks of jobs begun earlier that
   * were found nowhere.
   */
  finish(now: MonotonicTime, countMissing: () => number): boolean {
    if (this.finishedAt !== null || !this.isReconciled(now)) return false;
    this.finishedAt = now;
    this.missingTasks = countMissing();
    return true;
  }

  get isFinished(): boolean {
    return this.finishedAt !== null;
  }

  summary(): RecoverySummary {
    return {
      term: this.init.term,
      startedAt: this.init.now,
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
      orphans: this.orphans.list(),
    };
  }
}
