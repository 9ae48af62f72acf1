/** How long jobs have waited, and what follows from it. */
import type { Job } from '../jobs/job.js';
import type { ClusterState } from './cluster_state.js';

/** Placement penalties count in full for so long without a running task, and not at all after twice that. */
const FULL_PENALTY_SECONDS = 35;

/** Returns the seconds since the job was submitted: the queuing time q of the paper. */
export const waitedSeconds = ({ context }: ClusterState, job: Job): number =>
  Math.max(0, (context.now.wallClock - job.submittedAt) / 1000);

/** Returns whether a job has waited for longer than `overdue_after_s` and has not begun. */
export function isOverdue(cluster: ClusterState, job: Job): boolean {
  return job.startTerm === 0 && waitedSeconds(cluster, job) > cluster.context.tuning.scheduler.overdue_after_s;
}

/**
 * Returns how much placement penalties count for a job, from 1 (in full) to 0: none of them may keep a job of which nothing
 * runs waiting beside free capacity for ever.
 */
export function penaltyFactor({ context }: ClusterState, job: Job): number {
  if (job.placedCount > 0) return 1;
  const { monotonic, wallClock } = context.now;
  const inactiveMs = job.startTerm === 0 ? wallClock - job.submittedAt : monotonic - job.inactiveSince;
  const inactiveSeconds = inactiveMs / 1000;
  return Math.min(1, Math.max(0, 1 - (inactiveSeconds - FULL_PENALTY_SECONDS) / FULL_PENALTY_SECONDS));
}
