import type { CachedJob, JobCache } from '../jobs/job_cache.js';
import type { JobStatus, UserResponse } from '../messages.js';
import { type JobRecord, jobKey } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { JobId } from '../types.js';

const READ_PRIORITY = 2;
const READ_TIMEOUT_MS = 1000;
const READ_QUEUE_MS = 700;

export type Respond = (answer: UserResponse) => void;

/** How many of a job's tasks are done and run, for display. */
export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

export const STATE_STORE_UNAVAILABLE: UserResponse = {
  status: 503,
  problem: 'the state service does not answer',
  retryAfterSeconds: 1,
};
export const JOB_NOT_FOUND: UserResponse = { status: 404, problem: 'no such job' };

/** What becomes of a question about one job. */
export interface StatusQuery {
  readonly id: JobId;
  readonly respond: Respond;
  /** What to answer where there is no such job. */
  readonly responseIfMissing: UserResponse;
  /** Called instead of `answer` where the state service gave no answer. */
  readonly onUnavailable: () => void;
}

/** Reads single job records and says what users are told of them. */
export class JobReader {
  /** `taskCounts`: null where this node doesn't lead. */
  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
    private readonly taskCounts: (id: JobId) => TaskCounts | null,
  ) {}

  statusResponse(record: JobRecord): UserResponse {
    const { id } = record.spec;
    if (record.state !== 'accepted') {
      return { status: 200, id, jobStatus: record.state, done: record.done.count, running: 0 };
    }
    const counts = this.taskCounts(id);
    const started = counts ? counts.running > 0 : record.startTerm > 0;
    const jobStatus: JobStatus = started ? 'running' : 'queued';
    return { status: 200, id, jobStatus, done: counts?.done ?? record.done.count, running: counts?.running ?? 0 };
  }

  /** Answers with the job's state as the store holds it now. */
  respond(question: StatusQuery): void {
    this.read(
      question.id,
      (job) => question.respond(this.statusResponse(job.record)),
      () => question.respond(question.responseIfMissing),
      question.onUnavailable,
    );
  }

  read(id: JobId, found: (job: CachedJob) => void, missing: () => void, failed: () => void): void {
    this.context.stateStore.call(
      { op: 'get', key: jobKey(id) },
      READ_PRIORITY,
      (result) => {
        if (!result.ok) return failed();
        if (!result.value.item) return missing();
        const job = this.jobCache.update(result.value.item);
        if (job) found(job);
        else failed();
      },
      { timeoutMs: READ_TIMEOUT_MS, maxQueueTimeMs: READ_QUEUE_MS, failFast: true },
    );
  }
}
