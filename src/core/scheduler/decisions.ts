/**
 * The scheduler's decisions other than planned starts. Decision modules return them, and `apply.ts` carries them out.
 */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Placement } from '../state/placement.js';

/** The jobs and machines to which the indices of planned starts refer. */
export interface PlannedObjects {
  readonly jobs: readonly Job[];
  readonly machines: readonly Machine[];
}

/** Machines to reserve for a job, and for how long. */
export interface Reservation {
  readonly job: Job;
  readonly machines: readonly Machine[];
  readonly durationMs: number;
}

/** The tasks to evict from a machine so that one task of a job fits there. */
export interface Eviction {
  readonly machine: Machine;
  /** Empty if the task fits without an eviction. */
  readonly victims: readonly Placement[];
  /** Work that is lost, plus the time for which the image pull leaves the capacity idle, in GPU seconds. */
  readonly cost: number;
}

/** Evictions of lower-priority work for a job, and how long the machines are reserved for the job. */
export interface Preemption {
  readonly job: Job;
  readonly evictions: readonly Eviction[];
  readonly reservationMs: number;
}

/** A gang that is still pulling its image, to be moved to machines that have the image cached. */
export interface GangMigration {
  readonly job: Job;
  readonly targets: readonly Machine[];
  readonly reservationMs: number;
}

/** A gang to start, with a machine for each of its tasks. */
export interface GangStart {
  readonly job: Job;
  readonly machines: readonly Machine[];
}

/** A task of an array or a replica of a service to start on a machine. */
export interface TaskStart {
  readonly job: Job;
  readonly index: number;
  readonly machine: Machine;
}

/** A replica to stop after a machine has been reserved for its replacement. */
export interface ReplicaMove {
  readonly placement: Placement;
  readonly target: Machine;
  readonly reservationMs: number;
}
