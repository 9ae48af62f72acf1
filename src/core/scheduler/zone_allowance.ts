/** How many more tasks of a job with a zone spread each zone may take. */
import type { Job } from '../jobs/job.js';
import type { ZoneName } from '../types.js';
import type { ClusterState } from './cluster_state.js';

/** Returns the largest number of the job's tasks that one zone may hold. */
export const maxTasksPerZone = ({ spec: { taskCount, zoneSpread } }: Job): number =>
  zoneSpread ? Math.ceil(taskCount / 2) : taskCount;

/** By zone, how many more tasks it may take; null where the job has no zone spread, and so no such limit. */
export type ZoneAllowance = Map<ZoneName, number> | null;

/** Returns what each zone may take now, beside the tasks that the job has there. */
export function zoneAllowance({ context, placements }: ClusterState, job: Job): ZoneAllowance {
  if (!job.spec.zoneSpread) return null;
  const counts = placements.taskCountByZone(job);
  const { zones } = context.settings;
  return new Map(zones.map((zone) => [zone, Math.max(0, maxTasksPerZone(job) - (counts.get(zone) ?? 0))]));
}

/** Returns whether the zone may take one more task. */
export const hasZoneAllowance = (allowance: ZoneAllowance, zone: ZoneName, job: Job): boolean =>
  allowance === null || (allowance.get(zone) ?? maxTasksPerZone(job)) > 0;

/** Counts so many tasks more in the zone, or with a negative number so many fewer. */
export function useZoneAllowance(allowance: ZoneAllowance, zone: ZoneName, job: Job, tasks: number): void {
  allowance?.set(zone, (allowance.get(zone) ?? maxTasksPerZone(job)) - tasks);
}
