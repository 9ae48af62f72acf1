/** Keeps a controller's copy of the job records up to date by watching the state store. */
import { type EntryPage, readPrefix } from '../clients/state_store_reads.js';
import { ExpiringMap } from '../expiring_map.js';
import { CLOCK_DRIFT, maxJobViewAgeMs } from '../lease_bounds.js';
import type { StateStoreResponses, StateStoreResultOf, StoredEntry, WatchEvent } from '../messages.js';
import { decodeJob, JOB_PREFIX, type JobRecord, jobKey } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import { addMilliseconds, type JobId, type MonotonicTime, type Revision } from '../types.js';
import { type CachedJob, type CachedJobWithTasks, cachedJob, hasNoTasks } from './cached_job.js';
import { ImageUsage } from './image_usage.js';

/** How long a follower's watch waits at the state store for events, in milliseconds. */
const FOLLOWER_WATCH_WAIT_MS = 4000;
/**
 * How long the leader's watch waits, in milliseconds. It is shorter because the starts of tasks depend on a fresh view
 * of cancellations.
 */
const LEADER_WATCH_WAIT_MS = 1000;
/** Number of watches that fit into the maximum age of the leader's view. */
const WATCHES_PER_MAX_VIEW_AGE = 4;
/**
 * Delay between a watch response and the next watch, in milliseconds. Each watch costs a call and returns all events
 * since the previous one.
 */
const LEADER_WATCH_PAUSE_MS = 120;
const FOLLOWER_WATCH_PAUSE_MS = 800;
const WATCH_TIMEOUT_MARGIN_MS = 2000;
const MAX_WATCH_QUEUE_TIME_MS = 5000;
const WATCH_RETRY_MS = 250;
const READ_RETRY_MS = 300;

/**
 * How long a job is kept after its end, in milliseconds. Until then the responses to all calls that were sent before the
 * end have arrived, and the tasks of a cancelled job are gone.
 */
const ENDED_RETENTION_MS = 300_000;

/** How far a read of all records has come. */
interface ReadProgress {
  /** The records are as of this revision or later. */
  readonly revision: Revision;
  /** The last key that was read. Null if the read is complete. */
  readonly lastKey: string | null;
}

/** Called with whether a read of all records succeeded. */
type OnRead = (succeeded: boolean) => void;

/**
 * A controller's copy of the records of jobs that have not ended, and of those that ended a short time ago. It may lag
 * behind the state store, so only final states are reported from the copy alone. It saves reads because one compare-only
 * transaction can then confirm many records at once (linearizable_reads.ts). The records of all other jobs stay in the
 * state store, where there may be any number of them.
 */
export class JobCache {
  /** The images of all jobs whose records were read. */
  readonly images = new ImageUsage();
  private readonly accepted = new Map<JobId, CachedJob>();
  private readonly ended = new ExpiringMap<JobId, CachedJob>(ENDED_RETENTION_MS);
  /** The last complete read of all records, and what has been read since then. */
  private reads: ReadProgress[] = [];
  /** Jobs whose stored records cannot be decoded. A later release may have written them. */
  private readonly unreadableIds = new Set<JobId>();
  /** The revision from which the watch continues. Null if all records have to be read first. */
  private watchRevision: Revision | null = null;
  private readInFlight = false;
  private rereadRequested = false;
  private readCallbacks: OnRead[] = [];
  private watchInFlight = false;
  private readonly watchTimer: Timer;
  private isLeader = false;
  private readonly leaderWatchWaitMs: number;
  private asOf = Number.NEGATIVE_INFINITY as MonotonicTime;

