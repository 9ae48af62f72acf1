/**
 * What a plan is made from and what it says. Jobs and machines are named by their indices in the lists that the plan was
 * given. Times are in seconds from the start of the round.
 */
import type { ImageName, MachineType, MachineTypeName, Resources, ZoneName } from '../types.js';

/** A machine as a plan sees it: its free capacity as a step function of time, running tasks included (Eq. (11)). */
export interface PlanMachine {
  readonly index: number;
  readonly zone: ZoneName;
  readonly type: MachineType;
  readonly spot: boolean;
  /** From `stepTimesSeconds[step]` on, `freeCpus[step]` cores are free, and so on. The first step is when it is up. */
  readonly stepTimesSeconds: readonly number[];
  readonly freeCpus: readonly number[];
  readonly freeGpus: readonly number[];
  readonly freeMemoryGb: readonly number[];
  /** What jobs without GPUs may still take of a machine with GPUs: only what GPU work could not use anyway. */
  readonly spareCpus: number;
  readonly spareMemoryGb: number;
  /** Whether GPU work uses or waits for the machine, which has GPUs; others are about to be returned. */
  readonly servesGpuWork: boolean;
  /** Returns the seconds until an image of that size would be there; 0 where it is. */
  imagePullSeconds(image: ImageName, imageGb: number): number;
  /** Whether it is on demand, and of a type that gangs wait for which need whole machines and may not use spot instances. */
  readonly reservedForGangs: boolean;
  /** Of the jobs whose images it holds, the largest share of a machine that one task needs, 0 to 1 and more. */
  readonly largestCachedImageShare: number;
}

/** A machine on which the plan in progress reserves capacity. */
export interface WorkingMachine extends PlanMachine {
  readonly stepTimesSeconds: number[];
  readonly freeCpus: number[];
  readonly freeGpus: number[];
  readonly freeMemoryGb: number[];
  spareCpus: number;
  spareMemoryGb: number;
}

/** A waiting job as a plan sees it; `cpus`, `gpus` and `memoryGb` are of one task. */
export interface PlanJob extends Resources {
  readonly index: number;
  readonly isGang: boolean;
  /** How many of its tasks are planned; of a gang all. */
  readonly tasks: number;
  /** The expected running time of a task. */
  readonly durationSeconds: number;
  readonly image: ImageName;
  readonly imageGb: number;
  /** Null: any type. */
  readonly allowedMachineTypes: readonly MachineTypeName[] | null;
  /** Whether it asks for no GPUs, and machines without any could take it. */
  readonly fitsTypesWithoutGpus: boolean;
  readonly toleratesSpot: boolean;
  /** What a start on a spot instance is expected to cost through interruptions. */
  readonly spotDelaySeconds: number;
  readonly singleZone: boolean;
  /** How many more tasks each zone may take; null: no such limit. */
  readonly zoneAllowance: ReadonlyMap<ZoneName, number> | null;
  /** Zones with machines that it fits (Eq. (10)), in order of name; never empty. */
  readonly feasibleZones: readonly ZoneName[];
  /** The only zone it may ever use; null: any. */
  readonly boundZone: ZoneName | null;
  /** How much its waiting counts (u in the paper). */
  readonly priorityWeight: number;
  /** How long it has waited already (q in the paper). */
  readonly waitedSeconds: number;
  /** How much placement penalties count for it, 1 to 0: a job of which nothing has run for long takes what there is. */
  readonly penaltyFactor: number;
  /** Indices of machines that it must not use: reserved for others, or where it failed; null: none. */
  readonly excludedMachines: ReadonlySet<number> | null;
}

/** Tasks of a job that the plan puts on a machine: x of the paper. */
export interface PlannedStart {
  readonly jobIndex: number;
  readonly machineIndex: number;
  readonly tasks: number;
  /** When the capacity is free. */
  readonly freeAtSeconds: number;
  /** When the image is there too: S of Eq. (1). */
  readonly startAtSeconds: number;
}

/** The schedule that Algorithm 2 makes of one assignment of zones. */
export interface Plan {
  readonly starts: readonly PlannedStart[];
  /** The machines as the plan leaves them. */
  readonly machines: readonly PlanMachine[];
  /** The fitness (Eq. (5)); less is better. */
  readonly cost: number;
  /** By job index, tasks that no machine of the plan can take. */
  readonly unplacedTasks: ReadonlyMap<number, number>;
  /** Plan steps that it took: what bounds a round, so that a seed repeats. */
  readonly steps: number;
}
