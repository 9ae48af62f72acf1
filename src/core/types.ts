/** The domain's types. Ids, versions and times are branded, so that none is taken for another. */
declare const brand: unique symbol;
type Brand<T, B extends string> = T & { readonly [brand]: B };

export type JobId = Brand<string, 'JobId'>;
export type MachineId = Brand<string, 'MachineId'>;
export type ControllerName = Brand<string, 'NodeName'>;
export type ZoneName = Brand<string, 'ZoneName'>;
export type MachineTypeName = Brand<string, 'TypeName'>;
export type TeamName = Brand<string, 'TeamName'>;
export type ImageName = Brand<string, 'ImageName'>;

/** A revision of the state service, or the version of one key. */
export type Revision = Brand<bigint, 'Revision'>;
/** The fencing token of a leader: the revision at which it took the leader key. */
export type FencingToken = Brand<bigint, 'Token'>;
export type LeaseId = Brand<bigint, 'LeaseId'>;
/** Numbers the starts of tasks; the tasks of a gang share one. */
export type Attempt = Brand<bigint, 'Attempt'>;
/** Counts the leases of a worker, and numbers its messages within one. */
export type AgentEpoch = Brand<bigint, 'Session'>;
export type SequenceNumber = Brand<bigint, 'Seq'>;

/** Milliseconds on this process's steady clock. */
export type MonotonicTime = Brand<number, 'Steady'>;
/** Milliseconds of the time of day. */
export type WallClockTime = Brand<number, 'Wall'>;

/** The instant of a step, on both clocks. */
export interface ClockReading {
  readonly monotonic: MonotonicTime;
  readonly wallClock: WallClockTime;
}

export const addMilliseconds = (time: MonotonicTime, ms: number): MonotonicTime => (time + ms) as MonotonicTime;
export const revision = (value: bigint | number): Revision => BigInt(value) as Revision;
/** The version of a key that does not exist. */
export const ABSENT_VERSION = revision(0n);

/** An array's tasks are independent, a gang's run all at once or not at all, a service's run until it is cancelled. */
export type JobKind = 'array' | 'gang' | 'service';
/** 0 is the lowest user priority, 3 the highest. */
export type PriorityLevel = 0 | 1 | 2 | 3;

/** What a task takes, or a machine has. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** A job as its user described it; `cpus`, `gpus` and `memGb` are of one task. */
export interface JobSpec extends Resources {
  readonly id: JobId;
  readonly jobClass: string;
  readonly team: TeamName;
  readonly kind: JobKind;
  readonly priorityLevel: PriorityLevel;
  readonly taskCount: number;
  readonly image: ImageName;
  readonly imageGb: number;
  readonly allowedMachineTypes: readonly MachineTypeName[] | null;
  readonly zone: ZoneName | null;
  readonly singleZone: boolean;
  readonly zoneSpread: boolean;
  readonly toleratesSpot: boolean;
  readonly estimatedRuntimeSeconds: number;
  readonly checkpointIntervalSeconds: number;
  readonly checkpointDurationSeconds: number;
  readonly deadlineSeconds: number | null;
}

/** A type of machine that the cloud rents; prices are per hour. */
export interface MachineType extends Resources {
  readonly name: MachineTypeName;
  readonly imageCacheGb: number;
  readonly imagePullGbPerSecond: number;
  readonly pricePerHour: number;
  readonly spotPricePerHour: number;
  readonly bootSeconds: number;
  readonly zones: readonly ZoneName[];
}

export type TaskPhase = 'pulling' | 'gathering' | 'running' | 'checkpointing' | 'exited';
export type ExitReason =
  | 'done'
  | 'stopped'
  | 'gang_member_lost'
  | 'gang_incomplete'
  | 'error'
  | 'no_capacity'
  | 'busy'
  | 'unknown';

/** A task on a machine, as its worker reports it. */
export interface TaskStatus {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  readonly phase: TaskPhase;
  readonly exitReason: ExitReason | null;
  readonly checkpointSaved: boolean;
}

/** A task that a report shows as fetching, waiting, running or saving. */
export type LiveTaskStatus = TaskStatus & { readonly phase: Exclude<TaskPhase, 'exited'> };

/** A worker's report: its machine, session and token, and all tasks on the machine. */
export interface Heartbeat {
  readonly machine: MachineId;
  readonly address: string;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly agentEpoch: AgentEpoch;
  readonly sequence: SequenceNumber;
  readonly fencingToken: FencingToken;
  readonly interruptionNoticeSeconds: number | null;
  readonly tasks: readonly TaskStatus[];
}

/** What a worker is told to do. */
export type Command =
  | { readonly op: 'start'; readonly job: JobId; readonly index: number; readonly attempt: Attempt }
  | {
      readonly op: 'stop';
      readonly job: JobId;
      readonly index: number;
      readonly attempt: Attempt;
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
  readonly ageSeconds: number;
}

/** A team's guarantee (`cpus`, `gpus`) and limit; 0 means none. */
export interface TeamQuota {
  readonly name: TeamName;
  readonly guaranteedCpus: number;
  readonly guaranteedGpus: number;
  readonly cpuLimit: number;
  readonly gpuLimit: number;
}
