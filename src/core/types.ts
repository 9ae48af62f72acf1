/** The domain's types. Ids, versions and times are branded, so that none is taken for another. */
declare const brand: unique symbol;
type Brand<T, B extends string> = T & { readonly [brand]: B };

/** Given by the user; a submission repeated under the same id is the same job. */
export type JobId = Brand<string, 'JobId'>;
/** Given by the cloud. */
export type MachineId = Brand<string, 'MachineId'>;
/** Names a controller over its restarts. */
export type ControllerName = Brand<string, 'ControllerName'>;
/** Given by the settings; machines of a zone fail together more often than others. */
export type ZoneName = Brand<string, 'ZoneName'>;
/** Given by the cloud. */
export type MachineTypeName = Brand<string, 'MachineTypeName'>;
/** Given by the settings. */
export type TeamName = Brand<string, 'TeamName'>;
/** What a task runs; workers pull it. */
export type ImageName = Brand<string, 'ImageName'>;

/** A revision of the state store, or the version of one key: the revision of its last change. */
export type Revision = Brand<bigint, 'Revision'>;
/** The fencing token of a leader: the revision at which it acquired the leader key. A later leader's is higher. */
export type FencingToken = Brand<bigint, 'FencingToken'>;
/** A lease of the state store. */
export type LeaseId = Brand<bigint, 'LeaseId'>;
/** Numbers the starts of tasks, over all terms; the tasks of a gang that are started together share one. */
export type Attempt = Brand<bigint, 'Attempt'>;
/** Counts the leases of a worker: what ran under an earlier one has ended. */
export type AgentEpoch = Brand<bigint, 'AgentEpoch'>;
/** Numbers a worker's heartbeats within an agent epoch. */
export type SequenceNumber = Brand<bigint, 'SequenceNumber'>;

/** Milliseconds on this process's monotonic clock. */
export type MonotonicTime = Brand<number, 'MonotonicTime'>;
/** Milliseconds since 1970, as the clock of this machine tells them; it may jump. */
export type WallClockTime = Brand<number, 'WallClockTime'>;

/** One instant on both clocks. */
export interface ClockReading {
  readonly monotonic: MonotonicTime;
  readonly wallClock: WallClockTime;
}

/** Returns the time so many milliseconds after another. */
export const addMilliseconds = (time: MonotonicTime, ms: number): MonotonicTime => (time + ms) as MonotonicTime;
/** Brands a number that the state store gave as a revision. */
export const revision = (value: bigint | number): Revision => BigInt(value) as Revision;
/** The version of a key that does not exist. */
export const ABSENT_VERSION = revision(0n);

/** An array's tasks are independent, a gang's run all at once or not at all, a service's run until it is cancelled. */
export type JobKind = 'array' | 'gang' | 'service';
/** 0 is the lowest user priority, 3 the highest. */
export type PriorityLevel = 0 | 1 | 2 | 3;

/** What a task takes, or a machine has: cores, GPUs, and gigabytes of memory. Cores may be fractions. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** A job as its user described it; the resources are those of one task. */
export interface JobSpec extends Resources {
  readonly id: JobId;
  /** What the operators' objectives and the runtime estimates are kept by. */
  readonly jobClass: string;
  readonly team: TeamName;
  readonly kind: JobKind;
  readonly priorityLevel: PriorityLevel;
  readonly taskCount: number;
  readonly image: ImageName;
  readonly imageGb: number;
  /** Null: any. */
  readonly allowedMachineTypes: readonly MachineTypeName[] | null;
  /** The zone that all tasks must be in; null: any. */
  readonly zone: ZoneName | null;
  /** Whether all tasks must be in the same zone at any time. */
  readonly singleZone: boolean;
  /** Whether no zone may hold more than half of the tasks. */
  readonly zoneSpread: boolean;
  /** Whether tasks may be on spot instances. */
  readonly toleratesSpot: boolean;
  /** The owner's estimate of a task's run time without the image pull; often wrong by half and more. */
  readonly estimatedRuntimeSeconds: number;
  /** The progress after which a task saves a checkpoint by itself; 0: it never saves. */
  readonly checkpointIntervalSeconds: number;
  /** The time that a task needs to save when it is stopped. */
  readonly checkpointDurationSeconds: number;
  /** When the job should be complete, from its submission; null: no deadline. */
  readonly deadlineSeconds: number | null;
}

/** A type of machine that the cloud provisions. */
export interface MachineType extends Resources {
  readonly name: MachineTypeName;
  /** How much of images a machine keeps. */
  readonly imageCacheGb: number;
  readonly imagePullGbPerSecond: number;
  readonly pricePerHour: number;
  readonly spotPricePerHour: number;
  /** The usual time from provisioning to the first heartbeat. */
  readonly bootSeconds: number;
  /** Where it is offered. */
  readonly zones: readonly ZoneName[];
}

/** What a task does on its worker. `pulling`: its image; `gathering`: waits at the gang barrier for the others. */
export type TaskPhase = 'pulling' | 'gathering' | 'running' | 'checkpointing' | 'exited';
/**
 * Why a task exited. The last three mean that its start was refused: resources are lacking, another attempt is there, or the
 * job is not known.
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

/** A task on a machine, as its worker tells it. */
export interface TaskStatus {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  readonly phase: TaskPhase;
  /** Null unless it has exited. */
  readonly exitReason: ExitReason | null;
  /** Whether progress was saved when it was stopped. */
  readonly checkpointSaved: boolean;
}

/** A task that has not exited. */
export type LiveTaskStatus = TaskStatus & { readonly phase: Exclude<TaskPhase, 'exited'> };

/** What a worker sends at intervals: its machine, the state of its agent, and all tasks on the machine. */
export interface Heartbeat {
  readonly machine: MachineId;
  /** Where commands can be pushed to, as host and port. */
  readonly address: string;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly agentEpoch: AgentEpoch;
  readonly sequence: SequenceNumber;
  /** The highest that the worker has seen. */
  readonly fencingToken: FencingToken;
  /** The time until the cloud takes the spot instance; null: no notice was given. */
  readonly interruptionNoticeSeconds: number | null;
  readonly tasks: readonly TaskStatus[];
}

/** What a worker is told to do. `acknowledge`: it need not tell of an exited task any more. */
export type Command =
  | { readonly op: 'start'; readonly job: JobId; readonly index: number; readonly attempt: Attempt }
  | {
      readonly op: 'stop';
      readonly job: JobId;
      readonly index: number;
      readonly attempt: Attempt;
      /** For a checkpoint; 0: the task ends at once. */
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
  /** Since it was provisioned. */
  readonly ageSeconds: number;
}

/** Quotas count cores and GPUs; memory has none. */
type QuotaAmounts = Pick<Resources, 'cpus' | 'gpus'>;

/** What a team is guaranteed, and what it may have at most; 0: no guarantee, or no limit. */
export interface TeamQuota {
  readonly name: TeamName;
  readonly guaranteed: QuotaAmounts;
  readonly limit: QuotaAmounts;
}
