/** One job in the leader's state: its spec, its state, and which of its tasks are done, placed or pending. */
import type { JobRecord, JobState } from '../records.js';
import type { JobId, JobSpec, MonotonicTime, Revision, WallClockTime, ZoneName } from '../types.js';
import { FailureHistory } from './failure_history.js';
import { LocatedTasks } from './located_tasks.js';
import { RangeSet } from './range_set.js';
import { Retries } from './retries.js';
import { SchedulingHistory } from './scheduling_history.js';
import { StoredJobState } from './stored_job_state.js';
import { WaitWithRoom } from './wait_with_room.js';

/** How soon a job's record has to be written. `immediate` means that something else has to wait for the write. */
type WriteUrgency = 'none' | 'deferrable' | 'immediate';

/** A job as the leader sees it. `stored` holds what outlives the leader's term. Each leader rebuilds the rest. */
export class Job {
  readonly spec: JobSpec;
  readonly submittedAt: WallClockTime;
  /** The job's record as the state store is known to hold it. */
  readonly stored: StoredJobState;
  /** When the job may be started again after failures. */
  readonly retries = new Retries();
  /** How the job's tasks have failed, and whether the job itself is at fault. */
  readonly failureHistory = new FailureHistory();
  /** How often the job was migrated and preempted others, and whether its run time was estimated wrongly. */
  readonly schedulingHistory = new SchedulingHistory();
  /** For how long the job has been waiting although there was room for it. */
  readonly waitWithRoom = new WaitWithRoom();
  /** Which tasks have been located after a failover, and how their attempts ended. */
  readonly locatedTasks = new LocatedTasks();
  /** Tasks that are known to be complete, whether or not their completion is durable. */
  readonly doneTasks: RangeSet;

  private currentState: JobState;
  private firstStartTerm: number;
  private firstStartZone: ZoneName | null;
  private possibleStartZones: Set<ZoneName> | null = null;
  private isGangBroken = false;
  /** Number of machines that report each task as an unexpected task (state/unexpected_tasks.ts). Zeros are omitted. */
  private readonly unexpectedTasks = new Map<number, number>();
  private readonly placedTasks = new Set<number>();
  private replicaWaitingSince: MonotonicTime | null = null;
  private lastActiveAt = 0 as MonotonicTime;
  /** Every task with a lower index is done or placed. */
  private firstPossiblyPending = 0;

  constructor(record: JobRecord, version: Revision) {
    this.spec = record.spec;
    this.submittedAt = record.submittedAt;
    this.stored = new StoredJobState(record, version);
    this.currentState = record.state;
    this.firstStartTerm = record.startTerm;
    this.firstStartZone = record.startZone;
    this.doneTasks = RangeSet.from(record.done.pairs());
    if (this.doneTasks.count > 0) this.failureHistory.recordSuccess();
  }

  get id(): JobId {
    return this.spec.id;
  }

  /** Whether the job's tasks run all at the same time or not at all. */
  get isGang(): boolean {
    return this.spec.kind === 'gang';
  }

  /** Whether the job's replicas run until the job is cancelled. */
  get isService(): boolean {
    return this.spec.kind === 'service';
  }

  // ---- state

  /** The job's state as known to this leader. The stored record may lag behind. */
  get state(): JobState {
    return this.currentState;
  }

  /** Applies the job's stored record unless a newer one is known. */
  merge(record: JobRecord, version: Revision): void {
    if (!this.stored.applyRecord(record, version)) return;
    if (record.startTerm > 0 && this.firstStartTerm === 0) {
      this.firstStartTerm = record.startTerm;
      this.firstStartZone = record.startZone;
    }
    if (record.state !== 'accepted') this.currentState = record.state;
    this.doneTasks.addAll(record.done);
    if (this.doneTasks.count > 0) this.failureHistory.recordSuccess();
  }

  /** Cancels the job. Returns false, and changes nothing, if the job has ended. */
  cancel(): boolean {
    if (this.currentState !== 'accepted') return false;
    this.currentState = 'cancelled';
    return true;
  }

