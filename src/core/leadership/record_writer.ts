import type { Context } from '../context.js';
import type { Job } from '../jobs/job.js';
import { RangeSet } from '../jobs/range_set.js';
import type { Machine } from '../machines/machine.js';
import type { Page, Registry } from '../machines/registry.js';
import type { Change, Condition, StoredItem } from '../messages.js';
import { encodeJob, type JobState, jobKey, pageKey } from '../records.js';
import { ABSENT, type Revision, type Steady, steadyPlus } from '../types.js';
import type { Cluster } from './cluster.js';
import { type Leadership, leaderCondition } from './election.js';

const LAZY_WRITE_MS = 4000;
const TXN_BYTES = 48_000;
const JOB_BYTES = 700;
const GATHER_MS = 30;
/** After a write that was refused for its size. */
const REJECTED_PAUSE_MS = 1000;
const LEAST_VALUE_BYTES = 512;

interface JobSnapshot {
  readonly job: Job;
  readonly state: JobState;
  readonly startTerm: number;
  readonly done: [number, number][];
}

interface PageSnapshot {
  readonly page: Page;
  readonly machines: readonly Machine[];
}

interface Batch {
  readonly conditions: Condition[];
  readonly changes: Change[];
  readonly jobs: JobSnapshot[];
  readonly pages: PageSnapshot[];
  bytes: number;
  urgent: boolean;
}

export interface RecordWriterCallbacks {
  mayWrite(): boolean;
  /** A record as the store was found to hold it. */
  onRecordRead(item: StoredItem): void;
  /** Something that others may wait for is now on record. */
  onWritten(): void;
}

/**
 * What the leader writes: many changes to a transaction, what others wait for first. Every transaction depends on the
 * leader key and on each changed key's version, so one that is carried out late changes nothing.
 */
export class RecordWriter {
  private readonly ctx: Context;
  private inFlight = 0;
  private stopped = false;
  private mostChanges: number;
  private valueBytes: number;
  private pausedUntil = 0 as Steady;

  constructor(
    private readonly cluster: Cluster,
    private readonly leadership: Leadership,
    private readonly registry: Registry,
    private readonly callbacks: RecordWriterCallbacks,
  ) {
    this.ctx = cluster.ctx;
    this.mostChanges = this.ctx.settings.store.txnOps;
    this.valueBytes = this.ctx.settings.store.valueBytes;
  }

