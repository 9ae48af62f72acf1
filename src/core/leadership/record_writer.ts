/** Writes the leader's job records and machine registry to the state store. */
import type { Job } from '../jobs/job.js';
import { RangeSet } from '../jobs/range_set.js';
import type { Machine } from '../machines/machine.js';
import type { MachineRegistry } from '../machines/machine_registry.js';
import type { RegistryPage } from '../machines/registry_page.js';
import { type StateStoreResultOf, type StoredEntry, wasNotExecuted } from '../messages.js';
import { jobKey, pageKey } from '../records.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import { ABSENT_VERSION, type MonotonicTime, type Revision } from '../types.js';
import { type Leadership, leaderCondition } from './leadership.js';
import { type JobSnapshot, WriteBatch, type WriteLimits } from './write_batch.js';

/**
 * Minimum interval between writes of a job record that nothing is waiting for, in milliseconds. While the write
 * capacity is scarce, the interval is multiplied by the factor below.
 */
const LAZY_WRITE_INTERVAL_MS = 4000;
const SCARCE_WRITES_INTERVAL_FACTOR = 4;
/** Delay of a flush, in milliseconds, so that a burst of task completions is written in one transaction. */
const BATCHING_MS = 30;
const WRITE_RETRY_MS = 150;
const REREAD_RETRY_MS = 200;
const FLUSH_AFTER_REREAD_MS = 1;
/** Pause after a write that was rejected for its size, in milliseconds. */
const REJECTED_PAUSE_MS = 1000;
const MIN_VALUE_BYTES = 512;
const VALUE_SHRINK_FACTOR = 0.75;
const URGENT_PRIORITY = 1;
const LAZY_PRIORITY = 3;

/** The condition for writes, and notifications of completed reads and writes. */
export interface RecordWriterCallbacks {
  /** Returns whether records may be written now because the state is loaded and this controller is the leader. */
  mayWrite(): boolean;
  /** Called with a job record that was read from the state store. */
  onRecordRead(item: StoredEntry): void;
  /** Called when a write that other work may be waiting for has succeeded or failed. */
  onWriteFinished(): void;
}

type WriteOutcome =
  | { readonly kind: 'written'; readonly version: Revision }
  /** The transaction was certainly not executed. */
  | { readonly kind: 'notExecuted' }
  /** A condition did not hold, or the outcome is unknown. The stored values have to be read again. */
  | { readonly kind: 'unknown' }
  /** The state store rejected the transaction as malformed. Its size limits may be lower than announced. */
  | { readonly kind: 'rejected' };

/**
 * Combines many changes into one transaction, beginning with those that other work waits for. Every transaction is
 * conditional on the leader key and on the version of each changed key. A transaction that is executed late, after one
 * of them has changed, therefore has no effect.
 */
export class RecordWriter {
  private readonly context: StepContext;
  private writesInFlight = 0;
  private stopped = false;
  private limits: WriteLimits;
  private pausedUntil = 0 as MonotonicTime;

  constructor(
    private readonly cluster: Cluster,
    private readonly leadership: Leadership,
    private readonly registry: MachineRegistry,
    private readonly callbacks: RecordWriterCallbacks,
  ) {
    this.context = cluster.context;
    cluster.timers.recordFlush.setCallback(() => this.flush());
    const { maxChangesPerTransaction, maxValueBytes } = this.context.settings.stateStore;
    this.limits = { maxChanges: maxChangesPerTransaction, maxValueBytes };
  }

  /** Whether transactions have been sent that have no response yet. */
  get hasWritesInFlight(): boolean {
    return this.writesInFlight > 0;
  }

  /** Stops writing, and ignores the responses to calls that are still in flight. */
  stop(): void {
    this.stopped = true;
  }

  /** Adds a machine to the registry. No command is sent to the machine until its record is stored. */
  registerMachine(machine: Machine): void {
    this.registry.add(machine);
    this.scheduleFlush();
  }

  /** Removes a machine that no longer exists from the registry. */
  unregisterMachine(machine: Machine): void {
    this.registry.remove(machine.id);
    this.scheduleFlush();
  }

  /** Writes the page with the machine's record again, which raises the revision of the state store. */
  rewriteMachineRecord(machine: Machine): void {
    this.registry.rewrite(machine.id);
    this.scheduleFlush();
  }

  private scheduleFlush(): void {
    this.cluster.timers.recordFlush.bringForward(this.context.after(BATCHING_MS));
  }

  private rescheduleFlush(ms: number): void {
    this.cluster.timers.recordFlush.set(this.context.after(ms));
  }

  // ---- writing

  /** Writes all records that are due. */
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