  /** Marks a task as complete. If the job is a gang, marks all of its tasks. */
  markDone(index: number): void {
    // A replica that exits has to run again, regardless of its exit reason.
    if (this.isService) return;
    if (this.isGang) for (let task = 0; task < this.spec.taskCount; task++) this.doneTasks.add(task);
    else this.doneTasks.add(index);
    this.failureHistory.recordSuccess();
    if (this.doneTasks.count >= this.spec.taskCount && this.currentState === 'accepted') this.currentState = 'done';
  }

  /** Returns whether the task is known to be complete. */
  isDone(index: number): boolean {
    return this.doneTasks.has(index);
  }

  /** Returns whether the task may be started again: the job is still accepted and the task is not complete. */
  mayStartAgain(index: number): boolean {
    return this.currentState === 'accepted' && !this.isDone(index);
  }

  /** How soon the job's record has to be written. */
  get writeUrgency(): WriteUrgency {
    if (this.stored.state !== 'accepted') return 'none';
    const isStartUnstored = this.firstStartTerm !== this.stored.startTerm || this.hasUnstoredStartZone;
    if (this.currentState === 'done' || isStartUnstored) return 'immediate';
    return this.doneTasks.count > this.stored.doneTasks.count ? 'deferrable' : 'none';
  }

  /** Whether the job has ended, none of its tasks is placed and no write of its record is due. */
  get isSettled(): boolean {
    return this.currentState !== 'accepted' && this.placedTasks.size === 0 && this.writeUrgency === 'none';
  }

  // ---- starts

  /** The term in which the job's first start was allowed. 0 before the first start. */
  get startTerm(): number {
    return this.firstStartTerm;
  }

  /** The zone of the job's first start. Null before the first start. */
  get startZone(): ZoneName | null {
    return this.firstStartZone;
  }

  /** Zones in which the job may have been started, by this leader or a previous one. Null if any zone is possible. */
  get startZones(): ReadonlySet<ZoneName> | null {
    return this.possibleStartZones;
  }

  /**
   * Restores the start zones from the job's record. They are trusted and extended from then on. Null means that the job
   * may have been started in any zone.
   */
  restoreStartZones(zones: readonly ZoneName[] | null): void {
    this.possibleStartZones = zones && new Set(zones);
    this.stored.restoreStartZones(zones);
  }

  /** Records that the job's first start is allowed. `recordsZones` says whether the zones of its starts are stored. */
  recordFirstStart(term: number, zone: ZoneName, recordsZones: boolean): void {
    this.firstStartTerm = term;
    this.firstStartZone = zone;
    this.possibleStartZones = recordsZones ? new Set() : null;
  }

  /** Records that a task of the job is to be started in the zone. */
  recordStartZone(zone: ZoneName): void {
    this.possibleStartZones?.add(zone);
  }

  /**
   * Returns whether the state store is known to hold the job's first start and, if the job's start zones are stored,
   * this zone among them.
   */
  isStartDurable(zone: ZoneName): boolean {
    return this.stored.startTerm > 0 && (this.possibleStartZones === null || this.stored.startZones.has(zone));
  }

  private get hasUnstoredStartZone(): boolean {
    return this.possibleStartZones !== null && this.possibleStartZones.size > this.stored.startZones.size;
  }

  // ---- placed tasks

  /** Number of the job's tasks that have placements: those that are, may be or are about to be on machines. */
  get placedCount(): number {
    return this.placedTasks.size;
  }

  /** Called when a placement of the task is added. */
  onTaskPlaced(index: number): void {
    this.placedTasks.add(index);
  }

  /** Called when the placement of the task is removed. */
  onTaskReleased(index: number, now: MonotonicTime): void {
    this.placedTasks.delete(index);
    if (this.placedTasks.size === 0) this.lastActiveAt = now;
    if (index < this.firstPossiblyPending) this.firstPossiblyPending = index;
  }

  /**
   * Since when the job has had no placement. If it has had none in this term, the time when the job became known here.
   */
  get inactiveSince(): MonotonicTime {
    return this.lastActiveAt;
  }

  /** Sets `inactiveSince` when the job becomes known here. Until then the job counts as active. */
  resetInactiveSince(now: MonotonicTime): void {
    this.lastActiveAt = now;
  }

  /** Whether the current attempt of the gang cannot complete any more, so that all of its tasks have to be evicted. */
  get gangBroken(): boolean {
    return this.isGangBroken;
  }

