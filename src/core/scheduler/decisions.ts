/** What the scheduler decides besides starts: the values that decision modules return and `apply.ts` puts into effect. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Placement } from '../state/placement.js';

/** The jobs and machines that the indices of planned starts refer to. */
export interface PlannedObjects {
  readonly jobs: readonly Job[];
  readonly machines: readonly Machine[];
}

/** Machines to keep for a job for some time. */
export interface Reservation {
  readonly job: Job;
  readonly machines: readonly Machine[];
  readonly durationMs: number;
}

/** The tasks to stop on a machine so that one task of a job fits there. */
export interface Eviction {
  readonly machine: Machine;
  /** Empty where the task fits without. */
  readonly victims: readonly Placement[];
  /** GPU seconds of work that are lost, plus those for which the image pull holds the machine idle. */
  readonly cost: number;
}

/** Work of lower priority to stop for a job, and the machines to keep for it meanwhile. */
export interface Preemption {
  readonly job: Job;
  readonly evictions: readonly Eviction[];
  readonly reservationMs: number;
}

/** A gang that still pulls its image, to move to machines that hold it. */
export interface GangMigration {
  readonly job: Job;
  readonly targets: readonly Machine[];
  readonly reservationMs: number;
}

/** A replica to start on a machine. */
export interface ReplicaStart {
  readonly job: Job;
  readonly index: number;
  readonly machine: Machine;
}

/** A replica to stop once a machine is kept for its successor. */
export interface ReplicaMove {
  readonly placement: Placement;
  readonly target: Machine;
  readonly reservationMs: number;
}
