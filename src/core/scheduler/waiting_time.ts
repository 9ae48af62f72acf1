/** Computes how long jobs have waited, whether they are overdue, and the factor on their placement penalties. */
import type { Job } from '../jobs/job.js';
import type { ClusterState } from './cluster_state.js';

/**
 * Time without a placed task up to which placement penalties apply in full, in seconds. They decrease linearly to zero
 * at twice this time.
 */
const FULL_PENALTY_SECONDS = 35;

/** Returns the seconds since the job was submitted (the queuing time q in the EVO-GP paper). */
export const waitedSeconds = ({ context }: ClusterState, job: Job): number =>
  Math.max(0, (context.now.wallClock - job.submittedAt) / 1000);

/** Returns whether a job has never been started and has waited longer than `overdue_after_s`. */
export function isOverdue(cluster: ClusterState, job: Job): boolean {
  return job.startTerm === 0 && waitedSeconds(cluster, job) > cluster.context.tuning.scheduler.overdue_after_s;
}

/**
 * Returns the factor on a job's placement penalties, from 1 (in full) to 0. It falls to 0 while no task of the job is
 * placed, so that penalties cannot keep a job waiting indefinitely while there is free capacity.
 */
export function penaltyFactor({ context }: ClusterState, job: Job): number {
  if (job.placedCount > 0) return 1;
  const { monotonic, wallClock } = context.now;
  const inactiveMs = job.startTerm === 0 ? wallClock - job.submittedAt : monotonic - job.inactiveSince;
  const inactiveSeconds = inactiveMs / 1000;
  return Math.min(1, Math.max(0, 1 - (inactiveSeconds - FULL_PENALTY_SECONDS) / FULL_PENALTY_SECONDS));
}
