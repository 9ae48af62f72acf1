import type { Job, Placement } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { ZoneName } from '../types.js';
import {
  canPlaceTask,
  fitsTypesWithoutGpus,
  isFeasibleNow,
  placeTask,
  runsOnlyInZone,
  zoneAllowance,
} from './placement_constraints.js';
import { type EvictionOption, evictFor, evictionOption } from './preemption.js';
import { type GpuDemand, gpuDemand, spareCapacity } from './spare_capacity.js';

/** Seconds of start time that a replica would rather lose than share its machine with another of its service ... */
const SHARED_MACHINE_PENALTY_SECONDS = 8;
/** ... than take a machine with GPUs, whose spare cores other work may want and which it would keep from being returned ... */
const GPU_MACHINE_PENALTY_SECONDS = 12;
/** ... and than take a spot machine that is certain to be lost within the horizon. */
const SPOT_LOSS_PENALTY_SECONDS = 400;
const SPOT_LOSS_HORIZON_SECONDS = 60;
/** Start times are compared in steps of half a second; of equals the machine with least room is taken. */
const DELAY_RANKS_PER_SECOND = 2;
/** A replica leaves alone what is kept for GPU work for so long. */
const AVOID_GPU_MACHINES_MS = 20_000;
/** Room that is found for a replica is kept for it so long. */
const RESERVATION_MS = 6000;
/** At most this part of a service is on its way to other machines at once. */
const MAX_MOVING_SHARE = 0.5;
/** The replicas for which one look makes room by stopping lower work. */
const MAX_PREEMPTIONS_PER_CALL = 24;
/** What another replica on the same machine counts against the cost of stopping work there. */
const SHARED_MACHINE_COST = 0.5;

/** How many replicas each zone may still take, where a service is spread; null: no such limit. */
type ZoneAllowance = Map<ZoneName, number> | null;

/** Services with replicas that wait for a place, those of higher priority first, then those that came first. */
export function waitingServices(cluster: Cluster): Job[] {
  const now = cluster.context.now.monotonic;
  const waiting = [...cluster.jobs.services].filter(
    (job) => job.notBefore <= now && cluster.previousTerms.startableTasks(job) > 0,
  );
  return waiting.sort(
    (a, b) => b.spec.priorityLevel - a.spec.priorityLevel || a.submittedAt - b.submittedAt || (a.id < b.id ? -1 : 1),
  );
}

/**
 * Replicas take the best fit over all zones, outside the search: each goes to the machine where it is there soonest, by
 * the image to fetch and what it had rather avoid, and of equal ones to that with least room. Where there is no room, lower
 * arrays are stopped for it, as the rules of preemption allow. Cheap enough to follow each event that calls for it.
 * Returns how many replicas have got a place.
 */
export function placeServices(cluster: Cluster): number {
  if (!cluster.jobs.hasPendingReplicas()) return 0;
  cluster.previousTerms.updateUnreconciled();
  let placed = 0;
  let stoppedFor = 0;
  for (const job of waitingServices(cluster)) {
    const zoneRoom = zoneAllowance(cluster, job);
    job.replicaPendingSince ??= cluster.context.now.monotonic;
    placed += placeReplicas(cluster, job, zoneRoom);
    if (job.pendingCount === 0) job.replicaPendingSince = null;
    while (job.startableCount > 0 && stoppedFor < MAX_PREEMPTIONS_PER_CALL && preemptForReplica(cluster, job, zoneRoom))
      stoppedFor += 1;
  }
  return placed;
}

function placeReplicas(cluster: Cluster, job: Job, zoneRoom: ZoneAllowance): number {
  const mayTakeGpuCores = gpuMachineCheck(cluster, job);
  const mayTake = (machine: Machine): boolean => canPlaceTask(cluster, job, machine) && mayTakeGpuCores(machine);
  let placed = 0;
  for (const index of job.pendingTasks(job.spec.taskCount)) {
    if (cluster.quotas.remainingTasks(job.spec) < 1) break;
    const machine = bestFitMachine(cluster, job, zoneRoom, mayTake);
    if (!machine) break;
    placeTask(cluster, job, index, machine, cluster.nextAttempt());
    cluster.pendingCommands.machinesWithStarts.add(machine);
    machine.endReservation(job.id);
    useZoneAllowance(zoneRoom, machine.zone, job);
    placed += 1;
  }
  return placed;
}

