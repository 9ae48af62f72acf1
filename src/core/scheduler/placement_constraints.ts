/**
 * Placement constraints that follow from job specifications and from the free capacity of machines. All modules that
 * place or move tasks check them.
 */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { MachineType, ZoneName } from '../types.js';
import type { ClusterState } from './cluster_state.js';
import { allowsTaskInZone } from './zone_allowance.js';

/**
 * Returns whether a job allows machines of a type in a zone, and one of its tasks fits an empty machine of that type
 * (Eq. (10) of the EVO-GP paper).
 */
export function isFeasibleType({ spec }: Job, type: MachineType, zone: ZoneName): boolean {
  return (
    (spec.allowedMachineTypes === null || spec.allowedMachineTypes.includes(type.name)) &&
    (spec.zone === null || spec.zone === zone) &&
    spec.cpus <= type.cpus &&
    spec.gpus <= type.gpus &&
    spec.memoryGb <= type.memoryGb
  );
}

/**
 * Returns whether tasks of the job wait that may start now: its retry delay has passed, and work left from previous
 * terms does not prevent all starts. Quotas and capacity are not checked.
 */
export function hasStartableTasks({ context, previousTerms }: ClusterState, job: Job): boolean {
  return !job.retries.isDelayed(context.now.monotonic) && previousTerms.startableTaskCount(job) > 0;
}

/** Returns whether a job requests no GPUs and fits a machine type without GPUs. */
export function fitsTypesWithoutGpus({ machineTypes }: ClusterState, job: Job): boolean {
  if (job.spec.gpus > 0) return false;
  for (const type of machineTypes.values()) {
    if (type.gpus === 0 && type.zones.some((zone) => isFeasibleType(job, type, zone))) return true;
  }
  return false;
}

/**
 * Returns whether a job allows the machine's type and zone, one of its tasks fits an empty machine of the type, and the
 * job tolerates spot machines if the machine is one.
 */
export function isFeasibleMachine(job: Job, machine: Machine): boolean {
  return isFeasibleType(job, machine.type, machine.zone) && (job.spec.toleratesSpot || !machine.spot);
}

/**
 * Returns whether the machine is schedulable and allowed for the job, and has free capacity for one of its tasks now.
 * The placement of the job's other tasks and the team's quota are not checked.
 */
export function isFeasibleNow({ context }: ClusterState, job: Job, machine: Machine): boolean {
  return (
    machine.isSchedulable(context.now.monotonic, context.settings.workers.heartbeatIntervalMs) &&
    machine.allocations.hasFreeCapacityFor(job.spec) &&
    isFeasibleMachine(job, machine)
  );
}

/**
 * Returns whether one more task of the job may be placed on the machine now, given the zones of its other tasks and its
 * team's quota.
 */
export function canPlaceTask(cluster: ClusterState, job: Job, machine: Machine): boolean {
  if (!isFeasibleNow(cluster, job, machine) || cluster.quotas.remainingTasks(job.spec) < 1) return false;
  return isInBoundZone(cluster, job, machine.zone) && allowsTaskInZone(cluster, job, machine.zone);
}

/** Returns whether a single-zone job with tasks on machines has them in this zone. Also true for all other jobs. */
export function isInBoundZone(cluster: ClusterState, job: Job, zone: ZoneName): boolean {
  return zonesOfSingleZoneJob(cluster, job)?.includes(zone) ?? true;
}

/**
 * Returns the zone in which all tasks of a single-zone job that are on machines must be. Null if the job has no such
 * tasks or no such constraint. A placed task shows the zone of all others. Without one, tasks that have not been located
 * after a failover may be on machines. If they may be in several zones, the job can't be placed yet and the result is
 * empty.
 */
export function zonesOfSingleZoneJob({ placements }: ClusterState, job: Job): readonly ZoneName[] | null {
  if (!job.spec.singleZone) return null;
  for (const { machine } of placements.ofJob(job).values()) return [machine.zone];
  const zones = job.locatedTasks.unlocatedTaskZones;
  if (zones === null || zones.size > 1) return [];
  return zones.size === 1 ? [...zones] : null;
}
