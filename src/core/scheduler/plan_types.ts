import type { ImageName, MachineType, MachineTypeName, Resources, ZoneName } from '../types.js';

/**
 * What a plan is made from and what it says. Machines and jobs are named by their slots: their indices in the lists that the
 * plan was given. Times are in seconds from now.
 */

/** A machine as a plan sees it: its free room as a step function of time. */
export interface PlanMachine {
  readonly index: number;
  readonly zone: ZoneName;
  readonly type: MachineType;
  readonly spot: boolean;
  /** From `times[step]` on, so much is free. */
  stepTimesSeconds: number[];
  freeCpus: number[];
  freeGpus: number[];
  freeMemoryGb: number[];
  /** What jobs without GPUs may still take of a machine with GPUs: only what GPU work could not use anyway. */
  spareCpus: number;
  spareMemoryGb: number;
  /** A machine with GPUs that GPU work uses or waits for; others are about to be returned. */
  readonly servesGpuWork: boolean;
  /** Seconds until an image would be there. */
  imagePullSeconds(image: ImageName, gb: number): number;
  /** A machine on demand, of a type that gangs wait for which need whole ones and may not use spot machines. */
  readonly reservedForGangs: boolean;
  /** Largest share of a machine that a job needs whose image it holds. */
  readonly largestCachedImageShare: number;
}

/** A waiting job as a plan sees it; `cpus`, `gpus` and `memGb` are of one task. */
export interface PlanJob extends Resources {
  readonly index: number;
  readonly isGang: boolean;
  readonly tasks: number;
  readonly durationSeconds: number;
  readonly image: ImageName;
  readonly imageGb: number;
  readonly allowedMachineTypes: readonly MachineTypeName[] | null;
  /** It asks for no GPUs, and machines without any could take it. */
  readonly fitsTypesWithoutGpus: boolean;
  readonly toleratesSpot: boolean;
  /** What a start on a spot machine is expected to cost through losses, in seconds. */
  readonly spotDelaySeconds: number;
  readonly singleZone: boolean;
  /** Most tasks that each zone may still take; null: no such limit. */
  readonly zoneAllowance: ReadonlyMap<ZoneName, number> | null;
  /** Zones that may host it. */
  readonly feasibleZones: readonly ZoneName[];
  /** The only zone it may ever use; null: any. */
  readonly boundZone: ZoneName | null;
  /** How much its waiting counts. */
  readonly priorityWeight: number;
  readonly waitedSeconds: number;
  /** How much placement penalties count for it, 1 to 0: a job of which nothing has run for long takes what there is. */
  readonly penaltyFactor: number;
  /** Machines it must not use. */
  readonly excludedMachines: ReadonlySet<number> | null;
}

/** Tasks of a job that the plan puts on a machine. */
export interface PlannedStart {
  readonly jobIndex: number;
  readonly machineIndex: number;
  readonly tasks: number;
  /** When the room is there, and when the image is too. */
  readonly freeAtSeconds: number;
  readonly startAtSeconds: number;
}

export interface Plan {
  readonly starts: PlannedStart[];
  /** The machines as the plan leaves them. */
  readonly machines: readonly PlanMachine[];
  /** The fitness of the search; less is better. */
  readonly cost: number;
  /** By job, tasks that no machine of the plan can take. */
  readonly unplacedTasks: ReadonlyMap<number, number>;
  /** Work spent on it, in plan steps: what bounds a round, so that a seed repeats. */
  readonly steps: number;
}
