import type { Context } from '../context.js';
import type { CachedJob, JobCache } from '../jobs/job_cache.js';
import type { JobStatus, UserAnswer } from '../messages.js';
import { type JobRecord, jobKey } from '../records.js';
import type { JobId } from '../types.js';

const READ_PRIORITY = 2;
const READ_TIMEOUT_MS = 1000;
const READ_QUEUE_MS = 700;

export type OnAnswer = (answer: UserAnswer) => void;

/** How many of a job's tasks are done and run, for display. */
export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

export const BUSY: UserAnswer = { status: 503, problem: 'the state service does not answer', retryAfterS: 1 };
export const NOT_FOUND: UserAnswer = { status: 404, problem: 'no such job' };

/** What becomes of a question about one job. */
export interface JobQuestion {
  readonly id: JobId;
  readonly answer: OnAnswer;
  /** What to answer where there is no such job. */
  readonly ifMissing: UserAnswer;
  /** Called instead of `answer` where the state service gave no answer. */
  readonly failed: () => void;
}

/** Reads single job records and says what users are told of them. */
export class JobReader {
  /** `taskCounts`: null where this node doesn't lead. */
  constructor(
    private readonly ctx: Context,
    private readonly cache: JobCache,
    private readonly taskCounts: (id: JobId) => TaskCounts | null,
  ) {}

  describe(record: JobRecord): UserAnswer {
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
  answer(question: JobQuestion): void {
    this.fetch(
      question.id,
      (job) => question.answer(this.describe(job.record)),
      () => question.answer(question.ifMissing),
      question.failed,
    );
  }

  fetch(id: JobId, found: (job: CachedJob) => void, missing: () => void, failed: () => void): void {
    this.ctx.store(
      { op: 'get', key: jobKey(id) },
      READ_PRIORITY,
      (result) => {
        if (!result.ok) return failed();
        if (!result.value.item) return missing();
        const job = this.cache.update(result.value.item);
        if (job) found(job);
        else failed();
      },
      { timeoutMs: READ_TIMEOUT_MS, maxQueueMs: READ_QUEUE_MS, refuseEarly: true },
    );
  }
}
