/** One job as the leader holds it: its description, its state, and which of its tasks are done, placed or waiting. */
import type { JobRecord, JobState } from '../records.js';
import type { JobId, JobSpec, MonotonicTime, Revision, WallClockTime, ZoneName } from '../types.js';
import { FailureHistory } from './failure_history.js';
import { LocatedTasks } from './located_tasks.js';
import { RangeSet } from './range_set.js';
import { Retries } from './retries.js';
import { SchedulingHistory } from './scheduling_history.js';
import { StoredJobState } from './stored_job_state.js';

/** How soon a job's record has to be written: `immediate` where something else can't happen before. */
type WriteUrgency = 'none' | 'deferrable' | 'immediate';

/** A job of the leader. What lasts beyond its term is in `stored`; the rest is learned anew by each leader. */
export class Job {
  readonly spec: JobSpec;
  readonly submittedAt: WallClockTime;
  /** What the state store is known to hold of it. */
  readonly stored: StoredJobState;
  /** From when on it may be started again after failures. */
  readonly retries = new Retries();
  /** How its tasks have failed, and whether it is itself at fault. */
  readonly failureHistory = new FailureHistory();
  /** How often it was moved or preempted others, and whether its run times were estimated wrongly. */
  readonly schedulingHistory = new SchedulingHistory();
  /** Which tasks were found after a failover, and how they ended. */
  readonly locatedTasks = new LocatedTasks();
  /** What is known to be complete, durable or not. */
  readonly doneTasks: RangeSet;

  private currentState: JobState;
  private firstStartTerm: number;
  private firstStartZone: ZoneName | null;
  private zonesOfStarts: Set<ZoneName> | null = null;
  private isGangBroken = false;
  private mayRunUnreconciled = false;
  /** Tasks that are also on a machine where they don't belong, and on how many. */
  private readonly unexpectedTasks = new Map<number, number>();
  private readonly placedTasks = new Set<number>();
  private waitingReplicaSince: MonotonicTime | null = null;
  private lastActiveAt = 0 as MonotonicTime;
  /** Every task below this number is done or has a place. */
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

  /** Whether its tasks run all at once or not at all. */
  get isGang(): boolean {
    return this.spec.kind === 'gang';
  }

  /** Whether its replicas run until it is cancelled. */
  get isService(): boolean {
    return this.spec.kind === 'service';
  }

  // ---- state

  /** Whether it is accepted, done or cancelled, as far as is known here: the record may lag behind. */
  get state(): JobState {
    return this.currentState;
  }

  /** Takes over what a newer record says. */
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

  /** Cancels the job. Returns false, and changes nothing, if it is over. */
  cancel(): boolean {
    if (this.currentState !== 'accepted') return false;
    this.currentState = 'cancelled';
    return true;
  }

  /** A task has completed; of a gang that means all of them. */
  markDone(index: number): void {
    // A replica that ends has to run again, whatever it says of itself.
    if (this.isService) return;
    if (this.isGang) for (let task = 0; task < this.spec.taskCount; task++) this.doneTasks.add(task);
    else this.doneTasks.add(index);
    this.failureHistory.recordSuccess();
    if (this.doneTasks.count >= this.spec.taskCount && this.currentState === 'accepted') this.currentState = 'done';
  }

  /** Whether the task is known to be complete. */
  isDone(index: number): boolean {
    return this.doneTasks.has(index);
  }

  /** Whether the task may yet be started: the job goes on, and the task is not complete. */
  mayStartAgain(index: number): boolean {
    return this.currentState === 'accepted' && !this.isDone(index);
  }

  /** How soon the record has to be written. */
  get writeUrgency(): WriteUrgency {
    if (this.stored.state !== 'accepted') return 'none';
    const isStartUnstored = this.firstStartTerm !== this.stored.startTerm || this.hasUnstoredStartZone;
    if (this.currentState === 'done' || isStartUnstored) return 'immediate';
    return this.doneTasks.count > this.stored.doneTasks.count ? 'deferrable' : 'none';
  }

  /** Whether nothing of it is left to write or to stop. */
  get isSettled(): boolean {
    return this.currentState !== 'accepted' && this.placedTasks.size === 0 && this.writeUrgency === 'none';
  }

  // ---- starts

  /** The term in which its first start was allowed; 0 before. */
  get startTerm(): number {
    return this.firstStartTerm;
  }

  /** The zone of its first start; null before. */
  get startZone(): ZoneName | null {
    return this.firstStartZone;
  }

  /** Zones in which it may have been started, this leader's starts included; null: any. */
  get startZones(): ReadonlySet<ZoneName> | null {
    return this.zonesOfStarts;
  }

  /** The zones of its record are to be believed, and kept up; null: it may have been started in any. */
  restoreStartZones(zones: readonly ZoneName[] | null): void {
    this.zonesOfStarts = zones && new Set(zones);
    this.stored.restoreStartZones(zones);
  }

  /** Its first start is allowed. `recordsZones`: the zones of its starts go on record. */
  recordFirstStart(term: number, zone: ZoneName, recordsZones: boolean): void {
    this.firstStartTerm = term;
    this.firstStartZone = zone;
    this.zonesOfStarts = recordsZones ? new Set() : null;
  }

  /** A task is to be started in the zone. */
  recordStartZone(zone: ZoneName): void {
    this.zonesOfStarts?.add(zone);
  }

