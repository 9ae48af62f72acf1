import type { JobId } from '../../core/types.js';

const JOB_ID = /^job-\d{1,32}$/;

/** The job id that a text holds, or null for anything else. */
export function parseJobId(value: unknown): JobId | null {
  return typeof value === 'string' && JOB_ID.test(value) ? (value as JobId) : null;
}
