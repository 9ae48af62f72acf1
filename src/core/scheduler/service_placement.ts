/** Places the replicas of services, outside the search and before it. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import { applyPreemption, applyReplicaStart, beginReplicaWait, endReplicaWait } from './apply.js';
import type { ClusterState, SchedulableCluster } from './cluster_state.js';
import type { Eviction } from './decisions.js';
import { findEviction, PREEMPTION_RESERVATION_MS } from './eviction.js';
import { canPlaceTask, fitsTypesWithoutGpus, runsOnlyInZone } from './placement_constraints.js';
import { bestFitMachine, gpuMachineCheck, isAvailableTo, leavesGpusUnused } from './replica_placement.js';
import { waitingServices } from './waiting_services.js';
import { useZoneAllowance, type ZoneAllowance, zoneAllowance } from './zone_allowance.js';

/** For so many replicas one call may preempt work of lower priority. */
const MAX_PREEMPTIONS_PER_CALL = 24;
/** What another replica on the same machine adds to the cost of an eviction there, in GPU seconds. */
const SHARED_MACHINE_COST = 0.5;

/**
 * Places replicas by best fit over all zones: each goes to the machine where it starts soonest, by the image to pull and
 * the penalties of its machine, and of equal ones to that with least free capacity. Where there is none, arrays of lower
 * priority are preempted, as the rules allow. Cheap enough to follow each event that calls for it. Returns how many
 * replicas were placed.
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

/** Stops arrays of lower priority where least is lost; the replica starts when they are gone. Returns whether it did. */
function preemptForReplica(cluster: SchedulableCluster, job: Job, allowance: ZoneAllowance): boolean {
  if (!mayPreempt(cluster, job)) return false;
  const eviction = cheapestEviction(cluster, job, allowance);
  if (!eviction) return false;
  const { machine } = eviction;
  applyPreemption(cluster, { job, evictions: [eviction], reservationMs: PREEMPTION_RESERVATION_MS });
  useZoneAllowance(allowance, machine.zone, job, 1);
  cluster.context.log('replica preemption', { job: job.id, machine: machine.id });
  return true;
}

function mayPreempt(cluster: ClusterState, job: Job): boolean {
  if (job.spec.priorityLevel === 0 || cluster.quotas.remainingTasks(job.spec) < 1) return false;
  return reservedMachineCount(cluster, job) < job.startableCount;
}

/** Machines that were freed or found for the job a moment ago and that it has not taken yet. */
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
  return !job.spec.singleZone || runsOnlyInZone(cluster, job, machine.zone);
}