const hasZoneAllowance = (zoneRoom: ZoneAllowance, zone: ZoneName, job: Job): boolean =>
  zoneRoom === null || (zoneRoom.get(zone) ?? job.maxTasksPerZone) > 0;

function useZoneAllowance(zoneRoom: ZoneAllowance, zone: ZoneName, job: Job): void {
  zoneRoom?.set(zone, (zoneRoom.get(zone) ?? job.maxTasksPerZone) - 1);
}

/** Whether a machine may take a replica now, as far as other claims to it go. */
function isAvailableTo(cluster: Cluster, job: Job, machine: Machine, zoneRoom: ZoneAllowance): boolean {
  const now = cluster.context.now.monotonic;
  if (machine.isReservedForOther(job.id, now)) return false;
  return hasZoneAllowance(zoneRoom, machine.zone, job) && !job.failureHistory.avoids(machine.id, now);
}

const leavesGpusUnused = (job: Job, machine: Machine): boolean => job.spec.gpus === 0 && machine.type.gpus > 0;

/** Among the machines that `mayTake` allows, the one where a replica is there soonest. */
function bestFitMachine(
  cluster: Cluster,
  job: Job,
  zoneRoom: ZoneAllowance,
  mayTake: (machine: Machine) => boolean,
): Machine | null {
  let best: Machine | null = null;
  let bestRank = Number.POSITIVE_INFINITY;
  let bestSlack = Number.POSITIVE_INFINITY;
  for (const machine of cluster.machines.values()) {
    if (!isAvailableTo(cluster, job, machine, zoneRoom) || !mayTake(machine)) continue;
    const rank = Math.round(DELAY_RANKS_PER_SECOND * startDelaySeconds(cluster, job, machine));
    const slack = scarcestFreeShare(machine);
    if (rank > bestRank || (rank === bestRank && slack >= bestSlack)) continue;
    best = machine;
    bestRank = rank;
    bestSlack = slack;
  }
  return best;
}

/**
 * Whether a replica may take cores of a machine with GPUs: those that GPU work has no use for, and any once it has waited
 * for long (service-takes-gpu-cores.txt).
 */
function gpuMachineCheck(cluster: Cluster, job: Job): (machine: Machine) => boolean {
  const { replicaPendingSince, spec } = job;
  const now = cluster.context.now.monotonic;
  if (replicaPendingSince !== null && now - replicaPendingSince >= AVOID_GPU_MACHINES_MS) return () => true;
  let demand: GpuDemand | null = null;
  return (machine) => {
    if (!leavesGpusUnused(job, machine)) return true;
    demand ??= gpuDemand(cluster);
    const spare = spareCapacity(machine, demand);
    return spare.cpus >= spec.cpus && spare.memoryGb >= spec.memoryGb;
  };
}

/** Seconds until a replica would be there, with what it had rather avoid. */
function startDelaySeconds({ context, spotInterruptions }: Cluster, job: Job, machine: Machine): number {
  const { image, imageGb } = job.spec;
  const fetchS = machine.images.remainingPullSeconds(image, imageGb, context.now.monotonic);
  let delayS = fetchS + SHARED_MACHINE_PENALTY_SECONDS * job.replicaCountOn(machine);
  if (leavesGpusUnused(job, machine)) delayS += GPU_MACHINE_PENALTY_SECONDS;
  if (machine.spot) {
    const lossChance = 1 - Math.exp(-SPOT_LOSS_HORIZON_SECONDS * spotInterruptions.perSecond);
    delayS += SPOT_LOSS_PENALTY_SECONDS * lossChance;
  }
  return delayS;
}

