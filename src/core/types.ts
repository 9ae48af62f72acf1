/** Small types of their own for ids, versions and times, so that none is taken for another. */
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
export type Attempt = Brand<bigint, 'Attempt'>;
export type Session = Brand<bigint, 'Session'>;
export type Seq = Brand<bigint, 'Seq'>;

/** Milliseconds on this process's steady clock. */
export type Steady = Brand<number, 'Steady'>;
/** Milliseconds of the time of day. */
export type Wall = Brand<number, 'Wall'>;

export interface Now {
  readonly steady: Steady;
  readonly wall: Wall;
}

export const steadyPlus = (t: Steady, ms: number): Steady => (t + ms) as Steady;
export const revision = (n: bigint | number): Revision => BigInt(n) as Revision;
/** The version of a key that does not exist. */
export const ABSENT = revision(0n);

/** A service's tasks run until it is cancelled; the design names them, the protocol page doesn't (docs/questions.md). */
export type Shape = 'array' | 'gang' | 'service';
/** 0 is the lowest user priority, 3 the highest. */
export type Rank = 0 | 1 | 2 | 3;

export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memGb: number;
}

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

export interface TaskReport {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  readonly phase: TaskPhase;
  readonly reason: ExitReason | null;
  readonly saved: boolean;
}

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

export interface ListedMachine {
  readonly id: MachineId;
  readonly addr: string;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly phase: 'booting' | 'running' | 'failed';
  readonly ageS: number;
}

export interface Team {
  readonly name: TeamName;
  readonly cpus: number;
  readonly gpus: number;
  readonly cpusMax: number;
  readonly gpusMax: number;
}
