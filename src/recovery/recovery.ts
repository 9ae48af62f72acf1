import type { JobId, MachineId, MonotonicTime } from '../core/types.js';
import { Orphans } from './orphans.js';
import { noMachines, noTasks, type RecoverySummary } from './summary.js';
import { type TeamExposure, teamExposure } from './team_exposure.js';
import type { Certainty, EarlierJob, TaskClass, UncertainMachine } from './types.js';
import { type Capacity, UncertainMachines } from './uncertain_machines.js';

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
  private readonly uncertain = new UncertainMachines();
  private readonly orphans = new Orphans();
  private readonly certainty = noMachines();
  private readonly tasks = noTasks();
  private machines = 0;
  private unlistedMachines = 0;
  private unreadableRecords = 0;
  private notFound = 0;
  private longestBacklog = 0;
  private loaded = false;
  private finishedAt: MonotonicTime | null = null;
  private firstStartAt: MonotonicTime | null = null;

  constructor(private readonly init: RecoveryInit) {}

  // ---- what was stored

  /** A machine is on record, and its list has yet to come. */
  addMachine(machine: UncertainMachine): void {
    this.uncertain.add(machine);
    this.machines += 1;
  }

  /** A page of the registry can't be read in full: what is on it may run until then without being known. */
  onUnreadablePage(leasesEndAt: MonotonicTime): void {
    this.unreadableRecords += 1;
    this.uncertain.noteUnlisted(leasesEndAt);
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
  onCertain(machine: MachineId, how: Certainty): void {
    if (this.uncertain.remove(machine)) this.certainty[how] += 1;
  }

  onUnlistedMachine(): void {
    this.unlistedMachines += 1;
  }

  get uncertainMachines(): number {
    return this.uncertain.count;
  }

  isCertain(now: MonotonicTime): boolean {
    return this.loaded && this.uncertain.isEmpty(now);
  }

  // ---- jobs

  /** Whether a task of the job that was not found may yet be on a machine that has told nothing. */
  mayRunUnseen(job: EarlierJob, now: MonotonicTime): boolean {
    if (job.startTerm <= 0 || job.startTerm >= this.init.term || job.unaccounted <= 0) return false;
    return this.uncertain.couldHold(job, now);
  }

  /** What uncertain machines have; null: there may be others. */
  uncertainCapacity(now: MonotonicTime): Capacity | null {
    return this.uncertain.capacity(now);
  }

  /** What each team may have running unseen, of these jobs; null where there is no telling. */
  teamExposure(jobs: Iterable<EarlierJob>, now: MonotonicTime): TeamExposure | null {
    const capacity = this.uncertain.capacity(now);
    if (capacity === null || this.unreadableRecords > 0) return null;
    return teamExposure(jobs, this.uncertain, (job) => this.mayRunUnseen(job, now), capacity);
  }

  // ---- tasks

  /** A reported task was found to be this; told once of each. */
  count(taskClass: TaskClass): void {
    this.tasks[taskClass] += 1;
  }

  /** A task of a job that isn't known is reported. Returns whether the job's record is to be read. */
  onUnknownJob(job: JobId, machine: MachineId, now: MonotonicTime): boolean {
    return this.orphans.onReported(job, machine, now);
  }

  /** `exists`: whether the store holds a record; null: it didn't say. Returns whether it is news that there is none. */
  onRecordRead(job: JobId, exists: boolean | null): boolean {
    return this.orphans.onRead(job, exists);
  }

  onRecorded(job: JobId): void {
    this.orphans.onRecorded(job);
  }

  isOrphan(job: JobId): boolean {
    return this.orphans.isConfirmed(job);
  }

  onStart(now: MonotonicTime): void {
    this.firstStartAt ??= now;
  }

  noteBacklog(length: number): void {
    this.longestBacklog = Math.max(this.longestBacklog, length);
  }

  // ---- the end

  /**
   * Whether recovery has just ended: nothing is uncertain any more. `countMissing` counts the tasks of jobs begun earlier that
   * were found nowhere.
   */
  finish(now: MonotonicTime, countMissing: () => number): boolean {
    if (this.finishedAt !== null || !this.isCertain(now)) return false;
    this.finishedAt = now;
    this.notFound = countMissing();
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
      uncertainMachines: this.uncertain.count,
      certainty: { ...this.certainty },
      unlistedMachines: this.unlistedMachines,
      tasks: { ...this.tasks },
      notFound: this.notFound,
      unreadableRecords: this.unreadableRecords,
      longestBacklog: this.longestBacklog,
      orphans: this.orphans.list(),
    };
  }
}
