/** Writes the leader's records of jobs and machines to the state store. */
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

/** Results that nobody waits for are written this rarely, and more rarely still where writes are scarce. */
const LAZY_WRITE_INTERVAL_MS = 4000;
const SCARCE_WRITES_INTERVAL_FACTOR = 4;
/** Completions come in crowds: a moment's gathering puts them into one transaction. */
const BATCHING_MS = 30;
const WRITE_RETRY_MS = 150;
const REREAD_RETRY_MS = 200;
const FLUSH_AFTER_REREAD_MS = 1;
/** After a write that was rejected for its size. */
const REJECTED_PAUSE_MS = 1000;
const MIN_VALUE_BYTES = 512;
const VALUE_SHRINK_FACTOR = 0.75;
const URGENT_PRIORITY = 1;
const LAZY_PRIORITY = 3;

/** What follows from reads and writes. */
export interface RecordWriterCallbacks {
  /** Returns whether records may be written now: the state is loaded, and this controller is the leader. */
  mayWrite(): boolean;
  /** A record as the state store was found to hold it. */
  onRecordRead(item: StoredEntry): void;
  /** Something that others may wait for is now on record, or has failed to be. */
  onWriteFinished(): void;
}

/** How a transaction ended. */
type WriteOutcome =
  | { readonly kind: 'written'; readonly version: Revision }
  /** It was certainly not carried out. */
  | { readonly kind: 'notExecuted' }
  /** Its conditions did not hold, or nobody knows: what is stored has to be read. */
  | { readonly kind: 'unknown' }
  /** The state store calls it malformed: it may take less than was announced. */
  | { readonly kind: 'rejected' };

/**
 * Puts many changes into a transaction, what others wait for first. Every transaction depends on the leader key and on each
 * changed key's version, so one that is carried out late changes nothing.
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
    cluster.timers.recordFlush.handle(() => this.flush());
    const { maxChangesPerTransaction, maxValueBytes } = this.context.settings.stateStore;
    this.limits = { maxChanges: maxChangesPerTransaction, maxValueBytes };
  }

  /** Whether transactions have been sent that are not answered. */
  get hasWritesInFlight(): boolean {
    return this.writesInFlight > 0;
  }

  /** Nothing more is written, and answers that still come are ignored. */
  stop(): void {
    this.stopped = true;
  }

  /** Puts a machine on record: before that is done, no command goes to it. */
  registerMachine(machine: Machine): void {
    this.registry.add(machine);
    this.scheduleFlush();
  }

  /** Takes a machine that is gone off the record. */
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

  // ---- writing

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

  /** Jobs whose records are due, the urgent ones first. Those that need no attention any more are dropped on the way. */
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

  /** Takes from both lists what fits into one transaction: urgent pages, then jobs, then other pages. */
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

  /** The same transaction is never sent again. */
  private reduceWriteSize(batch: WriteBatch): void {
    this.limits = reducedLimits(this.limits, batch.changes.length);
    this.registry.setValueLimit(this.limits.maxValueBytes);
    this.pausedUntil = this.context.after(REJECTED_PAUSE_MS);
    this.context.log('write refused for its size', { ...this.limits });
  }

  // ---- reading what holds now

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

/** Fewer changes at a time first, then smaller values. */
function reducedLimits({ maxChanges, maxValueBytes }: WriteLimits, rejectedChanges: number): WriteLimits {
  if (rejectedChanges > 1) return { maxChanges: Math.max(1, Math.floor(rejectedChanges / 2)), maxValueBytes };
  const reduced = Math.floor(maxValueBytes * VALUE_SHRINK_FACTOR);
  return { maxChanges, maxValueBytes: Math.max(MIN_VALUE_BYTES, reduced) };
}