  /** Returns the jobs whose records are due, urgent ones first. Also deactivates the jobs that are settled. */
  private dueJobs(now: MonotonicTime, hasSpareWrites: boolean): Job[] {
    const due: Job[] = [];
    const lazyMs = hasSpareWrites ? LAZY_WRITE_INTERVAL_MS : SCARCE_WRITES_INTERVAL_FACTOR * LAZY_WRITE_INTERVAL_MS;
    for (const job of this.cluster.jobs.active) {
      const urgency = job.writeUrgency;
      if (urgency === 'none') this.cluster.jobs.deactivateIfSettled(job);
      else if (!job.stored.isCallInFlight && (urgency === 'immediate' || now - job.stored.lastWriteAt >= lazyMs))
        due.push(job);
    }
    return due.sort((a, b) => Number(b.writeUrgency === 'immediate') - Number(a.writeUrgency === 'immediate'));
  }

  /** Moves as much of both lists as fits into one transaction: urgent pages first, then jobs, then the other pages. */
  private nextBatch(jobs: Job[], pages: RegistryPage[], now: MonotonicTime): WriteBatch {
    const batch = new WriteBatch(leaderCondition(this.leadership), this.limits);
    const addPage = (page: RegistryPage) => batch.addPage(page, this.registry, now);
    while (pages[0]?.isUrgent && batch.hasSpace()) addPage(pages.shift() as RegistryPage);
    while (jobs.length > 0 && batch.hasSpace()) batch.addJob(jobs.shift() as Job, now);
    while (pages.length > 0 && batch.hasSpace()) addPage(pages.shift() as RegistryPage);
    return batch;
  }

  private send(batch: WriteBatch): void {
    const { conditions, changes } = batch;
    this.writesInFlight += 1;
    const priority = batch.isUrgent ? URGENT_PRIORITY : LAZY_PRIORITY;
    this.context.stateStore.call({ op: 'compareAndSwap', conditions, changes }, priority, (result) => {
      this.writesInFlight -= 1;
      batch.onEnded();
      if (this.stopped) return;
      this.onOutcome(batch, outcomeOf(result));
      this.callbacks.onWriteFinished();
    });
  }

  private onOutcome(batch: WriteBatch, outcome: WriteOutcome): void {
    switch (outcome.kind) {
      case 'written':
        this.onWritten(batch, outcome.version);
        return;
      case 'notExecuted':
        this.onFailed(batch, false);
        return;
      case 'unknown':
        this.onFailed(batch, true);
        return;
      case 'rejected':
        this.onFailed(batch, true);
        this.reduceWriteSize(batch);
        return;
    }
  }

  private onWritten(batch: WriteBatch, version: Revision): void {
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

  private onFailed(batch: WriteBatch, isOutcomeUnknown: boolean): void {
    for (const { page } of batch.pages) page.recordFailedWrite(isOutcomeUnknown);
    if (isOutcomeUnknown) for (const { job } of batch.jobs) this.rereadJob(job);
    this.rescheduleFlush(WRITE_RETRY_MS);
  }

  /**
   * Lowers the write limits and pauses writing, so that the rejected transaction is not sent again in the same form.
   * The limits do not fall below one change and `MIN_VALUE_BYTES`.
   */
  private reduceWriteSize(batch: WriteBatch): void {
    this.limits = reducedLimits(this.limits, batch.changes.length);
    this.registry.setValueLimit(this.limits.maxValueBytes);
    this.pausedUntil = this.context.after(REJECTED_PAUSE_MS);
    this.context.log('write refused for its size', { ...this.limits });
  }

  // ---- rereading stored records

  private rereadJob(job: Job): void {
    job.stored.beginRead();
    this.context.stateStore.call({ op: 'get', key: jobKey(job.id) }, URGENT_PRIORITY, (result) => {
      job.stored.endCall();
      if (this.stopped || !result.ok || !result.value.item) return;
      this.callbacks.onRecordRead(result.value.item);
      this.scheduleFlush();
    });
  }

  /**
   * Reads the current version of a page. Its content is not needed, because the whole page is written again on the
   * condition that this version is still current.
   */
  private rereadPage(page: RegistryPage): void {
    page.beginRead();
    this.context.stateStore.call({ op: 'get', key: pageKey(page.index) }, URGENT_PRIORITY, (result) => {
      page.endCall();
      if (this.stopped) return;
      if (result.ok) page.recordRead(result.value.item?.version ?? ABSENT_VERSION);
      this.rescheduleFlush(result.ok ? FLUSH_AFTER_REREAD_MS : REREAD_RETRY_MS);
    });
  }
}

function outcomeOf(result: StateStoreResultOf<'compareAndSwap'>): WriteOutcome {
  if (result.ok) return { kind: 'written', version: result.value.revision };
  if (wasNotExecuted(result.error)) return { kind: 'notExecuted' };
  return { kind: result.error.code === 'invalidRequest' ? 'rejected' : 'unknown' };
}

/** Returns lower limits: first fewer changes per transaction, then smaller values. */
function reducedLimits({ maxChanges, maxValueBytes }: WriteLimits, rejectedChanges: number): WriteLimits {
  if (rejectedChanges > 1) return { maxChanges: Math.max(1, Math.floor(rejectedChanges / 2)), maxValueBytes };
  const reduced = Math.floor(maxValueBytes * VALUE_SHRINK_FACTOR);
  return { maxChanges, maxValueBytes: Math.max(MIN_VALUE_BYTES, reduced) };
}
