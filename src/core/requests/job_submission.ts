/** Persists a submitted job. Repeated submissions of the same job persist it only once. */
import type { JobCache } from '../jobs/job_cache.js';
import { RangeSet } from '../jobs/range_set.js';
import type { StateStoreResultOf } from '../messages.js';
import { encodeJob, type JobRecord, jobKey, storedBytes } from '../records.js';
import type { StepContext } from '../step_context.js';
import { ABSENT_VERSION, type JobId, type JobSpec, type MonotonicTime } from '../types.js';
import type { JobReader } from './job_reader.js';
import { type RequestContinuation, STATE_STORE_UNAVAILABLE } from './responses.js';

const WRITE_PRIORITY = 2;
const WRITE_OPTIONS = { timeoutMs: 1200, maxQueueTimeMs: 1500, failFast: true } as const;
/** Bytes below the size limit that a new record leaves free for later additions other than the names of zones. */
const RESERVED_BYTES = 64;

/** The key and stored value of a new job's record. */
interface NewEntry {
  readonly id: JobId;
  readonly key: string;
  readonly value: unknown;
}

/**
 * Handles valid submissions. The job id is the idempotency key, and the response to a repeated submission is the job's
 * state.
 */
export class JobSubmission {
  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
    private readonly reader: JobReader,
  ) {}

  /** Writes the job's record and responds. Returns false, and does nothing, if the record would be too long. */
  trySubmit(spec: JobSpec, continuation: RequestContinuation): boolean {
    const { id } = spec;
    const { maxValueBytes } = this.context.settings.stateStore;
    const entry: NewEntry = { id, key: jobKey(id), value: encodeJob(this.newRecord(spec), maxValueBytes) };
    if (storedBytes(entry.value) > maxValueBytes - this.reservedBytes()) return false;
    this.write(entry, continuation);
    return true;
  }

  private write(entry: NewEntry, continuation: RequestContinuation): void {
    const conditions = [{ key: entry.key, version: ABSENT_VERSION }];
    const changes = [{ put: entry.key, value: entry.value }];
    this.context.stateStore.call(
      { op: 'compareAndSwap', conditions, changes },
      WRITE_PRIORITY,
      (result, sentAt) => this.onResult(entry, result, sentAt, continuation),
      WRITE_OPTIONS,
    );
  }

  private onResult(
    { id, key, value }: NewEntry,
    result: StateStoreResultOf<'compareAndSwap'>,
    sentAt: MonotonicTime,
    continuation: RequestContinuation,
  ): void {
    if (result.ok) {
      this.jobCache.update({ key, value, version: result.value.revision });
      // The job may have been cancelled through another controller since it was written.
      if (this.reader.isTooOld(sentAt))
        this.reader.respond({ id, responseIfMissing: STATE_STORE_UNAVAILABLE, ...continuation });
      else continuation.respond({ status: 201, id, jobStatus: 'queued', done: 0, running: 0 }, sentAt);
      return;
    }
    switch (result.error.code) {
      // Another submission of the job was written first, or this one may have been written. A read shows which. If it
      // finds no record, the user has to retry.
      case 'conflict':
      case 'outcomeUnknown':
        this.reader.respond({ id, responseIfMissing: STATE_STORE_UNAVAILABLE, ...continuation });
        return;
      case 'throttled':
      case 'unavailable':
      case 'invalidRequest':
      case 'gone':
        continuation.onUnavailable();
        return;
    }
  }

  /** Returns the number of bytes by which a record may grow when its first start and its start zones are recorded. */
  private reservedBytes(): number {
    return RESERVED_BYTES + storedBytes(this.context.settings.zones);
  }

  private newRecord(spec: JobSpec): JobRecord {
    return {
      spec,
      submittedAt: this.context.now.wallClock,
      state: 'accepted',
      startTerm: 0,
      startZone: null,
      startZones: null,
      done: new RangeSet(),
    };
  }
}
