/** The final checks before a task's start is sent. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';

/** The tasks of a gang are started so that they all have their image within this share of the gang barrier timeout. */
const MAX_GATHER_SHARE = 0.4;

/**
 * Returns whether tasks of the job may be started on the machine. The job's first start and the machine must be stored,
 * the job must be accepted here and in the state store, its gang must not be broken, and the machine must be
 * responsive.
 */
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
 * Returns whether a task of a gang should be started now. A task whose image is present long before those of the others
 * would time out waiting for them. The gang would then be started again, and the others would restart their pulls
 * (scenario gang-far-apart-fetches.txt).
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
