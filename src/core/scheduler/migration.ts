/** Moves gangs that are still pulling their image to machines that have it cached. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { ZoneName } from '../types.js';
import { applyGangMigration } from './apply.js';
import type { ClusterState, SchedulableCluster } from './cluster_state.js';
import type { GangMigration } from './decisions.js';
import { isFeasibleNow } from './placement_constraints.js';

/** Minimum remaining time of an image pull for which a gang is moved, in seconds. */
const MIN_REMAINING_PULL_SECONDS = 6;
const MAX_MIGRATIONS_PER_JOB = 3;
const RESERVATION_MS = 2500;

/**
 * Moves each gang whose image pull will still take long to machines that have the image cached and have become free.
 * Stopping a pull loses no work. The plan therefore need not rely on an estimate of when machines become free. The gang
 * begins to pull at once, and moves if that lets it start sooner. It starts on the new machines after its stops have
 * been reported, as with any restart.
 */
export function migrateToCachedImages(cluster: SchedulableCluster): void {
  for (const job of cluster.jobs.active) {
    const migration = findMigration(cluster, job);
    if (!migration) continue;
    const machines = migration.targets.map(({ id }) => id);
    cluster.context.log('gang migration started', { job: job.id, machines });
    applyGangMigration(cluster, migration);
  }
}

/** Returns null if the job may not move or if there are no better machines for it. */
function findMigration(cluster: ClusterState, job: Job): GangMigration | null {
  if (!mayMigrate(job) || remainingPullSeconds(cluster, job) < MIN_REMAINING_PULL_SECONDS) return null;
  const targets = machinesWithImage(cluster, job);
  return targets && { job, targets, reservationMs: RESERVATION_MS };
}

function mayMigrate(job: Job): boolean {
  if (!job.isGang || job.isFaulty || job.state !== 'accepted' || job.gangBroken) return false;
  // A zone spread would have to hold across the old and the new machines, which is not worth the complexity here.
  if (job.spec.zoneSpread || job.schedulingHistory.migrationCount >= MAX_MIGRATIONS_PER_JOB) return false;
  return job.placedCount === job.spec.taskCount;
}

/** Returns the seconds until the gang's last image pull ends, or 0 if a task is not pulling or is being stopped. */
function remainingPullSeconds({ context, placements }: ClusterState, job: Job): number {
  const { image, imageGb } = job.spec;
  let longest = 0;
  for (const { phase, pendingStop, machine } of placements.ofJob(job).values()) {
    if (phase !== 'pulling' || pendingStop !== null) return 0;
    longest = Math.max(longest, machine.images.remainingPullSeconds(image, imageGb, context.now.monotonic));
  }
  return longest;
}

/**
 * Returns machines that have the image cached and free capacity for the whole gang now, or null if there are too few.
 * They are in one zone if the job asks for that.
 */
function machinesWithImage(cluster: ClusterState, job: Job): Machine[] | null {
  const { spec } = job;
  const now = cluster.context.now.monotonic;
  const machinesByZone = new Map<ZoneName | null, Machine[]>();
  for (const machine of cluster.machines.values()) {
    if (!machine.images.has(spec.image) || !isFeasibleNow(cluster, job, machine)) continue;
    if (machine.isReservedForOther(job.id, now)) continue;
    const zone = spec.singleZone ? machine.zone : null;
    const found = machinesByZone.get(zone) ?? [];
    found.push(machine);
    machinesByZone.set(zone, found);
    if (found.length === spec.taskCount) return found;
  }
  return null;
}
