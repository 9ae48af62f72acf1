/**
 * Domain types. Ids, versions and times are branded types, so that one cannot be used in place of another by mistake.
 */

declare const brand: unique symbol;
type Brand<T, B extends string> = T & { readonly [brand]: B };

/** Job id, assigned by the user. Repeated submissions with the same id refer to the same job. */
export type JobId = Brand<string, 'JobId'>;
/** Machine id, assigned by the cloud. */
export type MachineId = Brand<string, 'MachineId'>;
/** Name of a controller. It stays the same across restarts. */
export type ControllerName = Brand<string, 'ControllerName'>;
/** Name of a zone, from the settings. Machines in the same zone are more likely to fail together. */
export type ZoneName = Brand<string, 'ZoneName'>;
/** Name of a machine type, assigned by the cloud. */
export type MachineTypeName = Brand<string, 'MachineTypeName'>;
/** Name of a team, from the settings. */
export type TeamName = Brand<string, 'TeamName'>;
/** Name of the image that a task runs. Workers pull images. */
export type ImageName = Brand<string, 'ImageName'>;

/** A revision of the state store. The version of a key is the revision of its last change. */
export type Revision = Brand<bigint, 'Revision'>;
/** Fencing token of a leader: the revision at which it acquired the leader key. Later leaders have higher tokens. */
export type FencingToken = Brand<bigint, 'FencingToken'>;
/** A lease of the state store. */
export type LeaseId = Brand<bigint, 'LeaseId'>;
/** Number of a task start, increasing across all terms. Tasks of a gang that are started together share a number. */
export type Attempt = Brand<bigint, 'Attempt'>;
/** Number of a worker's lease. Tasks that ran under an earlier epoch have ended. */
export type AgentEpoch = Brand<bigint, 'AgentEpoch'>;
/** Number of a worker's heartbeat, or of its response to pushed commands, within an agent epoch. */
export type SequenceNumber = Brand<bigint, 'SequenceNumber'>;

/** Milliseconds on this process's monotonic clock. */
export type MonotonicTime = Brand<number, 'MonotonicTime'>;
/** Milliseconds since the Unix epoch, read from this machine's clock. The clock may jump. */
export type WallClockTime = Brand<number, 'WallClockTime'>;

/** One point in time on both clocks. */
export interface ClockReading {
  readonly monotonic: MonotonicTime;
  readonly wallClock: WallClockTime;
}

export const addMilliseconds = (time: MonotonicTime, ms: number): MonotonicTime => (time + ms) as MonotonicTime;
/** Brands a number received from the state store as a revision. */
export const revision = (value: bigint | number): Revision => BigInt(value) as Revision;
/** The version of a key that does not exist. */
export const ABSENT_VERSION = revision(0n);

/**
 * The tasks of an array are independent. The tasks of a gang run all at the same time or not at all. The tasks of a
 * service run until it is cancelled.
 */
export type JobKind = 'array' | 'gang' | 'service';
/** Priority set by the user. 0 is the lowest, 3 the highest. */
export type PriorityLevel = 0 | 1 | 2 | 3;

/**
 * Resources that a task needs or a machine has: cores, GPUs, and gigabytes of memory. Core counts may be fractional.
 */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** A job as submitted by its user. The resources are those of one task. */
export interface JobSpec extends Resources {
  readonly id: JobId;
  /** The class of the job. Operators' objectives apply to a class, and run time estimates are kept for each class. */
  readonly jobClass: string;
  readonly team: TeamName;
  readonly kind: JobKind;
  readonly priorityLevel: PriorityLevel;
  readonly taskCount: number;
  readonly image: ImageName;
  readonly imageGb: number;
  /** The machine types that may run its tasks. Null means any. */
  readonly allowedMachineTypes: readonly MachineTypeName[] | null;
  /** The zone that all tasks must be in. Null means any. */
  readonly zone: ZoneName | null;
  /** Whether all tasks must be in the same zone at any time. */
  readonly singleZone: boolean;
  /** Whether no zone may hold more than half of the tasks. */
  readonly zoneSpread: boolean;
  /** Whether tasks may be placed on spot machines. */
  readonly toleratesSpot: boolean;
  /** The user's estimate of a task's run time, excluding the image pull. It is often wrong by 50 % or more. */
  readonly estimatedRuntimeSeconds: number;
  /** The progress, in seconds, after which a task saves a checkpoint automatically. 0 means that it never saves one. */
  readonly checkpointIntervalSeconds: number;
  /** The time that a task needs to save a checkpoint when it is stopped. */
  readonly checkpointDurationSeconds: number;
  /** The time from submission within which the job should be complete. Null means no deadline. */
  readonly deadlineSeconds: number | null;
}

