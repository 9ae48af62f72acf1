/** Moves work off machines that are about to go: drained ones, and those that the cloud takes. */
import { moveReplica } from '../scheduler/replica_move.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import type { MonotonicTime } from '../types.js';

/** Work on a draining machine without a notice may take so long to end; work not yet begun is reckoned so much longer. */
const DRAIN_SECONDS = 20;
const TASK_START_SECONDS = 5;
/** Work is left to end where it should be over after this share of the time left. */
const FINISH_IN_TIME_SHARE = 0.6;

/** Saves work on leaving machines where that helps; what would end in time is left alone. */
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
  const leftSeconds = interruptionAt === null ? DRAIN_SECONDS : (interruptionAt - now) / 1000;
  const expectedSeconds = runtimeEstimator.expectedSeconds(job.spec);
  const remainingSeconds =
    runningSince === null ? expectedSeconds + TASK_START_SECONDS : expectedSeconds - (now - runningSince) / 1000;
  return remainingSeconds < leftSeconds * FINISH_IN_TIME_SHARE;
}
