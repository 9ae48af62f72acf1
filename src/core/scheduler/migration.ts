import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { ZoneName } from '../types.js';
import { isFeasibleNow } from './placement_constraints.js';

/** A fetch that takes so much longer is worth a move. */
const MIN_GAIN_SECONDS = 6;
const MAX_MIGRATIONS = 3;
const RESERVATION_MS = 2500;

/**
 * A gang that still waits for its image may go to machines that hold it and have just come free: nothing is lost by
 * stopping a fetch. So a gang need not bet on when a machine will be free: it begins to fetch at once, and moves if that
 * turns out better. Starts follow only once the stop is reported, as for any restart.
 */
export function migrateToCachedImages(cluster: Cluster): void {
  const { context } = cluster;
  for (const job of cluster.jobs.active) {
    if (!mayMigrate(job) || remainingPullSeconds(cluster, job) < MIN_GAIN_SECONDS) continue;
    const targets = machinesWithImage(cluster, job);
    if (!targets) continue;
    job.migrationCount += 1;
    for (const machine of targets) machine.reserve(job.id, context.after(RESERVATION_MS));
    context.log('debug', 'moving to where the image is', { job: job.id, to: targets.map(({ id }) => id) });
    cluster.placements.breakGang(job);
  }
}

function mayMigrate(job: Job): boolean {
  if (!job.isGang || job.isFaulty || job.state !== 'accepted' || job.gangBroken) return false;
  // Spreading isn't worth its rules here.
  if (job.spec.zoneSpread || job.migrationCount >= MAX_MIGRATIONS) return false;
  return job.placements.size === job.spec.taskCount;
}

/** Seconds until the gang's last image is there; 0 if any of its tasks is past fetching. */
function remainingPullSeconds({ context }: Cluster, job: Job): number {
  const { image, imageGb } = job.spec;
  let longest = 0;
  for (const { phase, pendingStop, machine } of job.placements.values()) {
    if (phase !== 'pulling' || pendingStop !== null) return 0;
    longest = Math.max(longest, machine.images.remainingPullSeconds(image, imageGb, context.now.monotonic));
  }
  return longest;
}

/** Machines that hold the image and have room for the whole gang now, in one zone if the job wants that. */
function machinesWithImage(cluster: Cluster, job: Job): Machine[] | null {
  const { spec } = job;
  const now = cluster.context.now.monotonic;
  const byZone = new Map<ZoneName | null, Machine[]>();
  for (const machine of cluster.machines.values()) {
    if (!machine.images.has(spec.image) || !isFeasibleNow(cluster, job, machine)) continue;
    if (machine.isReservedForOther(job.id, now)) continue;
    const zone = spec.singleZone ? machine.zone : null;
    const found = byZone.get(zone) ?? [];
    found.push(machine);
    byZone.set(zone, found);
    if (found.length === spec.taskCount) return found;
  }
  return null;
}
