/** Parses job ids, which users choose. */
import type { JobId } from '../../core/types.js';

const JOB_ID = /^job-\d{1,32}$/;

/** Returns the value as a job id, or null if it is not a valid job id. */
export function parseJobId(value: unknown): JobId | null {
  return typeof value === 'string' && JOB_ID.test(value) ? (value as JobId) : null;
}
