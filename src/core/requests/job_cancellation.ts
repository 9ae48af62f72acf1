/** Persists the cancellation of a job, and notifies the leader before the user receives the confirmation. */
import { type CachedJob, type JobSummary, summaryOf } from '../jobs/cached_job.js';
import type { JobCache } from '../jobs/job_cache.js';
import { type StateStoreResultOf, wasNotExecuted } from '../messages.js';
import { encodeJob, type JobRecord, jobKey } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { JobId, Revision } from '../types.js';
import type { JobReader } from './job_reader.js';
import { JOB_NOT_FOUND, type RequestContinuation } from './responses.js';

const MAX_ATTEMPTS = 3;
const WRITE_PRIORITY = 2;
const WRITE_OPTIONS = { timeoutMs: 1000, maxQueueTimeMs: 1000, failFast: true } as const;

/**
 * Notifies the leader of a persisted cancellation. `onDone` is called when the leader has acknowledged it, or after a
 * short timeout.
 */
export type BroadcastCancellation = (id: JobId, onDone: () => void) => void;

/** The record of a cancelled job that is being written. */
interface CancelledEntry {
  readonly key: string;
  readonly value: unknown;
  readonly record: JobRecord;
  /** The number of the attempt to cancel the job, counted from 1. */
  readonly attempt: number;
}

/** Cancels unfinished jobs. For a finished or cancelled job, the response is its state. */
export class JobCancellation {
  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
    private readonly reader: JobReader,
    private readonly broadcast: BroadcastCancellation,
  ) {}

  /**
   * Cancels a job. The first attempt uses the cached record, since the condition on its version shows whether the
   * record is up to date.
   */
  cancel(id: JobId, continuation: RequestContinuation): void {
    const known = this.jobCache.get(id);
    if (known) this.cancelKnown(known, continuation, 1);
    else this.readAndCancel(id, continuation, 1);
  }

  private readAndCancel(id: JobId, continuation: RequestContinuation, attempt: number): void {
    this.reader.read(id, {
      onFound: (job) => this.cancelKnown(job, continuation, attempt),
      onMissing: () => continuation.respond(JOB_NOT_FOUND),
      onUnavailable: continuation.onUnavailable,
    });
  }

  private cancelKnown(job: CachedJob, continuation: RequestContinuation, attempt: number): void {
    switch (job.state) {
      case 'cancelled':
        // An earlier attempt may have persisted the cancellation although its reply was lost. The leader may not know
        // of it yet.
        this.respondCancelled(job, continuation);
        return;
      case 'done':
        continuation.respond(this.reader.statusResponse(job));
        return;
      case 'accepted':
        this.write(job.record, job.version, continuation, attempt);
        return;
    }
  }

  private write(record: JobRecord, version: Revision, continuation: RequestContinuation, attempt: number): void {
    const cancelled: JobRecord = { ...record, state: 'cancelled' };
    const key = jobKey(record.spec.id);
    const value = encodeJob(cancelled, this.context.settings.stateStore.maxValueBytes);
    const entry: CancelledEntry = { key, value, record: cancelled, attempt };
    this.context.stateStore.call(
      { op: 'compareAndSwap', conditions: [{ key, version }], changes: [{ put: key, value }] },
      WRITE_PRIORITY,
      (result) => this.onResult(entry, result, continuation),
      WRITE_OPTIONS,
    );
  }

  private onResult(
    entry: CancelledEntry,
    result: StateStoreResultOf<'compareAndSwap'>,
    continuation: RequestContinuation,
  ): void {
    const { key, value, record, attempt } = entry;
    if (result.ok) {
      this.jobCache.update({ key, value, version: result.value.revision });
      this.respondCancelled(summaryOf(record), continuation);
      return;
    }
    // If another controller has changed the record meanwhile, or the outcome is unknown, the record is read again.
    if (wasNotExecuted(result.error) || attempt >= MAX_ATTEMPTS) continuation.onUnavailable();
    else this.readAndCancel(record.spec.id, continuation, attempt + 1);
  }

  private respondCancelled(job: JobSummary, { respond }: RequestContinuation): void {
    this.broadcast(job.id, () => respond(this.reader.statusResponse(job)));
  }
}
