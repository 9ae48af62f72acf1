/** Decides which machines are kept for overdue gangs until they start. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { ZoneName } from '../types.js';
import type { ClusterState } from './cluster_state.js';
import type { PlannedObjects, Reservation } from './decisions.js';
import type { PlannedStart } from './plan_types.js';
import { isOverdue, waitedSeconds } from './waiting_time.js';

/** Longer than a round's period: the next round renews it, or leaves the machines to others. */
const RESERVATION_MS = 5000;

/**
 * Returns reservations of the machines that a plan gives to each zone's longest overdue gang. Without them the next round
 * may plan the gang elsewhere, other work takes what has come free meanwhile, and a gang of several whole machines waits
 * for minutes. One gang a zone: what is kept stands idle until the last machine is free. Asked after the plan's starts are
 * applied, because a gang that has begun needs none.
 */
export function findOverdueGangReservations(
  cluster: ClusterState,
  starts: readonly PlannedStart[],
  planned: PlannedObjects,
): Reservation[] {
  const machinesByGang = [...machinesOfOverdueGangs(cluster, starts, planned)];
  machinesByGang.sort(([first], [second]) => waitedSeconds(cluster, second) - waitedSeconds(cluster, first));
  const reservations: Reservation[] = [];
  const servedZones = new Set<ZoneName>();
  for (const [job, machines] of machinesByGang) {
    const zones = new Set(machines.map(({ zone }) => zone));
    if ([...zones].some((zone) => servedZones.has(zone))) continue;
    for (const zone of zones) servedZones.add(zone);
    reservations.push({ job, machines, durationMs: RESERVATION_MS });
  }
  return reservations;
}

/** Of each overdue gang without placements, the machines that the plan gives it. */
function machinesOfOverdueGangs(
  cluster: ClusterState,
  starts: readonly PlannedStart[],
  { jobs, machines }: PlannedObjects,
): Map<Job, Machine[]> {
  const machinesByGang = new Map<Job, Machine[]>();
  for (const { jobIndex, machineIndex } of starts) {
    const job = jobs[jobIndex] as Job;
    if (!job.isGang || job.placedCount > 0 || !isOverdue(cluster, job)) continue;
    const chosen = machinesByGang.get(job) ?? [];
    chosen.push(machines[machineIndex] as Machine);
    machinesByGang.set(job, chosen);
  }
  return machinesByGang;
}
