/** Moves work off machines that are about to be terminated, because they are drained or the cloud reclaims them. */
import { moveReplica } from '../scheduler/replica_move.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import type { MonotonicTime } from '../types.js';

/** Time for tasks to finish on a draining machine without an interruption notice, in seconds. */
const DRAIN_SECONDS = 20;
/** Time added to the expected run time of a task that has not begun to run, in seconds. */
const TASK_START_SECONDS = 5;
/** A task is left to finish if its expected remaining run time is less than this share of the available time. */
const FINISH_IN_TIME_SHARE = 0.6;

/**
 * Moves work off machines that are about to be terminated, with a checkpoint if the job saves any. Tasks that should
 * finish in time keep running, except on stragglers.
 */
export function evictFromLeavingMachines(cluster: Cluster, now: MonotonicTime): void {
  for (const machine of cluster.machines.values()) {
    if (!machine.cordon.isLeaving) continue;
    for (const placement of [...cluster.placements.onMachine(machine).values()]) {
      if (placement.pendingStop === null) evictGracefully(cluster, placement, now);
    }
  }
}

function evictGracefully(cluster: Cluster, placement: Placement, now: MonotonicTime): void {
  if (placement.phase === 'planned') cluster.placements.release(placement, 'startNotSent');
  else if (placement.job.isService) moveReplica(cluster, placement);
  else if (!finishesInTime(cluster, placement, now)) cluster.placements.evictWithCheckpoint(placement);
}

function finishesInTime({ runtimeEstimator }: Cluster, placement: Placement, now: MonotonicTime): boolean {
  const { job, machine, phase, runningSince } = placement;
  const { drainReason, interruptionAt } = machine.cordon;
  if (phase !== 'running' || drainReason === 'straggler') return false;
  const availableSeconds = interruptionAt === null ? DRAIN_SECONDS : (interruptionAt - now) / 1000;
  const expectedSeconds = runtimeEstimator.expectedSeconds(job.spec);
  const remainingSeconds =
    runningSince === null ? expectedSeconds + TASK_START_SECONDS : expectedSeconds - (now - runningSince) / 1000;
  return remainingSeconds < availableSeconds * FINISH_IN_TIME_SHARE;
}