  get busy(): boolean {
    return this.inFlight > 0;
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

  /** Completions come in crowds: a moment's gathering puts them into one transaction. */
  scheduleFlush(): void {
    const at = this.ctx.timers.at('recordFlush');
    const mine = steadyPlus(this.ctx.now.steady, GATHER_MS);
    if (at === null || at > mine) this.ctx.timers.set('recordFlush', mine);
  }

  flush(): void {
    if (this.stopped || !this.callbacks.mayWrite()) return;
    const now = this.ctx.now.steady;
    if (now < this.pausedUntil) return this.ctx.timers.set('recordFlush', this.pausedUntil);
    const spare = this.ctx.writesToSpare();
    const jobs = this.dueJobs(now, spare);
    for (const page of this.registry.lostPages()) this.rereadPage(page);
    const pages = this.registry.duePages(now, spare);
    while (jobs.length > 0 || pages.length > 0) {
      const batch: Batch = {
        conditions: [leaderCondition(this.leadership)],
        changes: [],
        jobs: [],
        pages: [],
        bytes: 0,
        urgent: false,
      };
      while (pages[0]?.urgent && this.fits(batch)) this.addPage(batch, pages.shift() as Page);
      while (jobs.length > 0 && this.fits(batch)) this.addJob(batch, jobs.shift() as Job, now);
      while (pages.length > 0 && this.fits(batch)) this.addPage(batch, pages.shift() as Page);
      if (batch.changes.length === 0) break;
      this.send(batch);
    }
  }

  private dueJobs(now: Steady, spare: boolean): Job[] {
    const due: Job[] = [];
    const lazy = spare ? LAZY_WRITE_MS : 4 * LAZY_WRITE_MS;
    for (const job of this.cluster.activeJobs) {
      const need = job.needsWrite;
      if (need === 'no') {
        if (job.state !== 'accepted' && job.placements.size === 0) this.cluster.activeJobs.delete(job);
        continue;
      }
      if (job.writeInFlight || (need === 'soon' && now - job.lastWriteAt < lazy)) continue;
      due.push(job);
    }
    return due.sort((a, b) => Number(b.needsWrite === 'now') - Number(a.needsWrite === 'now'));
  }

  private fits(batch: Batch): boolean {
    return batch.changes.length < this.mostChanges && batch.bytes < TXN_BYTES;
  }

  private addPage(batch: Batch, page: Page): void {
    const { change, bytes, machines } = this.registry.changeFor(page);
    page.writeInFlight = true;
    page.writtenAt = this.ctx.now.steady;
    if (page.urgent) batch.urgent = true;
    page.urgent = false;
    page.needsRewrite = false;
    page.hintsChanged = false;
    for (const m of machines) m.imagesChanged = false;
    batch.bytes += bytes;
    batch.pages.push({ page, machines });
    batch.conditions.push({ key: pageKey(page.no), version: page.version });
    batch.changes.push(change);
  }

  private addJob(batch: Batch, job: Job, now: Steady): void {
    if (job.needsWrite === 'now') batch.urgent = true;
    job.writeInFlight = true;
    job.lastWriteAt = now;
    const { spec, submittedAt, state, startTerm, startZone } = job;
    const record = { spec, submittedAt, state, startTerm, startZone, done: job.done };
    const value = encodeJob(record, this.valueBytes);
    batch.bytes += JOB_BYTES + value.done.length * 14;
    batch.jobs.push({ job, state, startTerm, done: value.done });
    batch.conditions.push({ key: jobKey(job.id), version: job.version });
    batch.changes.push({ put: jobKey(job.id), value });
  }

  private send(batch: Batch): void {
    const { conditions, changes, jobs, pages } = batch;
    this.inFlight += 1;
    this.ctx.store({ op: 'txn', conditions, changes }, batch.urgent ? 1 : 3, (result) => {
      this.inFlight -= 1;
      for (const s of jobs) s.job.writeInFlight = false;
      for (const s of pages) s.page.writeInFlight = false;
      if (this.stopped) return;
      if (result.ok && result.value.revision !== undefined) {
        for (const s of jobs) this.onJobWritten(s, result.value.revision);
        for (const s of pages) this.onPageWritten(s, result.value.revision);
      } else {
        const unclear = result.ok || result.why !== 'refused';
        for (const { page } of pages) {
          page.urgent = true;
          page.versionUnknown = unclear;
        }
        if (unclear) for (const s of jobs) this.rereadJob(s.job);
        if (!result.ok && result.why === 'rejected') this.shrinkWrites(batch);
        this.ctx.timers.set('recordFlush', steadyPlus(this.ctx.now.steady, 150));
      }
      this.callbacks.onWritten();
    });
  }

  /** The service calls a transaction malformed: it may take less than we were told. The same one is never sent again. */
  private shrinkWrites(batch: Batch): void {
    const n = batch.changes.length;
    if (n > 1) this.mostChanges = Math.max(1, Math.floor(n / 2));
    else this.valueBytes = Math.max(LEAST_VALUE_BYTES, Math.floor(this.valueBytes * 0.75));
    this.registry.limitPages(this.valueBytes);
    this.pausedUntil = steadyPlus(this.ctx.now.steady, REJECTED_PAUSE_MS);
    this.ctx.log('info', 'the state service refuses a write for its size: writing less at a time', {
      changes: this.mostChanges,
      valueBytes: this.valueBytes,
    });
  }

  private onJobWritten(snapshot: JobSnapshot, version: Revision): void {
    const { job } = snapshot;
    if (version > job.version) {
      job.version = version;
      job.durableState = snapshot.state;
      job.durableStartTerm = snapshot.startTerm;
      job.durableDone = RangeSet.from(snapshot.done);
    }
    if (job.needsWrite === 'no' && job.state !== 'accepted' && job.placements.size === 0)
      this.cluster.activeJobs.delete(job);
    if (job.needsWrite === 'now') this.scheduleFlush();
  }

  private onPageWritten(snapshot: PageSnapshot, version: Revision): void {
    if (version > snapshot.page.version) snapshot.page.version = version;
    for (const m of snapshot.machines) if (snapshot.page.machines.has(m)) m.registered = true;
    this.registry.onPageStored(snapshot.page, snapshot.machines);
    this.scheduleFlush();
  }

  /** A write failed or has an unknown outcome: the store tells what holds now. */
  private rereadJob(job: Job): void {
    job.writeInFlight = true;
    this.ctx.store({ op: 'get', key: jobKey(job.id) }, 1, (result) => {
      job.writeInFlight = false;
      if (this.stopped || !result.ok || !result.value.item) return;
      this.callbacks.onRecordRead(result.value.item);
      this.scheduleFlush();
    });
  }

  /** Only the version matters: the page is written anew, on the condition that nothing has come in between. */
  private rereadPage(page: Page): void {
    page.writeInFlight = true;
    this.ctx.store({ op: 'get', key: pageKey(page.no) }, 1, (result) => {
      page.writeInFlight = false;
      if (this.stopped) return;
      if (result.ok) {
        page.version = result.value.item ? result.value.item.version : ABSENT;
        page.versionUnknown = false;
      }
      this.ctx.timers.set('recordFlush', steadyPlus(this.ctx.now.steady, result.ok ? 1 : 200));
    });
  }
}
