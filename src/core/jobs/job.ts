import type { JobRecord, JobState } from '../records.js';
import type { JobId, JobSpec, MachineId, MonotonicTime, Revision, WallClockTime, ZoneName } from '../types.js';
import { FailureHistory } from './failure_history.js';
import { RangeSet } from './range_set.js';

/** A job as the leader holds it: its record, and where its tasks are. */
export class Job {
  readonly spec: JobSpec;
  readonly submittedAt: WallClockTime;
  state: JobState;
  version: Revision;
  /** What the store is known to hold. */
  durableDoneTasks: RangeSet;
  durableState: JobState;
  durableStartTerm: number;
  /** The term in which its first start was allowed, 0 before. */
  startTerm: number;
  startZone: ZoneName | null;
  /** Zones in which it may have been started, this leader's starts included; null: any. */
  startZones: Set<ZoneName> | null = null;
  private durableStartZones: ReadonlySet<ZoneName> = new Set();
  /** While tasks of it may be on machines that have told nothing yet, only those in `located` may be started. */
  mayRunUnreconciled = false;
  /** Tasks that this leader has found on machines: wherever they are now, they are on no other. */
  readonly locatedTasks = new Set<number>();
  /** Tasks that are also on a machine where they don't belong, and on how many. */
  readonly unexpectedTasks = new Map<number, number>();
  /** What is known to be complete, durable or not. */
  readonly doneTasks: RangeSet;
  /** Tasks that are, or may be, or are about to be on a machine. */
  private readonly placedTasks = new Set<number>();
  /** A gang's present attempt can't complete any more: all of it has to leave. */
  gangBroken = false;
  writeInFlight = false;
  lastWriteAt = 0 as MonotonicTime;
  /** After failures: not started before this time. */
  notBefore = 0 as MonotonicTime;
  failureCount = 0;
  readonly failureHistory = new FailureHistory();
  /** Machines on which a task of it took far longer than expected. */
  readonly slowMachines = new Set<MachineId>();
  /** How often it was moved to machines that hold its image, and how often lower work was stopped for it. */
  migrationCount = 0;
  preemptionCount = 0;
  /** Of a service: replicas that ended soon after their start, one after the other. */
  shortRunCount = 0;
  lastShortRunAt = 0 as MonotonicTime;
  /** Of a service: since when a replica has waited for a place. */
  replicaPendingSince: MonotonicTime | null = null;
  /** Since when nothing of it has been on any machine, or it is known here. */
  inactiveSince = 0 as MonotonicTime;
  /** Every task below this number is done or has a place. */
  private firstPossiblyPending = 0;

  constructor(record: JobRecord, version: Revision) {
    this.spec = record.spec;
    this.submittedAt = record.submittedAt;
    this.version = version;
    this.state = record.state;
    this.durableState = record.state;
    this.durableDoneTasks = record.done;
    this.durableStartTerm = record.startTerm;
    this.startTerm = record.startTerm;
    this.startZone = record.startZone;
    this.doneTasks = RangeSet.from(record.done.pairs());
    if (this.doneTasks.count > 0) this.failureHistory.recordSuccess();
  }

  get id(): JobId {
    return this.spec.id;
  }

  get isGang(): boolean {
    return this.spec.kind === 'gang';
  }

  get isService(): boolean {
    return this.spec.kind === 'service';
  }

  /** Takes over what a newer record says. */
  merge(record: JobRecord, version: Revision): void {
    if (version < this.version) return;
    this.version = version;
    this.durableState = record.state;
    this.durableDoneTasks = record.done;
    this.durableStartTerm = record.startTerm;
    this.onStartZonesStored(record.startZones);
    if (record.startTerm > 0 && this.startTerm === 0) {
      this.startTerm = record.startTerm;
      this.startZone = record.startZone;
    }
    if (record.state !== 'accepted') this.state = record.state;
    this.doneTasks.addAll(record.done);
    if (this.doneTasks.count > 0) this.failureHistory.recordSuccess();
  }

  /** The zones of its record are to be believed, and kept up. */
  restoreStartZones(zones: readonly ZoneName[] | null): void {
    this.startZones = zones && new Set(zones);
    this.durableStartZones = new Set(zones);
  }

