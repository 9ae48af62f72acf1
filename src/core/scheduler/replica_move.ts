/** Moves replicas off machines that are about to go. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Placement } from '../state/placement.js';
import { applyReplicaMove } from './apply.js';
import type { ClusterState, SchedulableCluster } from './cluster_state.js';
import type { ReplicaMove } from './decisions.js';
import { isFeasibleNow } from './placement_constraints.js';
import { bestFitMachine, gpuMachineCheck } from './replica_placement.js';
import { useZoneAllowance, zoneAllowance } from './zone_allowance.js';

/** How long the replica's new machine is kept for it. */
const RESERVATION_MS = 6000;
/** At most this part of a service is without a running replica because of moves. */
const MAX_MOVING_SHARE = 0.5;

/**
 * Moves a replica: its new machine is found and kept first, so that the gap is a stop and a start. Without one it stays
 * where it is. Never more than half of a service at a time.
 */
export function moveReplica(cluster: SchedulableCluster, placement: Placement): void {
  const move = findReplicaMove(cluster, placement);
  if (!move) return;
  applyReplicaMove(cluster, move);
  const { job, machine } = placement;
  cluster.context.log('replica migration', {
    job: job.id,
    fromMachine: machine.id,
    toMachine: move.target.id,
  });
}

/** Null where the service has too many replicas on the move, or no other machine takes this one. */
function findReplicaMove(cluster: ClusterState, placement: Placement): ReplicaMove | null {
  const { job, machine: from } = placement;
  if (!mayMoveReplica(cluster, job)) return null;
  const allowance = zoneAllowance(cluster, job);
  // Its present machine counts against the zone until the move.
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
