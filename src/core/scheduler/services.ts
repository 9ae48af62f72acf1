import type { Job, Placement } from '../jobs/job.js';
import type { Cluster } from '../leadership/cluster.js';
import type { Machine } from '../machines/machine.js';
import { steadyPlus, type ZoneName } from '../types.js';
import { couldHost, type GpuWork, gpuWorkOf, mayHost, placeTask, spareRoom } from './hosting.js';
import { optionOn } from './preemption.js';

/** Seconds of start time that a replica would rather lose than share its machine with another of its service ... */
const SHARED_S = 8;
/** ... than take a machine with GPUs, whose spare cores other work may want and which it would keep from being returned ... */
const GPU_S = 12;
/** ... and than take a spot machine for each hundredth of a chance to be lost with it within a minute. */
const SPOT_S = 4;
/** A replica is choosy for so long; then it also takes cores that are kept for GPU work. */
const AVOID_GPU_MS = 20_000;
/** Room that is made or found for a replica is kept for it so long. */
const RESERVED_MS = 6000;
/** So many replicas of one service are on their way to other machines at once. */
const MOVING_MOST_SHARE = 0.5;
/** The replicas for which one look makes room by stopping lower work. */
const STOPPED_FOR_MOST = 24;

/** Services with replicas that wait for a place, those of higher priority first, then those that came first. */
export function waitingServices(cluster: Cluster, unaccounted: number): Job[] {
  const now = cluster.ctx.now.steady;
  const found: Job[] = [];
  for (const job of cluster.services) {
    if (job.pendingCount > 0 && job.notBefore <= now && !cluster.isBlocked(job, unaccounted)) found.push(job);
  }
  return found.sort((a, b) => b.spec.rank - a.spec.rank || a.submittedAt - b.submittedAt || (a.id < b.id ? -1 : 1));
}

/**
 * Replicas take the best fit over all zones, outside the search: each goes to the machine where it is there soonest, by
 * the image to fetch and what it had rather avoid, and of equal ones to that with least room. Where there is no room, lower
 * arrays are stopped for it, as the page on preemption allows. Cheap enough to follow each event that calls for it.
 */
export function placeServices(cluster: Cluster): number {
  if (![...cluster.services].some((job) => job.pendingCount > 0)) return 0;
  const unaccounted = cluster.updateUnreconciled();
  let placed = 0;
  let stoppedFor = 0;
  for (const job of waitingServices(cluster, unaccounted)) {
    const room = zoneRoom(job);
    job.replicaPendingSince ??= cluster.ctx.now.steady;
    for (const index of job.pendingTasks(job.spec.tasks)) {
      const machine = cluster.quotas.room(job.spec) >= 1 ? bestMachine(cluster, job, room) : null;
      if (!machine) break;
      placeTask(cluster, job, index, machine, cluster.nextAttempt());
      cluster.machinesWithStarts.add(machine);
      if (machine.reserved?.job === job.id) machine.reserved = null;
      takeZoneRoom(room, machine.zone, job);
      placed += 1;
    }
    if (job.pendingCount === 0) job.replicaPendingSince = null;
    while (job.pendingCount > 0 && stoppedFor < STOPPED_FOR_MOST && makeRoom(cluster, job, room)) stoppedFor += 1;
  }
  return placed;
}

/** Most replicas that each zone may still take; null: no such limit. */
function zoneRoom(job: Job): Map<ZoneName, number> | null {
  if (!job.spec.spread) return null;
  const left = new Map<ZoneName, number>();
  for (const [zone, n] of job.zoneCounts()) left.set(zone, job.zoneLimit - n);
  return left;
}

function takeZoneRoom(room: Map<ZoneName, number> | null, zone: ZoneName, job: Job): void {
  room?.set(zone, (room.get(zone) ?? job.zoneLimit) - 1);
}

function replicasOn(job: Job, machine: Machine): number {
  let n = 0;
  for (const p of job.placements.values()) if (p.machine === machine) n += 1;
  return n;
}