/** A type of machine that the cloud provisions. */
export interface MachineType extends Resources {
  readonly name: MachineTypeName;
  /** The size of a machine's image cache. */
  readonly imageCacheGb: number;
  readonly imagePullGbPerSecond: number;
  readonly pricePerHour: number;
  readonly spotPricePerHour: number;
  /** The usual time from provisioning to the first heartbeat. */
  readonly bootSeconds: number;
  /** The zones in which the type is offered. */
  readonly zones: readonly ZoneName[];
}

/**
 * The phase of a task on its worker. In `pulling`, the worker pulls the image. In `gathering`, the task waits at the
 * gang barrier for the other tasks.
 */
export type TaskPhase = 'pulling' | 'gathering' | 'running' | 'checkpointing' | 'exited';
/**
 * Why a task exited. The last three mean that the worker refused the start, because resources are lacking, because
 * another attempt of the task is on the machine, or because the job is unknown.
 */
export type ExitReason =
  | 'done'
  | 'stopped'
  | 'gang_member_lost'
  | 'gang_incomplete'
  | 'error'
  | 'no_capacity'
  | 'busy'
  | 'unknown';

/** A task on a machine, as reported by its worker. */
export interface TaskStatus {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  readonly phase: TaskPhase;
  /** Null unless it has exited. */
  readonly exitReason: ExitReason | null;
  /** Whether a checkpoint was saved when the task was stopped. */
  readonly checkpointSaved: boolean;
}

/** A task that has not exited. */
export type LiveTaskStatus = TaskStatus & { readonly phase: Exclude<TaskPhase, 'exited'> };

/** The message that a worker sends periodically: its machine, its own state, and all tasks on the machine. */
export interface Heartbeat {
  readonly machine: MachineId;
  /** Host and port to which commands can be pushed. */
  readonly address: string;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly agentEpoch: AgentEpoch;
  readonly sequence: SequenceNumber;
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: FencingToken;
  /** The time until the cloud reclaims the spot machine. Null if no interruption notice was given. */
  readonly interruptionNoticeSeconds: number | null;
  readonly tasks: readonly TaskStatus[];
}

/** A command to a worker. After an `acknowledge`, the worker need not report the exited task any longer. */
export type Command =
  | { readonly op: 'start'; readonly job: JobId; readonly index: number; readonly attempt: Attempt }
  | {
      readonly op: 'stop';
      readonly job: JobId;
      readonly index: number;
      readonly attempt: Attempt;
      /** The time that the task has to save a checkpoint. 0 means that it ends at once. */
      readonly gracePeriodSeconds: number;
    }
  | { readonly op: 'acknowledge'; readonly job: JobId; readonly index: number; readonly attempt: Attempt };

/** A machine in the cloud's list. */
export interface CloudMachine {
  readonly id: MachineId;
  readonly address: string;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly phase: 'booting' | 'running' | 'failed';
  /** The time since the machine was provisioned. */
  readonly ageSeconds: number;
}

/** Quotas apply to cores and GPUs, but not to memory. */
type QuotaAmounts = Pick<Resources, 'cpus' | 'gpus'>;

/** The guaranteed resources of a team and its resource limit. 0 means no guarantee, or no limit. */
export interface TeamQuota {
  readonly name: TeamName;
  readonly guaranteed: QuotaAmounts;
  readonly limit: QuotaAmounts;
}