  /**
   * `onRecord` is called with each record that is newer than the known one, except those of jobs that had ended before
   * all records were read.
   */
  constructor(
    private readonly context: StepContext,
    private readonly onRecord: (record: JobRecord, version: Revision) => void,
  ) {
    this.watchTimer = context.timers.create(() => this.watchOrReadAll());
    // A short `cancel_s` requires a fresher view of the jobs, and therefore shorter watches (tight-cancel.txt).
    this.leaderWatchWaitMs = Math.min(
      LEADER_WATCH_WAIT_MS,
      maxJobViewAgeMs(context.settings) / WATCHES_PER_MAX_VIEW_AGE,
    );
  }

  /** The copy includes everything that the state store held at this time. Negative infinity before the first read. */
  get currentAsOf(): MonotonicTime {
    return this.asOf;
  }

  /** Jobs whose stored records cannot be decoded. A later release may have written them. */
  get unreadableJobs(): ReadonlySet<JobId> {
    return this.unreadableIds;
  }

  /** Returns undefined for a job without a known record. The state store may hold one if the job has ended. */
  get(id: JobId): CachedJob | undefined {
    return this.accepted.get(id) ?? this.ended.get(id);
  }

  /** Returns the jobs of which tasks may be on machines, in no particular order. */
  *jobsWithTasks(): Iterable<CachedJobWithTasks> {
    for (const jobs of [this.accepted.values(), this.ended.values()]) {
      for (const job of jobs) if (job.state !== 'done') yield job;
    }
  }

  /** Number of known jobs. */
  get size(): number {
    return this.accepted.size + this.ended.size;
  }

  /** Sets whether this controller leads. A leader watches more often. */
  setIsLeader(isLeader: boolean): void {
    this.isLeader = isLeader;
  }

  /** Reads all records again, beginning after this call. Calls `done` once with whether the read succeeded. */
  read(done: OnRead = () => {}): void {
    this.readCallbacks.push(done);
    // A read in flight may have begun too early for this caller.
    if (this.readInFlight) this.rereadRequested = true;
    else this.readAll();
  }

  private watchOrReadAll(): void {
    if (this.watchRevision !== null) this.watch(this.watchRevision);
    else if (!this.readInFlight) this.readAll();
  }

  private readAll(): void {
    this.readInFlight = true;
    this.rereadRequested = false;
    const sentAt = this.context.now.monotonic;
    const readsBefore = this.reads;
    const onPage = (page: EntryPage): void => {
      this.onPageRead(page);
      const lastKey = page.items.at(-1)?.key;
      if (lastKey !== undefined) this.reads = [...readsBefore, { revision: page.revision, lastKey }];
    };
    readPrefix(this.context.stateStore, JOB_PREFIX, onPage, (revision) => {
      if (revision !== null) this.onAllRead(revision, sentAt);
      this.onReadDone(revision !== null);
    });
  }

  private onPageRead({ items, revision }: EntryPage): void {
    for (const item of items) {
      const record = this.decode(item);
      if (!record) continue;
      const isUnchangedSince = item.version <= revision;
      if (isUnchangedSince && !this.get(record.spec.id) && hasNoTasks(record)) continue;
      this.updateRecord(record, item.version);
    }
  }

  private onAllRead(revision: Revision, sentAt: MonotonicTime): void {
    this.reads = [{ revision, lastKey: null }];
    if (this.watchRevision === null || revision > this.watchRevision) this.watchRevision = revision;
    if (sentAt > this.asOf) this.asOf = sentAt;
  }

  private onReadDone(ok: boolean): void {
    this.readInFlight = false;
    if (this.rereadRequested) {
      this.readAll();
      return;
    }
    const callbacks = this.readCallbacks;
    this.readCallbacks = [];
    for (const done of callbacks) done(ok);
    this.scheduleNextWatch(ok ? 1 : READ_RETRY_MS);
  }

  private scheduleNextWatch(ms: number): void {
    this.ended.expire(this.context.now.monotonic);
    if (this.watchInFlight && this.watchRevision !== null) return;
    this.watchTimer.set(this.context.after(ms));
  }