  /** Whether the state store knows that it is started, and that it may be started in the zone. */
  isStartDurable(zone: ZoneName): boolean {
    return this.stored.startTerm > 0 && (this.zonesOfStarts === null || this.stored.startZones.has(zone));
  }

  private get hasUnstoredStartZone(): boolean {
    return this.zonesOfStarts !== null && this.zonesOfStarts.size > this.stored.startZones.size;
  }

  // ---- placed tasks

  /** How many of its tasks are, or may be, or are about to be on machines. */
  get placedCount(): number {
    return this.placedTasks.size;
  }

  /** A task has got a place on a machine. */
  onTaskPlaced(index: number): void {
    this.placedTasks.add(index);
  }

  /** A task has lost its place. */
  onTaskReleased(index: number, now: MonotonicTime): void {
    this.placedTasks.delete(index);
    if (this.placedTasks.size === 0) this.lastActiveAt = now;
    if (index < this.firstPossiblyPending) this.firstPossiblyPending = index;
  }

  /** Since when nothing of it has been on any machine, or it is known here. */
  get inactiveSince(): MonotonicTime {
    return this.lastActiveAt;
  }

  /** The job becomes known here: until then it counts as active. */
  resetInactiveSince(now: MonotonicTime): void {
    this.lastActiveAt = now;
  }

  /** Whether a gang's present attempt can't complete any more: all of it has to leave. */
  get gangBroken(): boolean {
    return this.isGangBroken;
  }

  /** A task of the gang is lost. */
  markGangBroken(): void {
    this.isGangBroken = true;
  }

  /** The last task of the broken attempt has left: a new attempt may begin. */
  clearGangBroken(): void {
    this.isGangBroken = false;
  }

  // ---- waiting tasks

  /** How many tasks wait for a place; of a gang all or none. */
  get pendingCount(): number {
    if (this.currentState !== 'accepted') return 0;
    if (this.isGang) return this.placedTasks.size === 0 && this.doneTasks.count === 0 ? this.spec.taskCount : 0;
    return this.spec.taskCount - this.doneTasks.count - this.placedTasks.size;
  }

  /** How many tasks wait for a place and may be given one now. */
  get startableCount(): number {
    const pending = this.pendingCount;
    if (pending === 0 || (!this.mayRunUnreconciled && this.unexpectedTasks.size === 0)) return pending;
    if (this.isGang) return 0;
    if (this.mayRunUnreconciled) return this.locatedPendingCount;
    return pending - [...this.unexpectedTasks.keys()].filter((index) => this.isPending(index)).length;
  }

  /** Returns up to `limit` task numbers that wait for a place and may be given one, lowest first. */
  pendingTasks(limit: number): number[] {
    const found: number[] = [];
    for (let index = this.firstPossiblyPending; index < this.spec.taskCount && found.length < limit; index++) {
      if (this.isStartable(index)) found.push(index);
      else if (found.length === 0 && !this.isPending(index)) this.skipNotPending(index);
    }
    return found;
  }

  private isPending(index: number): boolean {
    return !this.placedTasks.has(index) && !this.doneTasks.has(index);
  }

  private isStartable(index: number): boolean {
    if (!this.isPending(index) || this.unexpectedTasks.has(index)) return false;
    return !this.mayRunUnreconciled || this.locatedTasks.has(index);
  }

  private skipNotPending(index: number): void {
    if (index === this.firstPossiblyPending) this.firstPossiblyPending = index + 1;
  }

  /** Of a service: since when a replica has waited for a place; null: none waits. */
  get replicaPendingSince(): MonotonicTime | null {
    return this.waitingReplicaSince;
  }

  /** A replica waits for a place. */
  beginReplicaWait(now: MonotonicTime): void {
    this.waitingReplicaSince ??= now;
  }

  /** No replica waits any more. */
  endReplicaWait(): void {
    this.waitingReplicaSince = null;
  }

  // ---- after a failover

  /** While tasks of it may be on unreconciled machines, only located tasks may be started. */
  setMayRunUnreconciled(mayRun: boolean): void {
    this.mayRunUnreconciled = mayRun;
  }

  /** How many tasks of which this leader knows nothing: neither done nor located. */
  get unaccountedCount(): number {
    if (this.isGang && this.doneTasks.count > 0) return 0;
    if (this.isGang) return this.spec.taskCount - this.locatedTasks.count;
    return this.spec.taskCount - this.doneTasks.count - this.placedTasks.size - this.locatedPendingCount;
  }

  /** How many tasks were located in this term and wait for a place again. */
  private get locatedPendingCount(): number {
    let count = 0;
    for (const index of this.locatedTasks.indices())
      if (this.isPending(index) && !this.unexpectedTasks.has(index)) count += 1;
    return count;
  }

  /** The task is on one machine more, or fewer, where it doesn't belong: while it is on any, it is started nowhere. */
  countUnexpectedTask(index: number, change: 1 | -1): void {
    const machines = (this.unexpectedTasks.get(index) ?? 0) + change;
    if (machines > 0) this.unexpectedTasks.set(index, machines);
    else this.unexpectedTasks.delete(index);
  }

  /** Whether it fails wherever it runs: then it is the job itself that is at fault. */
  get isFaulty(): boolean {
    return this.failureHistory.isFaulty;
  }
}
