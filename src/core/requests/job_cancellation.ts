/** Puts a cancellation on record, and tells the leader of it before the user hears that it holds. */
import type { CachedJob, JobCache } from '../jobs/job_cache.js';
import { type StateStoreResultOf, wasNotExecuted } from '../messages.js';
import { encodeJob, type JobRecord, jobKey } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { JobId } from '../types.js';
import type { JobReader } from './job_reader.js';
import { JOB_NOT_FOUND, type RequestContinuation } from './responses.js';

const MAX_ATTEMPTS = 3;
const WRITE_PRIORITY = 2;
const WRITE_OPTIONS = { timeoutMs: 1000, maxQueueTimeMs: 1000, failFast: true } as const;

/** Tells whoever leads of a cancellation that is on record; `onDone` follows soon, acknowledged or not. */
export type BroadcastCancellation = (id: JobId, onDone: () => void) => void;

/** The record of a cancelled job in the making. */
interface CancelledEntry {
  readonly key: string;
  readonly value: unknown;
  readonly record: JobRecord;
  /** Counted from 1. */
  readonly attempt: number;
}

/** Cancels jobs that are not over; of others it tells the state. */
export class JobCancellation {
  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
    private readonly reader: JobReader,
    private readonly broadcast: BroadcastCancellation,
  ) {}

  /** Tried first on the cached record: the condition on its version shows whether that is the present one. */
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
    switch (job.record.state) {
      case 'cancelled':
        // One that an earlier attempt put on record, without an answer, is news to the leader all the same.
        this.respondCancelled(job.record, continuation);
        return;
      case 'done':
        continuation.respond(this.reader.statusResponse(job.record));
        return;
      case 'accepted':
        this.write(job, continuation, attempt);
        return;
    }
  }

  private write({ record, version }: CachedJob, continuation: RequestContinuation, attempt: number): void {
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
      this.respondCancelled(record, continuation);
      return;
    }
    // Somebody wrote in between, or the outcome is unknown: the record is read again.
    if (wasNotExecuted(result.error) || attempt >= MAX_ATTEMPTS) continuation.onUnavailable();
    else this.readAndCancel(record.spec.id, continuation, attempt + 1);
  }

  private respondCancelled(record: JobRecord, { respond }: RequestContinuation): void {
    this.broadcast(record.spec.id, () => respond(this.reader.statusResponse(record)));
  }
}
