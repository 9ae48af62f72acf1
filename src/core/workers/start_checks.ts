/** The last checks before the start of a task goes out. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';

/** A gang's tasks are started so that they gather within this part of the time that they wait for each other. */
const MAX_GATHER_SHARE = 0.4;

/** Whether the job's first start and the machine are on record, and neither is in doubt. */
export function mayStart(job: Job, machine: Machine): boolean {
  return (
    job.state === 'accepted' &&
    job.stored.state === 'accepted' &&
    job.isStartDurable(machine.zone) &&
    !job.gangBroken &&
    machine.lifecycle.isRegistered &&
    !machine.reachability.isUnresponsive
  );
}

/**
 * Whether a task of a gang should be started now. One that has its image long before the others would give up waiting for
 * them, the gang would be started anew, and the others would pull from the beginning (gang-far-apart-fetches.txt).
 */
export function isGangStartDue({ context, placements }: Cluster, { job, machine }: Placement): boolean {
  const { image, imageGb } = job.spec;
  const remainingPullSeconds = (on: Machine): number =>
    on.images.remainingPullSeconds(image, imageGb, context.now.monotonic);
  const toleranceSeconds = (MAX_GATHER_SHARE * context.settings.workers.gangBarrierTimeoutMs) / 1000;
  const latestSeconds = remainingPullSeconds(machine) + toleranceSeconds;
  for (const other of placements.ofJob(job).values())
    if (remainingPullSeconds(other.machine) > latestSeconds) return false;
  return true;
}
