import type { Job } from '../jobs/job.js';
import { RangeSet } from '../jobs/range_set.js';
import type { Machine } from '../machines/machine.js';
import type { MachineRegistry, RegistryPage } from '../machines/machine_registry.js';
import {
  type StateChange,
  type StateStoreResult,
  type StoredEntry,
  type VersionCondition,
  wasNotExecuted,
} from '../messages.js';
import { encodeJob, type JobState, jobKey, pageKey } from '../records.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import { ABSENT_VERSION, type MonotonicTime, type Revision, type ZoneName } from '../types.js';
import { type Leadership, leaderCondition } from './leadership.js';

/** Results that nobody waits for are written this rarely, and more rarely still where writes are scarce. */
const LAZY_WRITE_INTERVAL_MS = 4000;
const SCARCE_WRITES_INTERVAL_FACTOR = 4;
/** Completions come in crowds: a moment's gathering puts them into one transaction. */
const BATCHING_MS = 30;
const WRITE_RETRY_MS = 150;
const REREAD_RETRY_MS = 200;
const FLUSH_AFTER_REREAD_MS = 1;
/** After a write that was refused for its size. */
const REJECTED_PAUSE_MS = 1000;
const MIN_VALUE_BYTES = 512;
const VALUE_SHRINK_FACTOR = 0.75;
/** A transaction may have 64 KiB; sizes are estimated. */
const MAX_TRANSACTION_BYTES = 48_000;
const ESTIMATED_JOB_RECORD_BYTES = 700;
const ESTIMATED_DONE_RANGE_BYTES = 14;
const URGENT_PRIORITY = 1;
const LAZY_PRIORITY = 3;

/** A job's record as one transaction writes it. */
interface JobSnapshot {
  readonly job: Job;
  readonly state: JobState;
  readonly startTerm: number;
  readonly startZones: readonly ZoneName[] | null;
  readonly doneTasks: [number, number][];
}

/** A page of the registry as one transaction writes it. */
interface PageSnapshot {
  readonly page: RegistryPage;
  readonly machines: readonly Machine[];
}

interface WriteBatch {
  readonly conditions: VersionCondition[];
  readonly changes: StateChange[];
  readonly jobs: JobSnapshot[];
  readonly pages: PageSnapshot[];
  bytes: number;
  isUrgent: boolean;
}

export interface RecordWriterCallbacks {
  mayWrite(): boolean;
  /** A record as the store was found to hold it. */
  onRecordRead(item: StoredEntry): void;
  /** Something that others may wait for is now on record, or has failed to be. */
  onWriteFinished(): void;
}

/**
 * Writes the leader's records of jobs and machines: many changes to a transaction, what others wait for first. Every
 * transaction depends on the leader key and on each changed key's version, so one that is carried out late changes nothing.
 */
export class RecordWriter {
  private readonly context: StepContext;
  private writesInFlight = 0;
  private stopped = false;
  private maxChanges: number;
  private maxValueBytes: number;
  private pausedUntil = 0 as MonotonicTime;

  constructor(
    private readonly cluster: Cluster,
    private readonly leadership: Leadership,
    private readonly registry: MachineRegistry,
    private readonly callbacks: RecordWriterCallbacks,
  ) {
    this.context = cluster.context;
    cluster.timers.recordFlush.handle(() => this.flush());
    this.maxChanges = this.context.settings.stateStore.maxChangesPerTransaction;
    this.maxValueBytes = this.context.settings.stateStore.maxValueBytes;
  }

  get hasWritesInFlight(): boolean {
    return this.writesInFlight > 0;
  }

  stop(): void {
    this.stopped = true;
  }

  registerMachine(machine: Machine): void {
    this.registry.add(machine);
    this.scheduleFlush();
  }

  unregisterMachine(machine: Machine): void {
    this.registry.remove(machine.id);
    this.scheduleFlush();
  }

