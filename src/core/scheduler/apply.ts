/** Apply, the last step of a round: puts decisions into effect. No other module of the scheduler changes jobs or machines. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Attempt } from '../types.js';
import type { SchedulableCluster } from './cluster_state.js';
import type {
  Eviction,
  GangMigration,
  PlannedObjects,
  Preemption,
  ReplicaMove,
  ReplicaStart,
  Reservation,
} from './decisions.js';
import { canPlaceTask } from './placement_constraints.js';
import type { PlannedStart } from './plan_types.js';

/** A planned start no later than this is for now, in seconds. */
const START_NOW_SECONDS = 0.05;

const startsNow = ({ freeAtSeconds }: PlannedStart): boolean => freeAtSeconds <= START_NOW_SECONDS;

/**
 * Places the tasks that a plan starts now, in the plan's order: jobs ranked first have first call on their team's limit.
 * Each constraint is checked again, because earlier starts count against limits. Returns how many tasks were placed.
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

/** A gang starts whole or not at all (Eq. (8) of the paper). */
function placeGang(
  cluster: SchedulableCluster,
  job: Job,
  starts: readonly PlannedStart[],
  machines: readonly Machine[],
): number {
  if (job.placedCount > 0 || cluster.quotas.remainingTasks(job.spec) < job.spec.taskCount) return 0;
  const attempt = cluster.nextAttempt();
  let placed = 0;
  for (const { machineIndex, tasks } of starts) {
    const machine = machines[machineIndex] as Machine;
    for (let task = 0; task < tasks; task++) {
      if (!canPlaceTask(cluster, job, machine)) {
        cluster.placements.breakGang(job);
        return 0;
      }
      placeTask(cluster, job, placed, machine, attempt);
      placed += 1;
    }
  }
  return placed;
}

/** The start goes out to the machine once the job's first start is on record. */
function placeTask(cluster: SchedulableCluster, job: Job, index: number, machine: Machine, attempt: Attempt): void {
  cluster.placements.add({ job, index, machine, attempt, phase: 'planned' });
  if (job.startTerm === 0) {
    job.recordFirstStart(cluster.term, machine.zone, cluster.previousTerms.recordsStartZones(job));
  }
  job.recordStartZone(machine.zone);
}

/** Keeps the machines for the jobs. */
export function applyReservations(cluster: SchedulableCluster, reservations: readonly Reservation[]): void {
  for (const { job, machines, durationMs } of reservations) {
    for (const machine of machines) machine.reserve(job.id, cluster.context.after(durationMs));
  }
}

/** Stops the victims and keeps their machines for the job; counts as one of the preemptions that a gang may cause. */
export function applyGangPreemption(cluster: SchedulableCluster, preemption: Preemption): void {
  preemption.job.schedulingHistory.recordPreemption();
  applyPreemption(cluster, preemption);
}

/** Stops the victims at once, without time to save a checkpoint, and keeps their machines for the job. */
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

/** Stops the gang and keeps the machines to which it moves; it starts there with a later round. */
export function applyGangMigration(cluster: SchedulableCluster, { job, targets, reservationMs }: GangMigration): void {
  job.schedulingHistory.recordMigration();
  for (const machine of targets) machine.reserve(job.id, cluster.context.after(reservationMs));
  cluster.placements.breakGang(job);
}

/** Places a replica, whose start command is then pushed rather than left to the machine's next heartbeat. */
export function applyReplicaStart(cluster: SchedulableCluster, { job, index, machine }: ReplicaStart): void {
  placeTask(cluster, job, index, machine, cluster.nextAttempt());
  cluster.pendingCommands.requestStarts(machine);
  machine.endReservation(job.id);
}

/** Keeps the target for the replica and stops it where it is. */
export function applyReplicaMove(cluster: SchedulableCluster, { placement, target, reservationMs }: ReplicaMove): void {
  target.reserve(placement.job.id, cluster.context.after(reservationMs));
  cluster.placements.stop(placement, 0);
}

/** Notes since when a replica of the service waits, if that is not known yet. */
export function beginReplicaWait(cluster: SchedulableCluster, job: Job): void {
  job.beginReplicaWait(cluster.context.now.monotonic);
}

/** Ends the wait once no replica of the service is left without a machine. */
export function endReplicaWait(job: Job): void {
  if (job.pendingCount === 0) job.endReplicaWait();
}