  /** Records that the gang's current attempt cannot complete, because a task is lost or all tasks are being evicted. */
  markGangBroken(): void {
    this.isGangBroken = true;
  }

  /** Called when the last task of the broken attempt has been released, so that a new attempt may begin. */
  clearGangBroken(): void {
    this.isGangBroken = false;
  }

  // ---- pending tasks

  /** Number of tasks that need a placement. For a gang, either all of its tasks or 0. */
  get pendingCount(): number {
    if (this.currentState !== 'accepted') return 0;
    if (this.isGang) return this.placedTasks.size === 0 && this.doneTasks.count === 0 ? this.spec.taskCount : 0;
    return this.spec.taskCount - this.doneTasks.count - this.placedTasks.size;
  }

  /** Number of tasks that need a placement and may get one now. */
  get startableCount(): number {
    const pending = this.pendingCount;
    const { mayHaveUnlocatedTasks } = this.locatedTasks;
    if (pending === 0 || (!mayHaveUnlocatedTasks && this.unexpectedTasks.size === 0)) return pending;
    if (this.isGang) return 0;
    if (mayHaveUnlocatedTasks) return this.locatedPendingCount;
    return pending - [...this.unexpectedTasks.keys()].filter((index) => this.isPending(index)).length;
  }

  /** Returns the indices of up to `limit` tasks that need a placement and may get one, in ascending order. */
  pendingTasks(limit: number): number[] {
    const found: number[] = [];
    for (let index = this.firstPossiblyPending; index < this.spec.taskCount && found.length < limit; index++) {
      if (this.isStartable(index)) found.push(index);
      else if (found.length === 0 && !this.isPending(index)) this.advanceFirstPossiblyPending(index);
    }
    return found;
  }

  private isPending(index: number): boolean {
    return !this.placedTasks.has(index) && !this.doneTasks.has(index);
  }

  private isStartable(index: number): boolean {
    if (!this.isPending(index) || this.unexpectedTasks.has(index)) return false;
    return !this.locatedTasks.mayHaveUnlocatedTasks || this.locatedTasks.has(index);
  }

  private advanceFirstPossiblyPending(index: number): void {
    if (index === this.firstPossiblyPending) this.firstPossiblyPending = index + 1;
  }

  /** Since when replicas of the service have been waiting for a placement. Null if none is waiting. */
  get replicaPendingSince(): MonotonicTime | null {
    return this.replicaWaitingSince;
  }

  /** Records that a replica is waiting for a placement. Keeps the time if one was waiting already. */
  beginReplicaWait(now: MonotonicTime): void {
    this.replicaWaitingSince ??= now;
  }

  /** Records that no replica is waiting any more. */
  endReplicaWait(): void {
    this.replicaWaitingSince = null;
  }

  // ---- after a failover

  /** Returns how many tasks that have not been located may be on unreconciled machines of the zone. */
  unlocatedCountIn(zone: ZoneName): number {
    return this.locatedTasks.mayHaveUnlocatedTaskIn(zone) ? this.unaccountedCount : 0;
  }

  /** Number of tasks that this leader cannot account for, because they are neither done nor located. */
  get unaccountedCount(): number {
    if (this.isGang && this.doneTasks.count > 0) return 0;
    if (this.isGang) return this.spec.taskCount - this.locatedTasks.count;
    return this.spec.taskCount - this.doneTasks.count - this.placedTasks.size - this.locatedPendingCount;
  }

  /** Number of tasks that were located in this term and need a placement again. */
  private get locatedPendingCount(): number {
    let count = 0;
    for (const index of this.locatedTasks.indices())
      if (this.isPending(index) && !this.unexpectedTasks.has(index)) count += 1;
    return count;
  }

  /**
   * Adds or removes one machine on which the task is an unexpected task. While there is any, the task is not started
   * anywhere.
   */
  countUnexpectedTask(index: number, change: 1 | -1): void {
    const machines = (this.unexpectedTasks.get(index) ?? 0) + change;
    if (machines > 0) this.unexpectedTasks.set(index, machines);
    else this.unexpectedTasks.delete(index);
  }

  /** Whether the job itself, rather than the machines on which it failed, is likely at fault. */
  get isFaulty(): boolean {
    return this.failureHistory.isFaulty;
  }
}
