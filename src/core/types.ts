/** The domain's types. Ids, versions and times are branded, so that none is taken for another. */
declare const brand: unique symbol;
type Brand<T, B extends string> = T & { readonly [brand]: B };

export type JobId = Brand<string, 'JobId'>;
export type MachineId = Brand<string, 'MachineId'>;
export type NodeName = Brand<string, 'NodeName'>;
export type ZoneName = Brand<string, 'ZoneName'>;
export type TypeName = Brand<string, 'TypeName'>;
export type TeamName = Brand<string, 'TeamName'>;
export type ImageName = Brand<string, 'ImageName'>;

/** A revision of the state service, or the version of one key. */
export type Revision = Brand<bigint, 'Revision'>;
/** The fencing token of a leader: the revision at which it took the leader key. */
export type Token = Brand<bigint, 'Token'>;
export type LeaseId = Brand<bigint, 'LeaseId'>;
/** Numbers the starts of tasks; the tasks of a gang share one. */
export type Attempt = Brand<bigint, 'Attempt'>;
/** Counts the leases of a worker, and numbers its messages within one. */
export type Session = Brand<bigint, 'Session'>;
export type Seq = Brand<bigint, 'Seq'>;

/** Milliseconds on this process's steady clock. */
export type Steady = Brand<number, 'Steady'>;
/** Milliseconds of the time of day. */
export type Wall = Brand<number, 'Wall'>;

/** The instant of a step, on both clocks. */
export interface Now {
  readonly steady: Steady;
  readonly wall: Wall;
}

export const steadyPlus = (time: Steady, ms: number): Steady => (time + ms) as Steady;
export const revision = (value: bigint | number): Revision => BigInt(value) as Revision;
/** The version of a key that does not exist. */
export const ABSENT = revision(0n);

/** An array's tasks are independent, a gang's run all at once or not at all, a service's run until it is cancelled. */
export type Shape = 'array' | 'gang' | 'service';
/** 0 is the lowest user priority, 3 the highest. */
export type Rank = 0 | 1 | 2 | 3;

/** What a task takes, or a machine has. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memGb: number;
}

/** A job as its user described it; `cpus`, `gpus` and `memGb` are of one task. */
export interface JobSpec extends Resources {
  readonly id: JobId;
  readonly jobClass: string;
  readonly team: TeamName;
  readonly shape: Shape;
  readonly rank: Rank;
  readonly tasks: number;
  readonly image: ImageName;
  readonly imageGb: number;
  readonly types: readonly TypeName[] | null;
  readonly zone: ZoneName | null;
  readonly sameZone: boolean;
  readonly spread: boolean;
  readonly spotOk: boolean;
  readonly estimateS: number;
  readonly checkpointS: number;
  readonly saveS: number;
  readonly deadlineS: number | null;
}

/** A type of machine that the cloud rents; prices are per hour. */
export interface MachineType extends Resources {
  readonly name: TypeName;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly ZoneName[];
}

export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitReason = 'done' | 'stopped' | 'peers_gone' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

/** A task on a machine, as its worker reports it. */
export interface TaskReport {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  readonly phase: TaskPhase;
  readonly reason: ExitReason | null;
  readonly saved: boolean;
}

/** A task that a report shows as fetching, waiting, running or saving. */
export type LiveTask = TaskReport & { readonly phase: Exclude<TaskPhase, 'exited'> };

/** A worker's report: its machine, session and token, and all tasks on the machine. */
export interface WorkerReport {
  readonly machine: MachineId;
  readonly addr: string;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly session: Session;
  readonly seq: Seq;
  readonly token: Token;
  readonly noticeS: number | null;
  readonly tasks: readonly TaskReport[];
}

/** What a worker is told to do. */
export type Command =
  | { readonly op: 'start'; readonly job: JobId; readonly index: number; readonly attempt: Attempt }
  | {
      readonly op: 'stop';
      readonly job: JobId;
      readonly index: number;
      readonly attempt: Attempt;
      readonly graceS: number;
    }
  | { readonly op: 'forget'; readonly job: JobId; readonly index: number; readonly attempt: Attempt };

/** A machine in the cloud's list. */
export interface ListedMachine {
  readonly id: MachineId;
  readonly addr: string;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly phase: 'booting' | 'running' | 'failed';
  readonly ageS: number;
}

/** A team's guarantee (`cpus`, `gpus`) and limit; 0 means none. */
export interface Team {
  readonly name: TeamName;
  readonly cpus: number;
  readonly gpus: number;
  readonly cpusMax: number;
  readonly gpusMax: number;
}
