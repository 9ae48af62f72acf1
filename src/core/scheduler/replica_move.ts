/** Moves replicas off machines that are about to be terminated or interrupted. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Placement } from '../state/placement.js';
import { applyReplicaMove } from './apply.js';
import type { ClusterState, SchedulableCluster } from './cluster_state.js';
import type { ReplicaMove } from './decisions.js';
import { isFeasibleNow } from './placement_constraints.js';
import { bestFitMachine, gpuMachineCheck } from './replica_placement.js';
import { useZoneAllowance, zoneAllowance } from './zone_allowance.js';

/** Time for which the new machine is reserved for the replica, in milliseconds. */
const RESERVATION_MS = 6000;
/** Maximum share of a service's replicas that may be down because of moves, 0 to 1. */
const MAX_MOVING_SHARE = 0.5;

/**
 * Moves a replica to another machine. The new machine is found and reserved first, so that the replica is down only for
 * a stop and a start. Without a new machine the replica stays where it is. No move begins while half of the service's
 * replicas, rounded up, are stopping or waiting for a machine.
 */
export function moveReplica(cluster: SchedulableCluster, placement: Placement): void {
  const move = findReplicaMove(cluster, placement);
  if (!move) return;
  applyReplicaMove(cluster, move);
  const { job, machine } = placement;
  cluster.context.log('replica migration started', {
    job: job.id,
    fromMachine: machine.id,
    toMachine: move.target.id,
  });
}

/** Returns null if too many replicas of the service are being moved or if no other machine can run this one. */
function findReplicaMove(cluster: ClusterState, placement: Placement): ReplicaMove | null {
  const { job, machine: from } = placement;
  if (!mayMoveReplica(cluster, job)) return null;
  const allowance = zoneAllowance(cluster, job);
  // The replica counts against its current zone until the move, so its place there is added to the allowance.
  useZoneAllowance(allowance, from.zone, job, -1);
  const mayUseGpuMachine = gpuMachineCheck(cluster, job);
  const mayUse = (machine: Machine): boolean =>
    machine !== from && isFeasibleNow(cluster, job, machine) && mayUseGpuMachine(machine);
  const target = bestFitMachine(cluster, job, allowance, mayUse);
  if (!target || (job.spec.singleZone && target.zone !== from.zone)) return null;
  return { placement, target, reservationMs: RESERVATION_MS };
}

function mayMoveReplica({ placements }: ClusterState, job: Job): boolean {
  const moving = [...placements.ofJob(job).values()].filter(({ pendingStop }) => pendingStop !== null).length;
  const maxMoving = Math.max(1, Math.ceil(job.spec.taskCount * MAX_MOVING_SHARE));
  return moving + job.pendingCount < maxMoving;
}
