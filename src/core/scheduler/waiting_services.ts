/** Determines which services wait for machines, and in which order machines are assigned to them. */
import type { Job } from '../jobs/job.js';
import type { ClusterState } from './cluster_state.js';

/** Returns services with replicas that may start now, in descending order of priority and then in submission order. */
export function waitingServices(cluster: ClusterState): Job[] {
  const now = cluster.context.now.monotonic;
  const waiting = [...cluster.jobs.services].filter(
    (job) => !job.retries.isDelayed(now) && cluster.previousTerms.startableTaskCount(job) > 0,
  );
  return waiting.sort(
    (first, second) =>
      second.spec.priorityLevel - first.spec.priorityLevel ||
      first.submittedAt - second.submittedAt ||
      (first.id < second.id ? -1 : 1),
  );
}
