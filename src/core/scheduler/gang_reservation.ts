/** Decides which machines to reserve for overdue gangs until they start. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { ZoneName } from '../types.js';
import type { ClusterState } from './cluster_state.js';
import type { PlannedObjects, Reservation } from './decisions.js';
import type { PlannedStart } from './plan_types.js';
import { isOverdue, waitedSeconds } from './waiting_time.js';

/**
 * Duration of a reservation, in milliseconds. It is longer than the period of planning rounds, so that the next round
 * can renew the reservation before it expires. Without a renewal the machines become available to other jobs.
 */
const RESERVATION_MS = 5000;

/**
 * Returns reservations of the machines that a plan gives to the longest overdue gang of each zone. Without them the
 * next round may plan the gang on other machines while other work takes the capacity that has become free, and a gang
 * that needs several whole machines waits for minutes. Only one gang per zone gets a reservation, because reserved
 * machines stand idle until the last of them is free. Call it after the plan's starts are applied, because a gang that
 * has started needs no reservation.
 */
export function findOverdueGangReservations(
  cluster: ClusterState,
  starts: readonly PlannedStart[],
  planned: PlannedObjects,
): Reservation[] {
  const machinesByGang = [...machinesOfOverdueGangs(cluster, starts, planned)];
  machinesByGang.sort(([first], [second]) => waitedSeconds(cluster, second) - waitedSeconds(cluster, first));
  const reservations: Reservation[] = [];
  const reservedZones = new Set<ZoneName>();
  for (const [job, machines] of machinesByGang) {
    const zones = new Set(machines.map(({ zone }) => zone));
    if ([...zones].some((zone) => reservedZones.has(zone))) continue;
    for (const zone of zones) reservedZones.add(zone);
    reservations.push({ job, machines, durationMs: RESERVATION_MS });
  }
  return reservations;
}

/** Returns the machines that the plan gives to each overdue gang without placements. */
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
