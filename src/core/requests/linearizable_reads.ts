/** Linearizable reads of cached job records. One call to the state store confirms many of them. */
import type { CachedJob } from '../jobs/cached_job.js';
import type { JobCache } from '../jobs/job_cache.js';
import type { StateStoreResultOf } from '../messages.js';
import { JOB_PREFIX, jobKey } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import type { JobId, MonotonicTime } from '../types.js';
import type { JobReader, StatusQuery } from './job_reader.js';

/** How long queries are collected before one call confirms them together. Users wait 2 s for a response. */
const BATCH_WINDOW_MS = 120;
const NEXT_BATCH_MS = 1;
/** The state store accepts this many conditions in a compare-and-swap for each change that its limit permits. */
const CONDITIONS_PER_CHANGE = 4;
const MAX_CONCURRENT = 2;
const CONFIRM_PRIORITY = 2;
const CONFIRM_OPTIONS = { timeoutMs: 1000, maxQueueTimeMs: 600, failFast: true } as const;

/** A cached record, and the queries that get their response when it is confirmed. */
interface BatchedJob {
  readonly job: CachedJob;
  readonly queries: StatusQuery[];
}

/**
 * Handles status queries by linearizable reads. A compare-and-swap without changes only compares versions. If it
 * begins after the queries arrived, it is equivalent to a read of each record. A conflict confirms none of the records.
 * The records that it names are then read, and the other queries join the next batch.
 */
export class LinearizableReads {
  private waiting: StatusQuery[] = [];
  private inFlight = 0;
  private readonly batchTimer: Timer;

  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
    private readonly reader: JobReader,
  ) {
    this.batchTimer = context.timers.create(() => this.sendBatch());
  }

  /** Enqueues a query for a cached job until the next confirmation. For a job that is not cached, reads the record. */
  enqueue(query: StatusQuery): void {
    if (!this.jobCache.get(query.id)) {
      this.reader.respond(query);
      return;
    }
    this.waiting.push(query);
    this.schedule(BATCH_WINDOW_MS);
  }

  private schedule(ms: number): void {
    this.batchTimer.setIfUnset(this.context.after(ms));
  }

  /** Sends a compare-and-swap that confirms the collected queries. */
  private sendBatch(): void {
    if (this.waiting.length === 0 || this.inFlight >= MAX_CONCURRENT) return;
    const batch = this.takeBatch();
    if (this.waiting.length > 0) this.batchTimer.set(this.context.after(NEXT_BATCH_MS));
    if (batch.size === 0) return;
    this.inFlight += 1;
    const conditions = [...batch].map(([id, { job }]) => ({ key: jobKey(id), version: job.version }));
    this.context.stateStore.call(
      { op: 'compareAndSwap', conditions, changes: [] },
      CONFIRM_PRIORITY,
      (result, sentAt) => {
        this.inFlight -= 1;
        if (this.waiting.length > 0) this.schedule(NEXT_BATCH_MS);
        this.onResult(batch, result, sentAt);
      },
      CONFIRM_OPTIONS,
    );
  }

  /**
   * Takes as many cached, unfinished jobs as one call can compare. Finished jobs get their response immediately, and
   * jobs that are no longer cached are read.
   */
  private takeBatch(): Map<JobId, BatchedJob> {
    const limit = CONDITIONS_PER_CHANGE * this.context.settings.stateStore.maxChangesPerTransaction;
    const batch = new Map<JobId, BatchedJob>();
    const later: StatusQuery[] = [];
    for (const query of this.waiting) {
      const batched = batch.get(query.id);
      const job = this.jobCache.get(query.id);
      if (batched) batched.queries.push(query);
      else if (!job) this.reader.respond(query);
      else if (job.state !== 'accepted') query.respond(this.reader.statusResponse(job));
      else if (batch.size < limit) batch.set(query.id, { job, queries: [query] });
      else later.push(query);
    }
    this.waiting = later;
    return batch;
  }

  private onResult(
    batch: ReadonlyMap<JobId, BatchedJob>,
    result: StateStoreResultOf<'compareAndSwap'>,
    sentAt: MonotonicTime,
  ): void {
    if (result.ok) {
      this.onConfirmed(batch, sentAt);
    } else if (result.error.code === 'conflict') {
      this.resolveConflict(batch, new Set(result.error.keys));
    } else {
      for (const { queries } of batch.values()) for (const query of queries) query.onUnavailable();
    }
  }

  private onConfirmed(batch: ReadonlyMap<JobId, BatchedJob>, sentAt: MonotonicTime): void {
    const isTooOld = this.reader.isTooOld(sentAt);
    for (const { job, queries } of batch.values()) {
      for (const query of queries) {
        if (isTooOld) this.reader.confirmAgain(query, (again) => this.enqueue(again));
        else query.respond(this.reader.statusResponse(job), sentAt);
      }
    }
  }

  private resolveConflict(batch: ReadonlyMap<JobId, BatchedJob>, changedKeys: ReadonlySet<string>): void {
    // If the conflict names none of the requested keys, any of the records may have changed.
    const namesAny = [...changedKeys].some((key) => batch.has(key.slice(JOB_PREFIX.length) as JobId));
    for (const [id, { queries }] of batch) {
      const mayHaveChanged = !namesAny || changedKeys.has(jobKey(id));
      for (const query of queries) {
        if (mayHaveChanged) this.reader.respond(query);
        else this.enqueue(query);
      }
    }
  }
}