/** The part of its scarcest resource that a machine has free. */
function scarcestFreeShare({ type, usedCpus, usedGpus, usedMemoryGb }: Machine): number {
  const freeShare = (used: number, capacity: number): number => (capacity > 0 ? (capacity - used) / capacity : 1);
  return Math.min(
    freeShare(usedCpus, type.cpus),
    freeShare(usedGpus, type.gpus),
    freeShare(usedMemoryGb, type.memoryGb),
  );
}

/** Stops lower arrays on the machine where least is lost; the replica follows when they are gone. */
function preemptForReplica(cluster: Cluster, job: Job, zoneRoom: ZoneAllowance): boolean {
  if (job.spec.priorityLevel === 0 || cluster.quotas.remainingTasks(job.spec) < 1) return false;
  if (reservedMachineCount(cluster, job) >= job.startableCount) return false;
  const option = cheapestEviction(cluster, job, zoneRoom);
  if (!option) return false;
  const { machine } = option;
  evictFor(cluster, job, option);
  useZoneAllowance(zoneRoom, machine.zone, job);
  cluster.context.log('debug', 'lower work makes room for a service', { job: job.id, machine: machine.id });
  return true;
}

/** Machines on which room was made or found a moment ago and has not been taken. */
function reservedMachineCount(cluster: Cluster, job: Job): number {
  const now = cluster.context.now.monotonic;
  let count = 0;
  for (const machine of cluster.machines.values()) if (machine.reservedFor(now) === job.id) count += 1;
  return count;
}

function cheapestEviction(cluster: Cluster, job: Job, zoneRoom: ZoneAllowance): EvictionOption | null {
  const now = cluster.context.now.monotonic;
  const avoidGpus = fitsTypesWithoutGpus(cluster, job);
  let cheapest: EvictionOption | null = null;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const machine of cluster.machines.values()) {
    if (avoidGpus && leavesGpusUnused(job, machine)) continue;
    if (machine.reservedFor(now) !== null || !isAvailableTo(cluster, job, machine, zoneRoom)) continue;
    if (job.spec.singleZone && !runsOnlyInZone(job, machine.zone)) continue;
    const option = evictionOption(cluster, job, machine);
    if (!option || option.victims.length === 0) continue;
    const cost = option.cost + SHARED_MACHINE_COST * job.replicaCountOn(machine);
    if (cost >= lowestCost) continue;
    cheapest = option;
    lowestCost = cost;
  }
  return cheapest;
}

/**
 * A replica on a machine that is about to go moves: its new place is found and kept first, so that the gap is a stop and a
 * start. Without one it stays where it is. Never more than half of a service at a time.
 */
export function moveReplica(cluster: Cluster, placement: Placement): void {
  const { job, machine: from } = placement;
  const moving = [...job.placements.values()].filter(({ pendingStop }) => pendingStop !== null).length;
  const maxMoving = Math.max(1, Math.ceil(job.spec.taskCount * MAX_MOVING_SHARE));
  if (moving + job.pendingCount >= maxMoving) return;
  const zoneRoom = zoneAllowance(cluster, job);
  // Its own place comes free with the move.
  zoneRoom?.set(from.zone, (zoneRoom.get(from.zone) ?? job.maxTasksPerZone) + 1);
  const mayTakeGpuCores = gpuMachineCheck(cluster, job);
  const mayTake = (machine: Machine): boolean =>
    machine !== from && isFeasibleNow(cluster, job, machine) && mayTakeGpuCores(machine);
  const to = bestFitMachine(cluster, job, zoneRoom, mayTake);
  if (!to || (job.spec.singleZone && to.zone !== from.zone)) return;
  to.reserve(job.id, cluster.context.after(RESERVATION_MS));
  cluster.context.log('info', 'moving a replica', { job: job.id, from: from.id, to: to.id });
  cluster.placements.stop(placement, 0);
}