  private scheduleFlush(): void {
    this.cluster.timers.recordFlush.bringForward(this.context.after(BATCHING_MS));
  }

  private rescheduleFlush(ms: number): void {
    this.cluster.timers.recordFlush.set(this.context.after(ms));
  }

  /** Writes what is due. */
  flush(): void {
    if (this.stopped || !this.callbacks.mayWrite()) return;
    const now = this.context.now.monotonic;
    if (now < this.pausedUntil) {
      this.cluster.timers.recordFlush.set(this.pausedUntil);
      return;
    }
    const hasSpareWrites = this.context.stateStore.hasSpareWriteCapacity();
    const jobs = this.dueJobs(now, hasSpareWrites);
    for (const page of this.registry.pagesToReread()) this.rereadPage(page);
    const pages = this.registry.duePages(now, hasSpareWrites);
    while (jobs.length > 0 || pages.length > 0) this.send(this.nextBatch(jobs, pages, now));
  }

  /** Takes from both lists what fits into one transaction: urgent pages, then jobs, then other pages. */
  private nextBatch(jobs: Job[], pages: RegistryPage[], now: MonotonicTime): WriteBatch {
    const conditions = [leaderCondition(this.leadership)];
    const batch: WriteBatch = { conditions, changes: [], jobs: [], pages: [], bytes: 0, isUrgent: false };
    while (pages[0]?.urgent && this.hasSpace(batch)) this.addPage(batch, pages.shift() as RegistryPage);
    while (jobs.length > 0 && this.hasSpace(batch)) this.addJob(batch, jobs.shift() as Job, now);
    while (pages.length > 0 && this.hasSpace(batch)) this.addPage(batch, pages.shift() as RegistryPage);
    return batch;
  }

  private dueJobs(now: MonotonicTime, hasSpareWrites: boolean): Job[] {
    const due: Job[] = [];
    const lazyMs = hasSpareWrites ? LAZY_WRITE_INTERVAL_MS : SCARCE_WRITES_INTERVAL_FACTOR * LAZY_WRITE_INTERVAL_MS;
    for (const job of this.cluster.jobs.active) {
      const need = job.writeUrgency;
      if (need === 'none') this.cluster.jobs.deactivateIfSettled(job);
      else if (!job.stored.isCallInFlight && (need === 'immediate' || now - job.stored.lastWriteAt >= lazyMs))
        due.push(job);
    }
    return due.sort((a, b) => Number(b.writeUrgency === 'immediate') - Number(a.writeUrgency === 'immediate'));
  }

  private hasSpace(batch: WriteBatch): boolean {
    return batch.changes.length < this.maxChanges && batch.bytes < MAX_TRANSACTION_BYTES;
  }

  private addPage(batch: WriteBatch, page: RegistryPage): void {
    if (page.urgent) batch.isUrgent = true;
    const { change, bytes, machines } = this.registry.beginWrite(page, this.context.now.monotonic);
    batch.bytes += bytes;
    batch.pages.push({ page, machines });
    batch.conditions.push({ key: pageKey(page.index), version: page.version });
    batch.changes.push(change);
  }

  private addJob(batch: WriteBatch, job: Job, now: MonotonicTime): void {
    if (job.writeUrgency === 'immediate') batch.isUrgent = true;
    job.stored.beginWrite(now);
    const { spec, submittedAt, state, startTerm, startZone, doneTasks } = job;
    const startZones = job.startZones && [...job.startZones];
    const value = encodeJob(
      { spec, submittedAt, state, startTerm, startZone, startZones, done: doneTasks },
      this.maxValueBytes,
    );
    batch.bytes += ESTIMATED_JOB_RECORD_BYTES + value.done.length * ESTIMATED_DONE_RANGE_BYTES;
    batch.jobs.push({ job, state, startTerm, startZones, doneTasks: value.done });
    batch.conditions.push({ key: jobKey(job.id), version: job.stored.version });
    batch.changes.push({ put: jobKey(job.id), value });
  }

