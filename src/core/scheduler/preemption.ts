/** Preempts array tasks of lower priority for gangs of higher priority that would otherwise start late. */
import type { Job } from '../jobs/job.js';
import type { ZoneName } from '../types.js';
import { applyGangPreemption } from './apply.js';
import type { ClusterState, SchedulableCluster } from './cluster_state.js';
import type { Eviction } from './decisions.js';
import { findEviction, PREEMPTION_RESERVATION_MS } from './eviction.js';
import type { RoundResult } from './round_result.js';
import { waitedSeconds } from './waiting_time.js';

/** A gang may preempt only if the plan has capacity for it no sooner than this, in seconds from now. */
const LATE_START_SECONDS = 6;
/** Minimum time that a gang must have waited before it may preempt, in seconds. */
const MIN_WAITED_SECONDS = 3;
/** Maximum number of preemptions for one job. They are limited because evicted tasks have to be done again. */
const MAX_PREEMPTIONS_PER_JOB = 2;
/** Maximum number of gangs for which one round may preempt, for the same reason. */
const MAX_GANGS_PER_ROUND = 4;

/**
 * Preempts array tasks of lower priority for gangs of higher priority that would otherwise wait, on the machines where
 * the least work is lost. The plan itself never stops running tasks (Eq. (11) of the EVO-GP paper). A preemption
 * only frees capacity and reserves it for the gang, which the next round starts.
 */
export function preempt(cluster: SchedulableCluster, round: RoundResult): void {
  const freeAtSeconds = capacityFreeAt(round);
  let gangs = 0;
  for (const [jobIndex, job] of round.jobs.entries()) {
    if (gangs >= MAX_GANGS_PER_ROUND) break;
    if ((freeAtSeconds.get(jobIndex) ?? 0) < LATE_START_SECONDS || !mayPreempt(cluster, job)) continue;
    const evictions = cheapestEvictions(cluster, job);
    if (!evictions) continue;
    gangs += 1;
    applyGangPreemption(cluster, { job, evictions, reservationMs: PREEMPTION_RESERVATION_MS });
    cluster.context.log('machines reserved for gang', { job: job.id, machines: evictions.length });
  }
}

/** Returns, by job index, the seconds until the plan has capacity for the whole job, or infinity if it never has. */
function capacityFreeAt({ capacityPlan }: RoundResult): Map<number, number> {
  const latest = new Map<number, number>();
  for (const { jobIndex, freeAtSeconds } of capacityPlan.starts) {
    latest.set(jobIndex, Math.max(latest.get(jobIndex) ?? 0, freeAtSeconds));
  }
  for (const jobIndex of capacityPlan.unplacedTasks.keys()) latest.set(jobIndex, Number.POSITIVE_INFINITY);
  return latest;
}

function mayPreempt(cluster: ClusterState, job: Job): boolean {
  const { spec } = job;
  return (
    job.isGang &&
    !job.isFaulty &&
    spec.priorityLevel > 0 &&
    !spec.zoneSpread &&
    job.placedCount === 0 &&
    !job.gangBroken &&
    job.schedulingHistory.preemptionCount < MAX_PREEMPTIONS_PER_JOB &&
    waitedSeconds(cluster, job) >= MIN_WAITED_SECONDS &&
    cluster.quotas.remainingTasks(spec) >= spec.taskCount
  );
}

/**
 * Returns the evictions that free capacity for all tasks of the job at the lowest cost, or null if there are none. They
 * are in one zone if the job asks for that.
 */
function cheapestEvictions(cluster: ClusterState, job: Job): Eviction[] | null {
  let cheapest: Eviction[] | null = null;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const evictions of evictionsByZone(cluster, job)) {
    if (evictions.length < job.spec.taskCount) continue;
    const chosen = evictions.sort((first, second) => first.cost - second.cost).slice(0, job.spec.taskCount);
    const cost = chosen.reduce((sum, eviction) => sum + eviction.cost, 0);
    if (cost >= lowestCost) continue;
    cheapest = chosen;
    lowestCost = cost;
  }
  return cheapest;
}

/** Returns the possible evictions of each zone, or those of all zones together if the job may use several zones. */
function evictionsByZone(cluster: ClusterState, job: Job): Iterable<Eviction[]> {
  const byZone = new Map<ZoneName | null, Eviction[]>();
  for (const machine of cluster.machines.values()) {
    const eviction = findEviction(cluster, job, machine);
    if (!eviction) continue;
    const zone = job.spec.singleZone ? machine.zone : null;
    const evictions = byZone.get(zone);
    if (evictions) evictions.push(eviction);
    else byZone.set(zone, [eviction]);
  }
  return byZone.values();
}
