/** Keeps a controller's copy of the job records up to date by a watch. */
import { type PrefixRead, readPrefix } from '../clients/state_store_reads.js';
import { CLOCK_DRIFT, maxJobViewAgeMs } from '../lease_bounds.js';
import type { StateStoreResponses, StateStoreResultOf, StoredEntry, WatchEvent } from '../messages.js';
import { decodeJob, JOB_PREFIX, type JobRecord } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import { addMilliseconds, type JobId, type MonotonicTime, type Revision } from '../types.js';

/** For how long a watch without news waits at the state store. */
const FOLLOWER_WATCH_MS = 4000;
/** The leader asks more often: what starts depends on how fresh its view of cancellations is. */
const LEADER_WATCH_MS = 1000;
/** So many watches fit into the greatest age that the leader's view may have. */
const WATCHES_PER_MAX_VIEW_AGE = 4;
/** How long after one response of the watch the next is sent: each costs a call, and brings all that came meanwhile. */
const LEADER_WATCH_PAUSE_MS = 120;
const FOLLOWER_WATCH_PAUSE_MS = 800;
const WATCH_GRACE_MS = 2000;
const WATCH_QUEUE_MS = 5000;
const WATCH_RETRY_MS = 250;
const READ_RETRY_MS = 300;

/** A job's record, and the version of its key that it was read at. */
export interface CachedJob {
  readonly record: JobRecord;
  readonly version: Revision;
}

/** Hears whether a read of all records has worked. */
type OnRead = (succeeded: boolean) => void;

/**
 * A controller's copy of the job records. It may lag, so nothing that isn't final is told from it alone: it saves reads, as
 * one compare-only transaction then confirms many records at once (linearizable_reads.ts).
 */
export class JobCache {
  private readonly jobs = new Map<JobId, CachedJob>();
  /** Jobs on record whose records aren't understood: a later release may have written them. */
  private readonly unreadableIds = new Set<JobId>();
  /** The revision from which the watch goes on; null: all has to be read first. */
  private watchRevision: Revision | null = null;
  private readInFlight = false;
  private rereadRequested = false;
  private readCallbacks: OnRead[] = [];
  private watchInFlight = false;
  private readonly watchTimer: Timer;
  private isLeader = false;
  private readonly leaderWatchMs: number;
  private asOf: MonotonicTime;

  /** `onRecord` is told of each record that is newer than what was known. */
  constructor(
    private readonly context: StepContext,
    private readonly onRecord: (job: CachedJob) => void,
  ) {
    this.watchTimer = context.timers.create(() => this.watchOrReadAll());
    // Where `cancel_s` leaves little time, the view has to be the fresher (tight-cancel.txt).
    this.leaderWatchMs = Math.min(LEADER_WATCH_MS, maxJobViewAgeMs(context.settings) / WATCHES_PER_MAX_VIEW_AGE);
    this.asOf = context.now.monotonic;
  }

  /** Everything that the state store held at this time is known here. */
  get currentAsOf(): MonotonicTime {
    return this.asOf;
  }

  /** Jobs on record whose records aren't understood: a later release may have written them. */
  get unreadableJobs(): ReadonlySet<JobId> {
    return this.unreadableIds;
  }

  /** Returns undefined for a job of which no record is known here. */
  get(id: JobId): CachedJob | undefined {
    return this.jobs.get(id);
  }

  /** Returns all jobs, in no order. */
  all(): Iterable<CachedJob> {
    return this.jobs.values();
  }

  /** How many jobs are known. */
  get size(): number {
    return this.jobs.size;
  }

  /** A leader watches more often. */
  setIsLeader(isLeader: boolean): void {
    this.isLeader = isLeader;
  }

  /** Reads all records anew, beginning after this moment; `done` hears once whether that has worked. */
  read(done: OnRead = () => {}): void {
    this.readCallbacks.push(done);
    // A reading under way may have begun too early for this caller.
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
    readPrefix(this.context.stateStore, JOB_PREFIX, (read) => {
      if (read) this.onAllRead(read, sentAt);
      this.onReadDone(read !== null);
    });
  }

  private onAllRead({ items, revision }: PrefixRead, sentAt: MonotonicTime): void {
    for (const item of items) this.update(item);
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
    if (this.watchInFlight && this.watchRevision !== null) return;
    this.watchTimer.set(this.context.after(ms));
  }

  private watch(after: Revision): void {
    if (this.watchInFlight) return;
    this.watchInFlight = true;
    const waitMs = this.isLeader ? this.leaderWatchMs : FOLLOWER_WATCH_MS;
    let sentAt = this.context.now.monotonic;
    const onResult = (result: StateStoreResultOf<'watch'>): void => {
      this.watchInFlight = false;
      if (result.ok) this.onWatchAnswered(result.value, sentAt, waitMs);
      else this.onWatchFailed(result.error.code === 'gone');
    };
    this.context.stateStore.call({ op: 'watch', prefix: JOB_PREFIX, after, waitMs }, 1, onResult, {
      timeoutMs: waitMs + WATCH_GRACE_MS,
      maxQueueTimeMs: WATCH_QUEUE_MS,
      onSend: (at) => {
        sentAt = at;
      },
    });
  }

  private onWatchAnswered(
    { events, revision }: StateStoreResponses['watch'],
    sentAt: MonotonicTime,
    waitMs: number,
  ): void {
    // A watch without news has waited for its whole time first.
    const knownAt = events.length > 0 ? sentAt : addMilliseconds(sentAt, waitMs * (1 - CLOCK_DRIFT));
    const currentAsOf = Math.min(knownAt, this.context.now.monotonic) as MonotonicTime;
    if (currentAsOf > this.asOf) this.asOf = currentAsOf;
    for (const event of events) this.applyEvent(event);
    if (this.watchRevision !== null && revision > this.watchRevision) this.watchRevision = revision;
    this.scheduleNextWatch(this.isLeader ? LEADER_WATCH_PAUSE_MS : FOLLOWER_WATCH_PAUSE_MS);
  }

  private onWatchFailed(tooFarBehind: boolean): void {
    if (!tooFarBehind) {
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

  /** Takes over a record as the store holds or held it; one older than what is known is ignored. Null: it isn't understood. */
  update(item: StoredEntry): CachedJob | null {
    const id = item.key.slice(JOB_PREFIX.length) as JobId;
    const known = this.jobs.get(id);
    if (known && known.version >= item.version) return known;
    const record = decodeJob(item.value);
    if (!record) {
      if (!this.unreadableIds.has(id)) this.context.log('job record not understood', { key: item.key });
      this.unreadableIds.add(id);
      return null;
    }
    this.unreadableIds.delete(id);
    const job = { record, version: item.version };
    this.jobs.set(id, job);
    this.onRecord(job);
    return job;
  }
}
