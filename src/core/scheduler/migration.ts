/** Moves gangs that still pull their image to machines that hold it. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { ZoneName } from '../types.js';
import { applyGangMigration } from './apply.js';
import type { ClusterState, SchedulableCluster } from './cluster_state.js';
import type { GangMigration } from './decisions.js';
import { isFeasibleNow } from './placement_constraints.js';

/** An image pull with so many seconds left is worth a move. */
const MIN_GAIN_SECONDS = 6;
const MAX_MIGRATIONS_PER_JOB = 3;
const RESERVATION_MS = 2500;

/**
 * Moves each gang whose image pull has long to go to machines that hold the image and have just come free: nothing is lost
 * by stopping a pull. So a gang need not bet on when a machine will be free: it begins to pull at once, and moves if that
 * turns out better. It starts on the new machines once its stops are reported, as for any restart.
 */
export function migrateToCachedImages(cluster: SchedulableCluster): void {
  for (const job of cluster.jobs.active) {
    const migration = findMigration(cluster, job);
    if (!migration) continue;
    const machines = migration.targets.map(({ id }) => id);
    cluster.context.log('gang migration', { job: job.id, machines });
    applyGangMigration(cluster, migration);
  }
}

/** Null where the job may not move, or has nowhere better to go. */
function findMigration(cluster: ClusterState, job: Job): GangMigration | null {
  if (!mayMigrate(job) || remainingPullSeconds(cluster, job) < MIN_GAIN_SECONDS) return null;
  const targets = machinesWithImage(cluster, job);
  return targets && { job, targets, reservationMs: RESERVATION_MS };
}

function mayMigrate(job: Job): boolean {
  if (!job.isGang || job.isFaulty || job.state !== 'accepted' || job.gangBroken) return false;
  // A zone spread would have to be kept across both sets of machines: not worth it here.
  if (job.spec.zoneSpread || job.schedulingHistory.migrationCount >= MAX_MIGRATIONS_PER_JOB) return false;
  return job.placedCount === job.spec.taskCount;
}

/** Seconds until the gang's last image is there; 0 if any of its tasks is past pulling, or is being stopped. */
function remainingPullSeconds({ context, placements }: ClusterState, job: Job): number {
  const { image, imageGb } = job.spec;
  let longest = 0;
  for (const { phase, pendingStop, machine } of placements.ofJob(job).values()) {
    if (phase !== 'pulling' || pendingStop !== null) return 0;
    longest = Math.max(longest, machine.images.remainingPullSeconds(image, imageGb, context.now.monotonic));
  }
  return longest;
}

/** Machines that hold the image and take the whole gang now, in one zone if the job asks for that; null if too few. */
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