  private watch(after: Revision): void {
    if (this.watchInFlight) return;
    this.watchInFlight = true;
    const waitMs = this.isLeader ? this.leaderWatchWaitMs : FOLLOWER_WATCH_WAIT_MS;
    const onResult = (result: StateStoreResultOf<'watch'>, sentAt: MonotonicTime): void => {
      this.watchInFlight = false;
      if (result.ok) this.onWatchResponse(result.value, sentAt, waitMs);
      else this.onWatchFailed(result.error.code === 'gone');
    };
    this.context.stateStore.call({ op: 'watch', prefix: JOB_PREFIX, after, waitMs }, 1, onResult, {
      timeoutMs: waitMs + WATCH_TIMEOUT_MARGIN_MS,
      maxQueueTimeMs: MAX_WATCH_QUEUE_TIME_MS,
    });
  }

  private onWatchResponse(
    { events, revision }: StateStoreResponses['watch'],
    sentAt: MonotonicTime,
    waitMs: number,
  ): void {
    // A watch response without events was sent only after the whole wait time, so the copy is current as of its end.
    const knownAt = events.length > 0 ? sentAt : addMilliseconds(sentAt, waitMs * (1 - CLOCK_DRIFT));
    const currentAsOf = Math.min(knownAt, this.context.now.monotonic) as MonotonicTime;
    if (currentAsOf > this.asOf) this.asOf = currentAsOf;
    for (const event of events) this.applyEvent(event);
    if (this.watchRevision !== null && revision > this.watchRevision) this.watchRevision = revision;
    this.scheduleNextWatch(this.isLeader ? LEADER_WATCH_PAUSE_MS : FOLLOWER_WATCH_PAUSE_MS);
  }

  private onWatchFailed(isRevisionGone: boolean): void {
    if (!isRevisionGone) {
      this.scheduleNextWatch(WATCH_RETRY_MS);
      return;
    }
    this.watchRevision = null;
    if (!this.readInFlight) this.readAll();
  }

  private applyEvent(event: WatchEvent): void {
    if ('drop' in event) return;
    this.update({ key: event.put, value: event.value, version: event.version });
  }

  /**
   * Applies a current or past version of a stored record, unless that version or a newer one is known. Returns the
   * newest known version, or null if the record cannot be decoded or is outdated.
   */
  update(item: StoredEntry): CachedJob | null {
    const id = item.key.slice(JOB_PREFIX.length) as JobId;
    const known = this.get(id);
    if (known && known.version >= item.version) return known;
    const record = this.decode(item);
    if (!record || (!known && this.isOutdated(record, item.version))) return null;
    return this.updateRecord(record, item.version);
  }

  /**
   * Returns whether an unknown job has ended since this version of its record. If the job had not ended when all records
   * were read, it would be known.
   */
  private isOutdated({ spec, state }: JobRecord, version: Revision): boolean {
    if (state !== 'accepted') return false;
    const key = jobKey(spec.id);
    return this.reads.some(({ revision, lastKey }) => version <= revision && (lastKey === null || key <= lastKey));
  }

  private decode(item: StoredEntry): JobRecord | null {
    const id = item.key.slice(JOB_PREFIX.length) as JobId;
    const record = decodeJob(item.value);
    if (record) {
      this.unreadableIds.delete(id);
      this.images.record(record.spec);
      return record;
    }
    if (!this.unreadableIds.has(id)) this.context.log('job record not understood', { key: item.key });
    this.unreadableIds.add(id);
    return null;
  }

  private updateRecord(record: JobRecord, version: Revision): CachedJob {
    const { id } = record.spec;
    const known = this.get(id);
    if (known && known.version >= version) return known;
    const job = cachedJob(record, version, this.context.now.monotonic);
    if (job.state === 'accepted') {
      this.accepted.set(id, job);
    } else {
      this.accepted.delete(id);
      this.ended.set(id, job);
    }
    this.onRecord(record, version);
    return job;
  }
}
