/** The form of job ids, as users choose them. */
import type { JobId } from '../../core/types.js';

const JOB_ID = /^job-\d{1,32}$/;

/** Returns the job id that a text holds; null: the value is anything else. */
export function parseJobId(value: unknown): JobId | null {
  return typeof value === 'string' && JOB_ID.test(value) ? (value as JobId) : null;
}
