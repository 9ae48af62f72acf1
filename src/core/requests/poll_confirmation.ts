import type { Context } from '../context.js';
import type { CachedJob, JobCache } from '../jobs/job_cache.js';
import type { Result, StoreValue } from '../messages.js';
import { JOB_PREFIX, jobKey } from '../records.js';
import type { JobId } from '../types.js';
import type { JobQuestion, JobReader } from './job_reader.js';

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
interface Batched {
  readonly job: CachedJob;
  readonly questions: JobQuestion[];
}

/**
 * Confirms many cached records by one transaction that only compares their versions: begun after the questions arrived, it
 * says as much as a read of each. One that fails confirms nothing: the records that it names are read, and the others go
 * with the next.
 */
export class PollConfirmation {
  private waiting: JobQuestion[] = [];
  private inFlight = 0;

  constructor(
    private readonly ctx: Context,
    private readonly cache: JobCache,
    private readonly reader: JobReader,
  ) {}

  /** A question about a job that the cache knows waits for the next confirmation; any other is read. */
  add(question: JobQuestion): void {
    if (!this.cache.get(question.id)) {
      this.reader.answer(question);
      return;
    }
    this.waiting.push(question);
    this.schedule(GATHER_MS);
  }

  private schedule(ms: number): void {
    this.ctx.timers.setIfUnset('pollConfirmation', this.ctx.after(ms));
  }

  /** Confirms what was gathered. */
  confirm(): void {
    if (this.waiting.length === 0 || this.inFlight >= MAX_CONCURRENT) return;
    const batch = this.takeBatch();
    if (this.waiting.length > 0) this.ctx.timers.set('pollConfirmation', this.ctx.after(NEXT_BATCH_MS));
    if (batch.size === 0) return;
    this.inFlight += 1;
    const conditions = [...batch].map(([id, { job }]) => ({ key: jobKey(id), version: job.version }));
    this.ctx.store(
      { op: 'txn', conditions, changes: [] },
      CONFIRM_PRIORITY,
      (result) => {
        this.inFlight -= 1;
        if (this.waiting.length > 0) this.schedule(NEXT_BATCH_MS);
        this.onResult(batch, result);
      },
      { timeoutMs: CONFIRM_TIMEOUT_MS, maxQueueMs: CONFIRM_QUEUE_MS, refuseEarly: true },
    );
  }

  /** As many jobs as one transaction can compare; what needs no confirmation is answered at once. */
  private takeBatch(): Map<JobId, Batched> {
    const limit = CONDITIONS_PER_CHANGE * this.ctx.settings.store.txnOps;
    const batch = new Map<JobId, Batched>();
    const later: JobQuestion[] = [];
    for (const question of this.waiting) {
      const batched = batch.get(question.id);
      const job = this.cache.get(question.id);
      if (batched) batched.questions.push(question);
      else if (!job) this.reader.answer(question);
      else if (job.record.state !== 'accepted') question.answer(this.reader.describe(job.record));
      else if (batch.size < limit) batch.set(question.id, { job, questions: [question] });
      else later.push(question);
    }
    this.waiting = later;
    return batch;
  }

  private onResult(batch: ReadonlyMap<JobId, Batched>, result: Result<StoreValue>): void {
    const conflict = !result.ok && result.why === 'conflict';
    const changedKeys = new Set(conflict ? (result.keys ?? []) : []);
    // A conflict that names nothing that was asked for confirms nothing.
    const namesAny = [...changedKeys].some((key) => batch.has(key.slice(JOB_PREFIX.length) as JobId));
    for (const [id, { job, questions }] of batch) {
      const mayHaveChanged = !namesAny || changedKeys.has(jobKey(id));
      const settle = (question: JobQuestion): void => {
        if (result.ok) question.answer(this.reader.describe(job.record));
        else if (!conflict) question.failed();
        else if (mayHaveChanged) this.reader.answer(question);
        else this.add(question);
      };
      questions.forEach(settle);
    }
  }
}
