import type { CachedJob, JobCache } from '../jobs/job_cache.js';
import type { StateStoreResult } from '../messages.js';
import { JOB_PREFIX, jobKey } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import type { JobId } from '../types.js';
import type { JobReader, StatusQuery } from './job_reader.js';

/** Polls that come within so many milliseconds are confirmed by one call. Users wait 2 s for an answer. */
const GATHER_MS = 120;
const NEXT_BATCH_MS = 1;
/** The state service takes so many times as many conditions as changes in a transaction. */
const CONDITIONS_PER_CHANGE = 4;
const MAX_CONCURRENT = 2;
const CONFIRM_PRIORITY = 2;
const CONFIRM_TIMEOUT_MS = 1000;
const CONFIRM_QUEUE_MS = 600;

/** A cached record, and the questions that its confirmation answers. */
interface BatchedJob {
  readonly job: CachedJob;
  readonly queries: StatusQuery[];
}

/**
 * Confirms many cached records by one transaction that only compares their versions: begun after the questions arrived, it
 * says as much as a read of each. One that fails confirms nothing: the records that it names are read, and the others go
 * with the next.
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

  /** A question about a job that the cache knows waits for the next confirmation; any other is read. */
  enqueue(question: StatusQuery): void {
    if (!this.jobCache.get(question.id)) {
      this.reader.respond(question);
      return;
    }
    this.waiting.push(question);
    this.schedule(GATHER_MS);
  }

  private schedule(ms: number): void {
    this.batchTimer.setIfUnset(this.context.after(ms));
  }

  /** Confirms what was gathered. */
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
      (result) => {
        this.inFlight -= 1;
        if (this.waiting.length > 0) this.schedule(NEXT_BATCH_MS);
        this.onResult(batch, result);
      },
      { timeoutMs: CONFIRM_TIMEOUT_MS, maxQueueTimeMs: CONFIRM_QUEUE_MS, failFast: true },
    );
  }

  /** As many jobs as one transaction can compare; what needs no confirmation is answered at once. */
  private takeBatch(): Map<JobId, BatchedJob> {
    const limit = CONDITIONS_PER_CHANGE * this.context.settings.stateStore.maxChangesPerTransaction;
    const batch = new Map<JobId, BatchedJob>();
    const later: StatusQuery[] = [];
    for (const question of this.waiting) {
      const batched = batch.get(question.id);
      const job = this.jobCache.get(question.id);
      if (batched) batched.queries.push(question);
      else if (!job) this.reader.respond(question);
      else if (job.record.state !== 'accepted') question.respond(this.reader.statusResponse(job.record));
      else if (batch.size < limit) batch.set(question.id, { job, queries: [question] });
      else later.push(question);
    }
    this.waiting = later;
    return batch;
  }

  private onResult(batch: ReadonlyMap<JobId, BatchedJob>, result: StateStoreResult): void {
    if (result.ok) {
      this.respondConfirmed(batch);
    } else if (result.error.code === 'conflict') {
      this.resolveConflict(batch, new Set(result.error.keys));
    } else {
      for (const { queries } of batch.values()) for (const query of queries) query.onUnavailable();
    }
  }

  private respondConfirmed(batch: ReadonlyMap<JobId, BatchedJob>): void {
    for (const { job, queries } of batch.values()) {
      for (const query of queries) query.respond(this.reader.statusResponse(job.record));
    }
  }

  private resolveConflict(batch: ReadonlyMap<JobId, BatchedJob>, changedKeys: ReadonlySet<string>): void {
    // A conflict that names nothing that was asked for confirms nothing.
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
