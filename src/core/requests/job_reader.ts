/** Reads single job records from the state store, and converts them into responses to users. */
import type { CachedJob, JobCache } from '../jobs/job_cache.js';
import type { JobStatus, TaskCounts, UserResponse } from '../messages.js';
import { type JobRecord, jobKey } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { JobId } from '../types.js';
import type { RequestContinuation } from './responses.js';

const READ_PRIORITY = 2;
const READ_OPTIONS = { timeoutMs: 1000, maxQueueTimeMs: 700, failFast: true } as const;

/** A query for the status of one job. */
export interface StatusQuery extends RequestContinuation {
  readonly id: JobId;
  /** The response if the job does not exist. */
  readonly responseIfMissing: UserResponse;
}

/** Callbacks for the outcomes of a read, of which exactly one is called. */
interface ReadContinuation {
  readonly onFound: (job: CachedJob) => void;
  readonly onMissing: () => void;
  /** The call to the state store failed, or the stored value could not be decoded. */
  readonly onUnavailable: () => void;
}

/** Handles status queries for one job at a time. */
export class JobReader {
  /** `taskCounts` returns null if this controller is not the leader. */
  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
    private readonly taskCounts: (id: JobId) => TaskCounts | null,
  ) {}

  /** Returns the status response for a job with this record. */
  statusResponse(record: JobRecord): UserResponse {
    const { id } = record.spec;
    if (record.state !== 'accepted') {
      return { status: 200, id, jobStatus: record.state, done: record.done.count, running: 0 };
    }
    const counts = this.taskCounts(id);
    const isStarted = counts ? counts.running > 0 : record.startTerm > 0;
    const jobStatus: JobStatus = isStarted ? 'running' : 'queued';
    return { status: 200, id, jobStatus, done: counts?.done ?? record.done.count, running: counts?.running ?? 0 };
  }

  /** Reads the job's record from the state store and responds with its state. */
  respond({ id, respond, responseIfMissing, onUnavailable }: StatusQuery): void {
    this.read(id, {
      onFound: ({ record }) => respond(this.statusResponse(record)),
      onMissing: () => respond(responseIfMissing),
      onUnavailable,
    });
  }

  /** Reads a job's record from the state store and updates the cache with it. */
  read(id: JobId, { onFound, onMissing, onUnavailable }: ReadContinuation): void {
    this.context.stateStore.call(
      { op: 'get', key: jobKey(id) },
      READ_PRIORITY,
      (result) => {
        if (!result.ok) return onUnavailable();
        if (!result.value.item) return onMissing();
        const job = this.jobCache.update(result.value.item);
        if (job) onFound(job);
        else onUnavailable();
      },
      READ_OPTIONS,
    );
  }
}
