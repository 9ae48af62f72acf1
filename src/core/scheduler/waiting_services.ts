/** Determines which services wait for machines, and in which order machines are assigned to them. */
import type { Job } from '../jobs/job.js';
import type { ClusterState } from './cluster_state.js';
import { hasStartableTasks } from './placement_constraints.js';

/** Returns services with replicas that may start now, in descending order of priority and then in submission order. */
export function waitingServices(cluster: ClusterState): Job[] {
  const waiting = [...cluster.jobs.services].filter((job) => hasStartableTasks(cluster, job));
  return waiting.sort(
    (first, second) =>
      second.spec.priorityLevel - first.spec.priorityLevel ||
      first.submittedAt - second.submittedAt ||
      (first.id < second.id ? -1 : 1),
  );
}
