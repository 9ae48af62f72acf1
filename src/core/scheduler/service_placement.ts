/** Places the replicas of services, before the search of a planning round and independently of it. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import { applyPreemption, applyReplicaStart, beginReplicaWait, endReplicaWait } from './apply.js';
import type { ClusterState, SchedulableCluster } from './cluster_state.js';
import type { Eviction } from './decisions.js';
import { findEviction, PREEMPTION_RESERVATION_MS } from './eviction.js';
import { canPlaceTask, fitsTypesWithoutGpus, isInBoundZone } from './placement_constraints.js';
import { bestFitMachine, gpuMachineCheck, isAvailableTo, leavesGpusUnused } from './replica_placement.js';
import { waitingServices } from './waiting_services.js';
import { useZoneAllowance, type ZoneAllowance, zoneAllowance } from './zone_allowance.js';

/** Maximum number of replicas for which one call may preempt work of lower priority. */
const MAX_PREEMPTIONS_PER_CALL = 24;
/** Cost that each other replica of the service on the machine adds to an eviction there, in GPU seconds. */
const SHARED_MACHINE_COST = 0.5;

/**
 * Places waiting replicas by best fit over all zones. Each replica goes to the machine on which it starts soonest,
 * according to its image pull and the machine's penalties. Of machines with equal start delay, the one with the least
 * free capacity is used. If there is no machine for a replica, it may preempt arrays of lower priority. The call is
 * cheap enough to be made after every event that requires it. Returns the number of replicas placed.
 */
export function placeServices(cluster: SchedulableCluster): number {
  if (!cluster.jobs.hasPendingReplicas()) return 0;
  cluster.previousTerms.updateUnreconciled();
  let placed = 0;
  let preemptionsLeft = MAX_PREEMPTIONS_PER_CALL;
  for (const job of waitingServices(cluster)) {
    const allowance = zoneAllowance(cluster, job);
    beginReplicaWait(cluster, job);
    placed += placeReplicas(cluster, job, allowance);
    endReplicaWait(job);
    while (job.startableCount > 0 && preemptionsLeft > 0 && preemptForReplica(cluster, job, allowance)) {
      preemptionsLeft -= 1;
    }
  }
  return placed;
}

function placeReplicas(cluster: SchedulableCluster, job: Job, allowance: ZoneAllowance): number {
  const mayUseGpuMachine = gpuMachineCheck(cluster, job);
  const mayUse = (machine: Machine): boolean => canPlaceTask(cluster, job, machine) && mayUseGpuMachine(machine);
  let placed = 0;
  for (const index of job.pendingTasks(job.spec.taskCount)) {
    if (cluster.quotas.remainingTasks(job.spec) < 1) break;
    const machine = bestFitMachine(cluster, job, allowance, mayUse);
    if (!machine) break;
    applyReplicaStart(cluster, { job, index, machine });
    useZoneAllowance(allowance, machine.zone, job, 1);
    placed += 1;
  }
  return placed;
}

/**
 * Preempts array tasks of lower priority where the least work is lost. The replica starts after they have stopped.
 * Returns whether tasks were preempted.
 */
function preemptForReplica(cluster: SchedulableCluster, job: Job, allowance: ZoneAllowance): boolean {
  if (!mayPreempt(cluster, job)) return false;
  const eviction = cheapestEviction(cluster, job, allowance);
  if (!eviction) return false;
  const { machine } = eviction;
  applyPreemption(cluster, { job, evictions: [eviction], reservationMs: PREEMPTION_RESERVATION_MS });
  useZoneAllowance(allowance, machine.zone, job, 1);
  cluster.context.log('tasks preempted for replica', { job: job.id, machine: machine.id });
  return true;
}

function mayPreempt(cluster: ClusterState, job: Job): boolean {
  if (job.spec.priorityLevel === 0 || cluster.quotas.remainingTasks(job.spec) < 1) return false;
  return reservedMachineCount(cluster, job) < job.startableCount;
}

/** Returns the number of machines that are reserved for the job after a preemption or for a replica move. */
function reservedMachineCount(cluster: ClusterState, job: Job): number {
  const now = cluster.context.now.monotonic;
  let count = 0;
  for (const machine of cluster.machines.values()) if (machine.reservedFor(now) === job.id) count += 1;
  return count;
}

function cheapestEviction(cluster: ClusterState, job: Job, allowance: ZoneAllowance): Eviction | null {
  const avoidGpus = fitsTypesWithoutGpus(cluster, job);
  let cheapest: Eviction | null = null;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const machine of cluster.machines.values()) {
    if (avoidGpus && leavesGpusUnused(job, machine)) continue;
    if (!mayPreemptOn(cluster, job, machine, allowance)) continue;
    const eviction = findEviction(cluster, job, machine);
    if (!eviction || eviction.victims.length === 0) continue;
    const cost = eviction.cost + SHARED_MACHINE_COST * cluster.placements.taskCountOn(job, machine);
    if (cost >= lowestCost) continue;
    cheapest = eviction;
    lowestCost = cost;
  }
  return cheapest;
}

function mayPreemptOn(cluster: ClusterState, job: Job, machine: Machine, allowance: ZoneAllowance): boolean {
  if (machine.reservedFor(cluster.context.now.monotonic) !== null) return false;
  if (!isAvailableTo(cluster, job, machine, allowance)) return false;
  return isInBoundZone(cluster, job, machine.zone);
}
