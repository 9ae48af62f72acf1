/**
 * Carries out the scheduler's decisions. This is also the last step (apply) of a planning round. No other module of the
 * scheduler places or stops tasks or reserves machines.
 */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Attempt } from '../types.js';
import type { SchedulableCluster } from './cluster_state.js';
import type {
  Eviction,
  GangMigration,
  GangStart,
  PlannedObjects,
  Preemption,
  ReplicaMove,
  Reservation,
  TaskStart,
} from './decisions.js';
import { canPlaceTask } from './placement_constraints.js';
import type { PlannedStart } from './plan_types.js';

/** A planned start counts as a start now if its capacity is free within this time, in seconds. */
const START_NOW_SECONDS = 0.05;

const startsNow = ({ freeAtSeconds }: PlannedStart): boolean => freeAtSeconds <= START_NOW_SECONDS;

/**
 * Places the tasks that a plan starts now, in the plan's order, so that jobs of higher rank use their team's quota
 * first. Each constraint is checked again, because starts that were applied earlier count against the limits. Returns
 * the number of tasks placed.
 */
export function applyStarts(
  cluster: SchedulableCluster,
  starts: readonly PlannedStart[],
  { jobs, machines }: PlannedObjects,
): number {
  let placed = 0;
  for (const [jobIndex, jobStarts] of groupByJob(starts)) {
    const job = jobs[jobIndex] as Job;
    if (!job.isGang) placed += placeArrayTasks(cluster, job, jobStarts.filter(startsNow), machines);
    else if (jobStarts.every(startsNow)) placed += placeGang(cluster, job, jobStarts, machines);
  }
  return placed;
}

function groupByJob(starts: readonly PlannedStart[]): Map<number, PlannedStart[]> {
  const startsByJob = new Map<number, PlannedStart[]>();
  for (const start of starts) {
    const others = startsByJob.get(start.jobIndex);
    if (others) others.push(start);
    else startsByJob.set(start.jobIndex, [start]);
  }
  return startsByJob;
}

function placeArrayTasks(
  cluster: SchedulableCluster,
  job: Job,
  starts: readonly PlannedStart[],
  machines: readonly Machine[],
): number {
  let placed = 0;
  for (const { machineIndex, tasks } of starts) {
    const machine = machines[machineIndex] as Machine;
    for (const index of job.pendingTasks(tasks)) {
      if (!canPlaceTask(cluster, job, machine)) break;
      placeTask(cluster, job, index, machine, cluster.nextAttempt());
      placed += 1;
    }
  }
  return placed;
}

/** Places all tasks of a gang or none of them (Eq. (8) of the EVO-GP paper). */
function placeGang(
  cluster: SchedulableCluster,
  job: Job,
  starts: readonly PlannedStart[],
  machines: readonly Machine[],
): number {
  const machineOfEachTask = starts.flatMap(({ machineIndex, tasks }) =>
    Array.from({ length: tasks }, () => machines[machineIndex] as Machine),
  );
  return applyGangStart(cluster, { job, machines: machineOfEachTask });
}

/** Places all tasks of a gang, or none of them if one cannot be placed. Returns the number of tasks placed. */
export function applyGangStart(cluster: SchedulableCluster, { job, machines }: GangStart): number {
  if (job.placedCount > 0 || cluster.quotas.remainingTasks(job.spec) < job.spec.taskCount) return 0;
  const attempt = cluster.nextAttempt();
  for (const [index, machine] of machines.entries()) {
    if (!canPlaceTask(cluster, job, machine)) {
      cluster.placements.breakGang(job);
      return 0;
    }
    placeTask(cluster, job, index, machine, attempt);
  }
  return machines.length;
}

/** Places a task of an array. */
export function applyArrayStart(cluster: SchedulableCluster, { job, index, machine }: TaskStart): void {
  placeTask(cluster, job, index, machine, cluster.nextAttempt());
}

/** Places a task. Its start command is sent to the worker only after the job's first start has been persisted. */
function placeTask(cluster: SchedulableCluster, job: Job, index: number, machine: Machine, attempt: Attempt): void {
  cluster.placements.add({ job, index, machine, attempt, phase: 'planned' });
  if (job.startTerm === 0) {
    job.recordFirstStart(cluster.term, machine.zone, cluster.previousTerms.recordsStartZones(job));
  }
  job.recordStartZone(machine.zone);
}

/** Reserves the machines for the jobs. */
export function applyReservations(cluster: SchedulableCluster, reservations: readonly Reservation[]): void {
  for (const { job, machines, durationMs } of reservations) {
    for (const machine of machines) machine.reserve(job.id, cluster.context.after(durationMs));
  }
}

/** Applies a preemption for a gang, and counts it toward the maximum number of preemptions that one gang may cause. */
export function applyGangPreemption(cluster: SchedulableCluster, preemption: Preemption): void {
  preemption.job.schedulingHistory.recordPreemption();
  applyPreemption(cluster, preemption);
}

/** Evicts the victims at once, without time to save a checkpoint, and reserves their machines for the job. */
export function applyPreemption(cluster: SchedulableCluster, { job, evictions, reservationMs }: Preemption): void {
  for (const eviction of evictions) applyEviction(cluster, job, eviction, reservationMs);
}

function applyEviction(
  cluster: SchedulableCluster,
  job: Job,
  { machine, victims }: Eviction,
  reservationMs: number,
): void {
  machine.reserve(job.id, cluster.context.after(reservationMs));
  for (const victim of victims) cluster.placements.evict(victim, 0);
}

/** Stops the gang and reserves the machines to which it moves. A later round starts it there. */
export function applyGangMigration(cluster: SchedulableCluster, { job, targets, reservationMs }: GangMigration): void {
  job.schedulingHistory.recordMigration();
  for (const machine of targets) machine.reserve(job.id, cluster.context.after(reservationMs));
  cluster.placements.breakGang(job);
}

/** Places a replica. Its start command is pushed to the worker instead of waiting for the worker's next heartbeat. */
export function applyReplicaStart(cluster: SchedulableCluster, { job, index, machine }: TaskStart): void {
  placeTask(cluster, job, index, machine, cluster.nextAttempt());
  cluster.pendingCommands.requestStarts(machine);
  machine.endReservation(job.id);
}

/** Reserves the target for the replica and stops the replica on its current machine. */
export function applyReplicaMove(cluster: SchedulableCluster, { placement, target, reservationMs }: ReplicaMove): void {
  target.reserve(placement.job.id, cluster.context.after(reservationMs));
  cluster.placements.stop(placement, 0);
}

/** Records that a replica of the service waits from now on, unless an earlier time is already recorded. */
export function beginReplicaWait(cluster: SchedulableCluster, job: Job): void {
  job.beginReplicaWait(cluster.context.now.monotonic);
}

/** Ends the wait if no replica of the service waits for a machine any more. */
export function endReplicaWait(job: Job): void {
  if (job.pendingCount === 0) job.endReplicaWait();
}

/**
 * Puts a machine back into service that is drained as a straggler. It may be fast after all, as the estimates of the
 * jobs that it ran may have been too low. Does nothing for other machines.
 */
export function applyUndrain(cluster: SchedulableCluster, machine: Machine): void {
  if (!machine.cordon.undrainStraggler()) return;
  cluster.context.log('straggler put back into service', { machine: machine.id });
}
