import type { Job } from '../jobs/job.js';
import type { Cluster } from '../leadership/cluster.js';
import type { Machine } from '../machines/machine.js';
import { steadyPlus } from '../types.js';
import { mayHost } from './hosting.js';

const MIN_GAIN_S = 6;
const MAX_MIGRATIONS = 3;
const RESERVED_MS = 2500;

/**
 * A gang that still waits for its image may go to machines that hold it and have just come free: nothing is lost by
 * stopping a fetch. So a gang need not bet on when a machine will be free: it begins to fetch at once, and moves if that
 * turns out better. Starts follow only once the stop is reported, as for any restart.
 */
export function migrateToCachedImages(cluster: Cluster): number {
  let moved = 0;
  for (const job of cluster.activeJobs) {
    if (job.spec.shape !== 'gang' || job.state !== 'accepted' || job.gangBroken || job.migrations >= MAX_MIGRATIONS)
      continue;
    if (job.placements.size !== job.spec.tasks || fetchLeftS(cluster, job) < MIN_GAIN_S) continue;
    const targets = cachedRoom(cluster, job);
    if (!targets) continue;
    job.migrations += 1;
    moved += 1;
    for (const m of targets) m.reserved = { job: job.id, until: steadyPlus(cluster.ctx.now.steady, RESERVED_MS) };
    cluster.ctx.log('debug', 'moving to where the image is', { job: job.id, to: targets.map((m) => m.id).join() });
    cluster.breakGang(job);
  }
  return moved;
}

/** Seconds until the gang's last image is there; 0 if any of its tasks is past fetching. */
function fetchLeftS(cluster: Cluster, job: Job): number {
  let most = 0;
  for (const placement of job.placements.values()) {
    if (placement.phase !== 'fetching' || placement.stop !== null) return 0;
    most = Math.max(most, placement.machine.fetchSeconds(job.spec.image, job.spec.imageGb, cluster.ctx.now.steady));
  }
  return most;
}

/** Machines that hold the image and have room for the whole gang now, in one zone if the job wants that. */
function cachedRoom(cluster: Cluster, job: Job): Machine[] | null {
  const { spec } = job;
  // Spreading, and room for several tasks on one machine, aren't worth their rules here.
  if (spec.spread) return null;
  const now = cluster.ctx.now.steady;
  const byZone = new Map<string, Machine[]>();
  for (const machine of cluster.machines.values()) {
    const image = machine.images.get(spec.image);
    if (!image || image.fetchingSince !== null || !mayHost(cluster, job, machine, true)) continue;
    if (machine.reserved && machine.reserved.until > now && machine.reserved.job !== job.id) continue;
    const zone = spec.sameZone ? machine.zone : 'any';
    const found = byZone.get(zone) ?? [];
    found.push(machine);
    byZone.set(zone, found);
    if (found.length === spec.tasks) return found;
  }
  return null;
}