  /** Its first start is allowed. `keepsZones`: the zones of its starts go on record. */
  recordFirstStart(term: number, zone: ZoneName, keepsZones: boolean): void {
    this.startTerm = term;
    this.startZone = zone;
    this.startZones = keepsZones ? new Set() : null;
  }

  /** What a transaction has put on record. */
  onStartZonesStored(zones: readonly ZoneName[] | null): void {
    if (zones !== null) this.durableStartZones = new Set(zones);
  }

  /** Whether the store knows that it is started, and that it may be started in the zone. */
  isStartDurable(zone: ZoneName): boolean {
    return this.durableStartTerm > 0 && (this.startZones === null || this.durableStartZones.has(zone));
  }

  private get hasUnstoredStartZone(): boolean {
    return this.startZones !== null && this.startZones.size > this.durableStartZones.size;
  }

  /** How many tasks wait for a place; of a gang all or none. */
  get pendingCount(): number {
    if (this.state !== 'accepted') return 0;
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

  private isPending(index: number): boolean {
    return !this.placedTasks.has(index) && !this.doneTasks.has(index);
  }

  /** How many tasks were found in this term and wait for a place again. */
  get locatedPendingCount(): number {
    let count = 0;
    for (const index of this.locatedTasks) if (this.isPending(index) && !this.unexpectedTasks.has(index)) count += 1;
    return count;
  }

  /** Tasks of which nothing is known in this term: neither done nor found on any machine. */
  get unaccountedCount(): number {
    if (this.isGang && this.doneTasks.count > 0) return 0;
    if (this.isGang) return this.spec.taskCount - this.locatedTasks.size;
    return this.spec.taskCount - this.doneTasks.count - this.placedTasks.size - this.locatedPendingCount;
  }

  /** Whether the store lacks something that must be there before anything else can happen. */
  get writeUrgency(): 'no' | 'soon' | 'now' {
    if (this.durableState !== 'accepted') return 'no';
    if (this.state === 'done' || this.startTerm !== this.durableStartTerm || this.hasUnstoredStartZone) return 'now';
    return this.doneTasks.count > this.durableDoneTasks.count ? 'soon' : 'no';
  }

  /** Nothing of it is left to write or to stop. */
  get isSettled(): boolean {
    return this.state !== 'accepted' && this.placedTasks.size === 0 && this.writeUrgency === 'no';
  }

  isDone(index: number): boolean {
    return this.doneTasks.has(index);
  }

  /** Whether the result of a task may be dropped from its worker. */
  isResultDurable(index: number): boolean {
    return this.durableState !== 'accepted' || this.durableDoneTasks.has(index);
  }

  /** Whether it fails wherever it runs: then it is the job itself that is at fault. */
  get isFaulty(): boolean {
    return this.failureHistory.isFaulty;
  }

  markDone(index: number): void {
    // A replica that ends has to run again, whatever it says of itself.
    if (this.isService) return;
    if (this.isGang) for (let task = 0; task < this.spec.taskCount; task++) this.doneTasks.add(task);
    else this.doneTasks.add(index);
    this.failureHistory.recordSuccess();
    if (this.doneTasks.count >= this.spec.taskCount && this.state === 'accepted') this.state = 'done';
  }

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
    if (this.placedTasks.size === 0) this.inactiveSince = now;
    if (index < this.firstPossiblyPending) this.firstPossiblyPending = index;
  }

  /** Up to `limit` task numbers that wait for a place, lowest first. */
  pendingTasks(limit: number): number[] {
    const found: number[] = [];
    for (let index = this.firstPossiblyPending; index < this.spec.taskCount && found.length < limit; index++) {
      if (this.isStartable(index)) found.push(index);
      else if (found.length === 0 && !this.isPending(index)) this.skipNotPending(index);
    }
    return found;
  }

  private isStartable(index: number): boolean {
    if (!this.isPending(index) || this.unexpectedTasks.has(index)) return false;
    return !this.mayRunUnreconciled || this.locatedTasks.has(index);
  }

  private skipNotPending(index: number): void {
    if (index === this.firstPossiblyPending) this.firstPossiblyPending = index + 1;
  }

  /** The largest number of its tasks that one zone may hold. */
  get maxTasksPerZone(): number {
    return this.spec.zoneSpread ? Math.ceil(this.spec.taskCount / 2) : this.spec.taskCount;
  }
}
