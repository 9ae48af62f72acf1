/**
 * Types of a plan's input and result. Jobs and machines are identified by their indices in the lists that the planner
 * received. Times are in seconds from the start of the round. Equations and symbols are those of the EVO-GP paper.
 */
import type { ImageName, MachineType, MachineTypeName, Resources, ZoneName } from '../types.js';

/** A machine with its free capacity as a step function of time, which accounts for running tasks (Eq. (11)). */
export interface PlanMachine {
  readonly index: number;
  readonly zone: ZoneName;
  readonly type: MachineType;
  readonly spot: boolean;
  /**
   * Start time of each step. From `stepTimesSeconds[step]` on, `freeCpus[step]` cores are free. GPUs and memory are
   * indexed in the same way. The first step is the time at which the machine is up.
   */
  readonly stepTimesSeconds: readonly number[];
  readonly freeCpus: readonly number[];
  readonly freeGpus: readonly number[];
  readonly freeMemoryGb: readonly number[];
  /**
   * Cores that jobs without GPUs may still use on a machine with GPUs, which are those that GPU work could not use. The
   * same applies to `spareMemoryGb`.
   */
  readonly spareCpus: number;
  readonly spareMemoryGb: number;
  /**
   * Whether GPU work uses the machine or waits for machines like it, or the machine is reserved. A machine with GPUs
   * where this is false is about to be terminated.
   */
  readonly servesGpuWork: boolean;
  /** Returns the seconds until the image would be on the machine if a task needed it now, or 0 if it is there. */
  imagePullSeconds(image: ImageName, imageGb: number): number;
  /**
   * Whether this is an on-demand machine of a type that is awaited by gangs that need whole machines and do not
   * tolerate spot machines.
   */
  readonly reservedForGangs: boolean;
  /**
   * Share of the machine that the largest known task needs among those whose image is cached on it. It exceeds 1 if
   * that task needs more than the machine has.
   */
  readonly largestCachedImageShare: number;
}

/** A mutable copy of a machine on which the plan in progress reserves capacity. */
export interface WorkingMachine extends PlanMachine {
  readonly stepTimesSeconds: number[];
  readonly freeCpus: number[];
  readonly freeGpus: number[];
  readonly freeMemoryGb: number[];
  spareCpus: number;
  spareMemoryGb: number;
}

/** A waiting job as input to a plan. `cpus`, `gpus` and `memoryGb` are the demand of one task. */
export interface PlanJob extends Resources {
  readonly index: number;
  readonly isGang: boolean;
  /** Number of tasks to plan. For a gang this is all of its tasks. */
  readonly tasks: number;
  /** Expected run time of a task. */
  readonly durationSeconds: number;
  readonly image: ImageName;
  readonly imageGb: number;
  /** Null if any type is allowed. */
  readonly allowedMachineTypes: readonly MachineTypeName[] | null;
  /** Whether the job requests no GPUs and fits a machine type without GPUs. */
  readonly fitsTypesWithoutGpus: boolean;
  readonly toleratesSpot: boolean;
  /** Expected delay through interruptions if a task starts on a spot machine. */
  readonly spotDelaySeconds: number;
  readonly singleZone: boolean;
  /** Number of additional tasks allowed in each zone. Null if there is no such limit. */
  readonly zoneAllowance: ReadonlyMap<ZoneName, number> | null;
  /**
   * Zones with machines that the job fits (Eq. (10)) or, if there are none, zones where such a machine could be
   * provisioned. Sorted by name, never empty.
   */
  readonly feasibleZones: readonly ZoneName[];
  /**
   * The only zone that the job may use. It is the zone that the job requests or, for a single-zone job, the zone of its
   * placed tasks. Null if there is no such restriction.
   */
  readonly requiredZone: ZoneName | null;
  /** Weight of the job's wait in the fitness (u in the paper). */
  readonly priorityWeight: number;
  /** Time since the job was submitted (q in the paper). */
  readonly waitedSeconds: number;
  /**
   * Factor on the job's placement penalties, from 1 down to 0. It falls while the job has no placed task, so that after
   * a long time without one the job uses any capacity.
   */
  readonly penaltyFactor: number;
  /**
   * Indices of machines that are reserved for other jobs or on which the job recently failed. Null if there are none.
   */
  readonly excludedMachines: ReadonlySet<number> | null;
}

/** Tasks of a job that the plan places on a machine (x in the paper). */
export interface PlannedStart {
  readonly jobIndex: number;
  readonly machineIndex: number;
  readonly tasks: number;
  /** Time from which the capacity is free and reserved. */
  readonly freeAtSeconds: number;
  /** Time at which the image has also been pulled (S in Eq. (1)). */
  readonly startAtSeconds: number;
}

/** The schedule that Algorithm 2 produces for one assignment of zones. */
export interface Plan {
  readonly starts: readonly PlannedStart[];
  /** The machines with the capacity that the plan reserves on them. */
  readonly machines: readonly PlanMachine[];
  /** The fitness (Eq. (5)). Lower is better. */
  readonly cost: number;
  /** Number of tasks that the plan could not place, by job index. */
  readonly unplacedTasks: ReadonlyMap<number, number>;
  /**
   * Plan steps that the plan used. A plan step is a unit of planning work, such as one candidate examined. Rounds are
   * limited by plan steps instead of time, so that the same seed gives the same result.
   */
  readonly steps: number;
}