function bestMachine(cluster: Cluster, job: Job, room: Map<ZoneName, number> | null, not?: Machine): Machine | null {
  const { spec } = job;
  const now = cluster.ctx.now.steady;
  const lost = 1 - Math.exp(-60 * cluster.spotInterruptions.perS);
  // One that has waited for long takes what there is (service-takes-gpu-cores.txt).
  const choosy = job.replicaPendingSince === null || now - job.replicaPendingSince < AVOID_GPU_MS;
  let gpuWork: GpuWork | null = null;
  const isLoose = (machine: Machine): boolean => {
    gpuWork ??= gpuWorkOf(cluster);
    const left = spareRoom(machine, gpuWork);
    return left.cpus >= spec.cpus && left.memGb >= spec.memGb;
  };
  let best: Machine | null = null;
  let bestS = Number.POSITIVE_INFINITY;
  let bestSlack = Number.POSITIVE_INFINITY;
  for (const m of cluster.machines.values()) {
    if (m === not || !mayHost(cluster, job, m, not !== undefined)) continue;
    if (m.reserved && m.reserved.until > now && m.reserved.job !== job.id) continue;
    if (room && (room.get(m.zone) ?? job.zoneLimit) <= 0) continue;
    if (job.avoids(m.id)) continue;
    const gpu = spec.gpus === 0 && m.type.gpus > 0;
    if (gpu && choosy && !isLoose(m)) continue;
    let s = m.fetchSeconds(spec.image, spec.imageGb, now) + SHARED_S * replicasOn(job, m);
    if (gpu) s += GPU_S;
    if (m.spot) s += SPOT_S * 100 * lost;
    s = Math.round(2 * s);
    const slack = Math.min(...slacks(m));
    if (s > bestS || (s === bestS && slack >= bestSlack)) continue;
    best = m;
    bestS = s;
    bestSlack = slack;
  }
  return best;
}

function slacks(machine: Machine): number[] {
  const { type } = machine;
  const of = (used: number, all: number): number => (all > 0 ? (all - used) / all : 1);
  return [of(machine.usedCpus, type.cpus), of(machine.usedGpus, type.gpus), of(machine.usedMemGb, type.memGb)];
}

/** Stops lower arrays on the machine where least is lost; the replica follows when they are gone. */
function makeRoom(cluster: Cluster, job: Job, room: Map<ZoneName, number> | null): boolean {
  const { spec } = job;
  const now = cluster.ctx.now.steady;
  if (spec.rank === 0 || cluster.quotas.room(spec) < 1) return false;
  // Room made a moment ago and not yet taken.
  let coming = 0;
  for (const machine of cluster.machines.values()) {
    if (machine.reserved && machine.reserved.job === job.id && machine.reserved.until > now) coming += 1;
  }
  if (coming >= job.pendingCount) return false;
  const plain = [...cluster.types.values()].some((t) => t.gpus === 0 && t.zones.some((z) => couldHost(job, t, z)));
  let best: { m: Machine; victims: readonly Placement[]; cost: number } | null = null;
  for (const m of cluster.machines.values()) {
    if (spec.gpus === 0 && plain && m.type.gpus > 0) continue;
    if (m.reserved && m.reserved.until > now) continue;
    if (room && (room.get(m.zone) ?? job.zoneLimit) <= 0) continue;
    if (spec.sameZone && [...job.placements.values()].some((p) => p.machine.zone !== m.zone)) continue;
    if (job.avoids(m.id)) continue;
    const option = optionOn(cluster, job, m);
    if (!option || option.victims.length === 0) continue;
    const cost = option.cost + 0.5 * replicasOn(job, m);
    if (best === null || cost < best.cost) best = { m, victims: option.victims, cost };
  }
  if (!best) return false;
  best.m.reserved = { job: job.id, until: steadyPlus(now, RESERVED_MS) };
  for (const placement of best.victims) {
    if (placement.phase === 'planned') cluster.release(placement);
    else cluster.stop(placement, 0);
  }
  takeZoneRoom(room, best.m.zone, job);
  cluster.ctx.log('debug', 'lower work makes room for a service', { job: job.id, machine: best.m.id });
  return true;
}

/**
 * A replica on a machine that is about to go moves: its new place is found and kept first, so that the gap is a stop and a
 * start. Without one it stays where it is. Never more than half of a service at a time.
 */
export function moveReplica(cluster: Cluster, placement: Placement): boolean {
  const { job } = placement;
  let moving = 0;
  for (const other of job.placements.values()) if (other.stop !== null) moving += 1;
  if (moving + job.pendingCount >= Math.max(1, Math.ceil(job.spec.tasks * MOVING_MOST_SHARE))) return false;
  const room = zoneRoom(job);
  // Its own place comes free with the move.
  room?.set(placement.machine.zone, (room.get(placement.machine.zone) ?? job.zoneLimit) + 1);
  const to = bestMachine(cluster, job, room, placement.machine);
  if (!to || (job.spec.sameZone && to.zone !== placement.machine.zone)) return false;
  to.reserved = { job: job.id, until: steadyPlus(cluster.ctx.now.steady, RESERVED_MS) };
  cluster.ctx.log('info', 'moving a replica', { job: job.id, from: placement.machine.id, to: to.id });
  cluster.stop(placement, 0);
  return true;
}
