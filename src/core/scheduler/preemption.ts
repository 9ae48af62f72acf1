import type { Job, Placement } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import { RESOURCE_TOLERANCE } from '../resource_amounts.js';
import type { Cluster } from '../state/cluster.js';
import type { MonotonicTime, ZoneName } from '../types.js';
import { isFeasibleMachine } from './placement_constraints.js';
import { waitedSeconds } from './ranking.js';
import type { RoundResult } from './round.js';

/** A gang whose room the plan sees no sooner than this, and that has waited so long, may stop lower work. */
const LATE_START_SECONDS = 6;
const MIN_WAITED_SECONDS = 3;
/** So often for one job, and for so many jobs in one round: what is stopped has to be done again. */
const MAX_PREEMPTIONS_PER_JOB = 2;
const MAX_GANGS_PER_ROUND = 4;
/** The room that is made is kept for so long. */
const RESERVATION_MS = 6000;
/** What work without GPUs counts, in GPUs. */
const CPU_WORK_GPU_EQUIVALENT = 0.1;

/** What would have to be stopped on a machine for one task of a job. */
export interface EvictionOption {
  readonly machine: Machine;
  readonly victims: readonly Placement[];
  /** GPU seconds (or core seconds) that are lost, and that the fetch holds the place idle. */
  readonly cost: number;
}

/**
 * Gangs of higher priority that would wait take the places of arrays of lower priority, where least is lost. The plan
 * itself never stops anything; this only makes the room, keeps it for the gang, and leaves the start to the next round.
 */
export function preempt(cluster: Cluster, round: RoundResult): void {
  const roomAt = capacityAvailableAt(round);
  let gangs = 0;
  for (const [slot, job] of round.jobs.entries()) {
    if (gangs >= MAX_GANGS_PER_ROUND) break;
    if ((roomAt.get(slot) ?? 0) < LATE_START_SECONDS || !mayPreempt(cluster, job)) continue;
    const options = cheapestOptions(cluster, job);
    if (!options) continue;
    gangs += 1;
    job.preemptionCount += 1;
    for (const option of options) evictFor(cluster, job, option);
    cluster.context.log('debug', 'lower work makes room', { job: job.id, machines: options.length });
  }
}

/** By slot, when the plan sees room for a whole job; infinite where it sees none. */
function capacityAvailableAt({ capacityPlan }: RoundResult): Map<number, number> {
  const roomAt = new Map<number, number>();
  for (const { jobIndex, freeAtSeconds } of capacityPlan.starts)
    roomAt.set(jobIndex, Math.max(roomAt.get(jobIndex) ?? 0, freeAtSeconds));
  for (const slot of capacityPlan.unplacedTasks.keys()) roomAt.set(slot, Number.POSITIVE_INFINITY);
  return roomAt;
}

/** Stops what is in the way on a machine, and keeps the room for the job. */
export function evictFor(cluster: Cluster, job: Job, { machine, victims }: EvictionOption): void {
  machine.reserve(job.id, cluster.context.after(RESERVATION_MS));
  for (const victim of victims) cluster.placements.evict(victim, 0);
}

function mayPreempt(cluster: Cluster, job: Job): boolean {
  const { spec } = job;
  return (
    job.isGang &&
    !job.isFaulty &&
    spec.priorityLevel > 0 &&
    !spec.zoneSpread &&
    job.placements.size === 0 &&
    !job.gangBroken &&
    job.preemptionCount < MAX_PREEMPTIONS_PER_JOB &&
    waitedSeconds(cluster, job) >= MIN_WAITED_SECONDS &&
    cluster.quotas.remainingTasks(spec) >= spec.taskCount
  );
}

/** The machines, in one zone if the job wants that, on which room for all its tasks costs least. */
function cheapestOptions(cluster: Cluster, job: Job): EvictionOption[] | null {
  let cheapest: EvictionOption[] | null = null;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const options of optionsByZone(cluster, job)) {
    if (options.length < job.spec.taskCount) continue;
    const chosen = options.sort((a, b) => a.cost - b.cost).slice(0, job.spec.taskCount);
    const cost = chosen.reduce((sum, option) => sum + option.cost, 0);
    if (cost >= lowestCost) continue;
    cheapest = chosen;
    lowestCost = cost;
  }
  return cheapest;
}

/** All options of each zone, or of all zones together where the job may use several. */
function optionsByZone(cluster: Cluster, job: Job): Iterable<EvictionOption[]> {
  const byZone = new Map<ZoneName | null, EvictionOption[]>();
  for (const machine of cluster.machines.values()) {
    const option = evictionOption(cluster, job, machine);
    if (!option) continue;
    const zone = job.spec.singleZone ? machine.zone : null;
    const options = byZone.get(zone);
    if (options) options.push(option);
    else byZone.set(zone, [option]);
  }
  return byZone.values();
}

/** What would have to be stopped on a machine for one task of the job, and what that costs; null if it can't be. */
export function evictionOption(cluster: Cluster, job: Job, machine: Machine): EvictionOption | null {
  const { spec } = job;
  const { context } = cluster;
  const now = context.now.monotonic;
  if (!machine.isSchedulable(now, context.settings.workers.heartbeatIntervalMs) || !isFeasibleMachine(job, machine))
    return null;
  if (machine.isReservedForOther(job.id, now)) return null;
  // What is being stopped already comes free by itself, and not for this job.
  for (const { pendingStop } of machine.placements.values()) if (pendingStop !== null) return null;
  const { type } = machine;
  let cpus = type.cpus - machine.usedCpus;
  let gpus = type.gpus - machine.usedGpus;
  let memGb = type.memoryGb - machine.usedMemoryGb;
  const hasRoom = (): boolean =>
    cpus + RESOURCE_TOLERANCE >= spec.cpus &&
    gpus + RESOURCE_TOLERANCE >= spec.gpus &&
    memGb + RESOURCE_TOLERANCE >= spec.memoryGb;
  const fetchS = machine.images.remainingPullSeconds(spec.image, spec.imageGb, now);
  let cost = fetchS * Math.max(spec.gpus, CPU_WORK_GPU_EQUIVALENT);
  const victims: Placement[] = [];
  for (const { placement, lost } of lowerPriorityTasks(machine, job, now)) {
    if (hasRoom()) break;
    const victim = placement.job.spec;
    victims.push(placement);
    cost += lost;
    cpus += victim.cpus;
    gpus += victim.gpus;
    memGb += victim.memoryGb;
  }
  return hasRoom() ? { machine, victims, cost } : null;
}

/** Array tasks of lower priority on a machine, those first of which least is lost. */
function lowerPriorityTasks(machine: Machine, job: Job, now: MonotonicTime): { placement: Placement; lost: number }[] {
  const lower: { placement: Placement; lost: number }[] = [];
  for (const placement of machine.placements.values()) {
    const { spec } = placement.job;
    if (spec.kind !== 'array' || spec.priorityLevel >= job.spec.priorityLevel) continue;
    const ranS = placement.runningSince === null ? 0 : (now - placement.runningSince) / 1000;
    lower.push({ placement, lost: ranS * Math.max(spec.gpus, CPU_WORK_GPU_EQUIVALENT) });
  }
  return lower.sort((a, b) => a.lost - b.lost);
}
