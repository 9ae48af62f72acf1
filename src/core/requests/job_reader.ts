/** Reads single job records from the state store, and converts them into responses to users. */
import type { CachedJob, JobSummary } from '../jobs/cached_job.js';
import type { JobCache } from '../jobs/job_cache.js';
import type { JobStatus, TaskCounts, UserResponse } from '../messages.js';
import { jobKey } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { JobId, MonotonicTime } from '../types.js';
import type { RequestContinuation } from './responses.js';
import { MAX_CONFIRMATION_AGE_MS, MAX_CONFIRMATIONS } from './state_validity.js';

const READ_PRIORITY = 2;
const READ_OPTIONS = { timeoutMs: 1000, maxQueueTimeMs: 700, failFast: true } as const;

/** A query for the status of one job. */
export interface StatusQuery extends RequestContinuation {
  readonly id: JobId;
  /** The response if the job does not exist. */
  readonly responseIfMissing: UserResponse;
  /** How often the state has been confirmed too slowly to be sent. */
  readonly slowConfirmations?: number;
}

/** Callbacks for the outcomes of a read, of which exactly one is called. */
interface ReadContinuation {
  /** `sentAt`: when the call was sent. The state may have changed since. */
  readonly onFound: (job: CachedJob, sentAt: MonotonicTime) => void;
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

  /** Returns the status response for a job. */
  statusResponse({ id, state, startTerm, doneTasks }: JobSummary): UserResponse {
    if (state !== 'accepted') return { status: 200, id, jobStatus: state, done: doneTasks, running: 0 };
    const counts = this.taskCounts(id);
    const isStarted = counts ? counts.running > 0 : startTerm > 0;
    const jobStatus: JobStatus = isStarted ? 'running' : 'queued';
    return { status: 200, id, jobStatus, done: counts?.done ?? doneTasks, running: counts?.running ?? 0 };
  }

  /** Reads the job's record from the state store and responds with its state. */
  respond(query: StatusQuery): void {
    const { id, respond, responseIfMissing, onUnavailable } = query;
    this.read(id, {
      onFound: (job, sentAt) => {
        const isOutdated = job.state === 'accepted' && this.isTooOld(sentAt);
        if (isOutdated) this.confirmAgain(query, (again) => this.respond(again));
        else respond(this.statusResponse(job), sentAt);
      },
      onMissing: () => respond(responseIfMissing),
      onUnavailable,
    });
  }

  /** Returns whether a confirmation that was sent at this time is too old for a response with an unfinished state. */
  isTooOld(sentAt: MonotonicTime): boolean {
    return this.context.now.monotonic - sentAt > MAX_CONFIRMATION_AGE_MS;
  }

  /** Calls `confirm` for a query whose state was confirmed too slowly, unless that has happened too often. */
  confirmAgain(query: StatusQuery, confirm: (again: StatusQuery) => void): void {
    const slowConfirmations = (query.slowConfirmations ?? 0) + 1;
    if (slowConfirmations >= MAX_CONFIRMATIONS) query.onUnavailable();
    else confirm({ ...query, slowConfirmations });
  }

  /** Reads a job's record from the state store and updates the cache with it. */
  read(id: JobId, { onFound, onMissing, onUnavailable }: ReadContinuation): void {
    this.context.stateStore.call(
      { op: 'get', key: jobKey(id) },
      READ_PRIORITY,
      (result, sentAt) => {
        if (!result.ok) return onUnavailable();
        if (!result.value.item) return onMissing();
        const job = this.jobCache.update(result.value.item);
        if (job) onFound(job, sentAt);
        else onUnavailable();
      },
      READ_OPTIONS,
    );
  }
}