  private send(batch: WriteBatch): void {
    const { conditions, changes } = batch;
    this.writesInFlight += 1;
    this.context.stateStore.call(
      { op: 'compareAndSwap', conditions, changes },
      batch.isUrgent ? URGENT_PRIORITY : LAZY_PRIORITY,
      (result) => {
        this.writesInFlight -= 1;
        for (const { job } of batch.jobs) job.stored.endCall();
        for (const { page } of batch.pages) page.writeInFlight = false;
        if (this.stopped) return;
        if (result.ok && result.value.revision !== undefined) this.onBatchWritten(batch, result.value.revision);
        else this.onBatchFailed(batch, result);
        this.callbacks.onWriteFinished();
      },
    );
  }

  private onBatchWritten(batch: WriteBatch, version: Revision): void {
    for (const snapshot of batch.jobs) this.onJobWritten(snapshot, version);
    for (const { page, machines } of batch.pages) {
      this.registry.onPageStored(page, machines, version);
      this.scheduleFlush();
    }
  }

  private onJobWritten({ job, state, startTerm, startZones, doneTasks }: JobSnapshot, version: Revision): void {
    job.stored.applyWrite({ state, startTerm, startZones, done: RangeSet.from(doneTasks) }, version);
    this.cluster.jobs.deactivateIfSettled(job);
    if (job.writeUrgency === 'immediate') this.scheduleFlush();
  }

  private onBatchFailed(batch: WriteBatch, result: StateStoreResult): void {
    // Only what was refused has certainly not been carried out.
    const outcomeUnknown = result.ok || !wasNotExecuted(result.error);
    for (const { page } of batch.pages) {
      page.urgent = true;
      page.versionUnknown = outcomeUnknown;
    }
    if (outcomeUnknown) for (const { job } of batch.jobs) this.rereadJob(job);
    if (!result.ok && result.error.code === 'invalidRequest') this.reduceWriteSize(batch);
    this.rescheduleFlush(WRITE_RETRY_MS);
  }

  /** The service calls a transaction malformed: it may take less than was announced. The same one is never sent again. */
  private reduceWriteSize(batch: WriteBatch): void {
    const changes = batch.changes.length;
    if (changes > 1) this.maxChanges = Math.max(1, Math.floor(changes / 2));
    else this.maxValueBytes = Math.max(MIN_VALUE_BYTES, Math.floor(this.maxValueBytes * VALUE_SHRINK_FACTOR));
    this.registry.setValueLimit(this.maxValueBytes);
    this.pausedUntil = this.context.after(REJECTED_PAUSE_MS);
    this.context.log('write refused for its size', {
      maxChanges: this.maxChanges,
      maxValueBytes: this.maxValueBytes,
    });
  }

  /** A write failed or has an unknown outcome: the store tells what holds now. */
  private rereadJob(job: Job): void {
    job.stored.beginRead();
    this.context.stateStore.call({ op: 'get', key: jobKey(job.id) }, URGENT_PRIORITY, (result) => {
      job.stored.endCall();
      if (this.stopped || !result.ok || !result.value.item) return;
      this.callbacks.onRecordRead(result.value.item);
      this.scheduleFlush();
    });
  }

  /** Only the version matters: the page is written anew, on the condition that nothing has come in between. */
  private rereadPage(page: RegistryPage): void {
    page.writeInFlight = true;
    this.context.stateStore.call({ op: 'get', key: pageKey(page.index) }, URGENT_PRIORITY, (result) => {
      page.writeInFlight = false;
      if (this.stopped) return;
      if (result.ok) {
        page.version = result.value.item ? result.value.item.version : ABSENT_VERSION;
        page.versionUnknown = false;
      }
      this.rescheduleFlush(result.ok ? FLUSH_AFTER_REREAD_MS : REREAD_RETRY_MS);
    });
  }
}
