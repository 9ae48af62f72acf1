/** What a controller keeps of a job's record. */
import type { JobRecord, JobState } from '../records.js';
import type { JobId, MonotonicTime, Revision } from '../types.js';

/** The parts of a job's record that responses to users depend on. */
export interface JobSummary {
  readonly id: JobId;
  readonly state: JobState;
  /** The term in which the leader first permitted a start of its tasks. 0 if none was permitted yet. */
  readonly startTerm: number;
  /** Number of tasks whose completion is stored. */
  readonly doneTasks: number;
}

/** What a controller knows of a job's record. */
export type CachedJob = JobSummary & {
  /** The version of its key at which the record was read. */
  readonly version: Revision;
  /** When this controller learned of the version. */
  readonly knownSince: MonotonicTime;
} & (
    | { readonly state: 'accepted' | 'cancelled'; readonly record: JobRecord }
    // Nothing else of a job is needed once it is done.
    | { readonly state: 'done'; readonly record: null }
  );

/** A job of which tasks may be on machines. */
export type CachedJobWithTasks = Extract<CachedJob, { readonly record: JobRecord }>;

/** Returns the summary of a job with this record. */
export const summaryOf = ({ spec, state, startTerm, done }: JobRecord): JobSummary => ({
  id: spec.id,
  state,
  startTerm,
  doneTasks: done.count,
});

/** Returns what is kept of a job with this record. */
export function cachedJob(record: JobRecord, version: Revision, knownSince: MonotonicTime): CachedJob {
  const { state } = record;
  const known = { ...summaryOf(record), version, knownSince };
  return state === 'done' ? { ...known, state, record: null } : { ...known, state, record };
}

/** Returns whether the job has ended and none of its tasks can be on a machine. */
export const hasNoTasks = ({ state, startTerm }: JobRecord): boolean =>
  state === 'done' || (state === 'cancelled' && startTerm === 0);
