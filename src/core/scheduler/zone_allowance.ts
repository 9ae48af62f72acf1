/** Computes how many more tasks of a job with a zone spread may be placed in each zone. */
import type { Job } from '../jobs/job.js';
import type { ZoneName } from '../types.js';
import type { ClusterState } from './cluster_state.js';

/** Returns the maximum number of the job's tasks in one zone, which is half of them (rounded up) with a zone spread. */
const maxTasksPerZone = ({ spec: { taskCount, zoneSpread } }: Job): number =>
  zoneSpread ? Math.ceil(taskCount / 2) : taskCount;

/** Number of additional tasks allowed in each zone. Null if the job has no zone spread and thus no such limit. */
export type ZoneAllowance = Map<ZoneName, number> | null;

/**
 * Returns how many tasks each zone allows now in addition to the job's tasks that are placed there, or that have not
 * been located after a failover and may be there.
 */
export function zoneAllowance({ context, placements }: ClusterState, job: Job): ZoneAllowance {
  if (!job.spec.zoneSpread) return null;
  const counts = placements.taskCountByZone(job);
  const { zones } = context.settings;
  return new Map(zones.map((zone) => [zone, Math.max(0, remainingTasks(job, counts, zone))]));
}

/** Returns whether the zone allows one more task of the job now. */
export function allowsTaskInZone({ placements }: ClusterState, job: Job, zone: ZoneName): boolean {
  return !job.spec.zoneSpread || remainingTasks(job, placements.taskCountByZone(job), zone) > 0;
}

const remainingTasks = (job: Job, counts: ReadonlyMap<ZoneName, number>, zone: ZoneName): number =>
  maxTasksPerZone(job) - (counts.get(zone) ?? 0) - job.unlocatedCountIn(zone);

/** Returns whether the zone allows one more task of the job. */
export const hasZoneAllowance = (allowance: ZoneAllowance, zone: ZoneName, job: Job): boolean =>
  allowance === null || (allowance.get(zone) ?? maxTasksPerZone(job)) > 0;

/** Subtracts `tasks` from the zone's allowance. A negative number adds to it. Does nothing if there is no limit. */
export function useZoneAllowance(allowance: ZoneAllowance, zone: ZoneName, job: Job, tasks: number): void {
  allowance?.set(zone, (allowance.get(zone) ?? maxTasksPerZone(job)) - tasks);
}
