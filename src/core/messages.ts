import type {
  Command,
  JobId,
  JobSpec,
  LeaseId,
  ListedMachine,
  MachineId,
  MachineType,
  NodeName,
  Revision,
  Session,
  Steady,
  Token,
  TypeName,
  WorkerReport,
  ZoneName,
} from './types.js';

/** Why a call to an outside service brought no result. */
export type Failure =
  /** Answered that it was not executed (429, 503). */
  | 'refused'
  /** No answer: it may have been executed, or still be. */
  | 'unknown'
  /** The thing named no longer exists (a lease that ended, a watch too far back). */
  | 'gone'
  /** The conditions of a transaction did not hold. */
  | 'conflict'
  /** The cloud has no such machine to rent. */
  | 'no_capacity'
  /** The service called the request malformed. */
  | 'rejected';

/** What a call to an outside service brought. */
export type Result<T> =
  | { readonly ok: true; readonly value: T }
  /** `keys`: of a conflict, those that did not have the version asked for. */
  /** `throttled`: it was refused for coming too often. */
  | { readonly ok: false; readonly why: Failure; readonly keys?: readonly string[]; readonly throttled?: boolean };

/** A value of the state service, with the revision of its last change. */
export interface StoredItem {
  readonly key: string;
  readonly value: unknown;
  readonly version: Revision;
}

/** A key's version that a transaction depends on. */
export interface Condition {
  readonly key: string;
  readonly version: Revision;
}

/** A change that a transaction makes. */
export type Change =
  | { readonly put: string; readonly value: unknown; readonly lease?: LeaseId }
  | { readonly drop: string };

/** A change that a watch tells of. */
export type StoreEvent =
  | { readonly put: string; readonly value: unknown; readonly version: Revision }
  | { readonly drop: string; readonly version: Revision };

/** Calls to the state service. */
export type StoreOp =
  | { readonly op: 'get'; readonly key: string }
  | { readonly op: 'list'; readonly prefix: string; readonly after: string | null; readonly limit: number }
  | { readonly op: 'txn'; readonly conditions: readonly Condition[]; readonly changes: readonly Change[] }
  | { readonly op: 'grant'; readonly ttlMs: number }
  | { readonly op: 'renew'; readonly lease: LeaseId }
  | { readonly op: 'revoke'; readonly lease: LeaseId }
  | { readonly op: 'watch'; readonly prefix: string; readonly after: Revision; readonly waitMs: number };

/** What the state service answers: the fields that belong to the call. */
export interface StoreValue {
  /** get: null where the key does not exist. */
  readonly item?: StoredItem | null;
  readonly items?: readonly StoredItem[];
  readonly more?: boolean;
  readonly revision?: Revision;
  readonly lease?: LeaseId;
  readonly events?: readonly StoreEvent[];
}

export type OnStoreResult = (result: Result<StoreValue>) => void;

/** Calls to the cloud. */
export type CloudOp =
  | { readonly op: 'types' }
  | { readonly op: 'list'; readonly after: MachineId | null }
  | {
      readonly op: 'rent';
      readonly request: string;
      readonly type: TypeName;
      readonly zone: ZoneName;
      readonly spot: boolean;
      readonly count: number;
    }
  | { readonly op: 'delete'; readonly machines: readonly MachineId[] };

/** What the cloud answers: the fields that belong to the call. */
export interface CloudValue {
  readonly types?: readonly MachineType[];
  readonly machines?: readonly ListedMachine[];
  readonly more?: boolean;
  readonly rented?: readonly MachineId[];
}

/** Direct commands to a worker; none at all still raises its token. */
export interface WorkerOp {
  readonly addr: string;
  readonly token: Token;
  readonly session: Session;
  readonly commands: readonly Command[];
}

/** A worker's answer to direct commands. */
export interface WorkerValue {
  readonly executed: boolean;
  readonly report: WorkerReport;
}

/** What users ask; `spec` is null where the submission is malformed, and `problem` says why. */
export type UserRequest =
  | { readonly op: 'submit'; readonly id: JobId; readonly spec: JobSpec | null; readonly problem: string }
  | { readonly op: 'poll'; readonly id: JobId }
  | { readonly op: 'cancel'; readonly id: JobId };

/** What users are told of a job. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** What users are told, with its HTTP status. */
export type UserAnswer =
  | {
      readonly status: 200 | 201;
      readonly id: JobId;
      readonly jobStatus: JobStatus;
      readonly done: number;
      readonly running: number;
    }
  | { readonly status: 400 | 404 | 422 | 503; readonly problem: string; readonly retryAfterS?: number };

/** What a worker is told in answer to its report, with its HTTP status. */
export type WorkerAnswer =
  | { readonly status: 200; readonly token: Token; readonly commands: readonly Command[] }
  | { readonly status: 421; readonly reportTo: NodeName | null }
  | { readonly status: 503 };

/** What a node tells its peers of itself once a second. */
export interface PeerStatus {
  /** Whether the sender holds the lead, as far as it knows. */
  readonly leading: boolean;
  /** Whether the state service answered the sender lately. */
  readonly storeOk: boolean;
  /** Milliseconds since a worker last reached the sender; negative: never. */
  readonly workersHeardMs: number;
  /** Workers' reports a second that reach the sender itself. */
  readonly reportsPerS: number;
  /** The sender leads and would rather have workers' reports from the workers themselves. */
  readonly takesReports: boolean;
  /** The sender knows `cancellation` and `cancellationAck`: releases before them end the connection over one. */
  readonly acknowledgesCancellations: boolean;
}

/** What nodes tell each other. */
export type PeerMessage =
  | { readonly kind: 'status'; readonly status: PeerStatus }
  | { readonly kind: 'request'; readonly id: number; readonly request: UserRequest }
  | { readonly kind: 'requestAnswer'; readonly id: number; readonly answer: UserAnswer }
  /** A worker's report that reached a node that doesn't lead, passed on as it came; and the leader's answer to it. */
  | { readonly kind: 'report'; readonly id: number; readonly report: WorkerReport }
  | { readonly kind: 'reportAnswer'; readonly id: number; readonly machine: MachineId; readonly answer: WorkerAnswer }
  /** The sender has put a cancellation on record: that is never undone, so the notice alone may be acted on. */
  | { readonly kind: 'cancellation'; readonly id: number; readonly job: JobId }
  | { readonly kind: 'cancellationAck'; readonly id: number };

/** Numbers a request from outside that awaits an answer. */
export type RequestId = number;
/** Numbers a call to an outside service that awaits a reply. */
export type CallId = number;

/** What a step of the core takes. */
export type Input =
  | { readonly kind: 'start' }
  | { readonly kind: 'timer' }
  | { readonly kind: 'user'; readonly req: RequestId; readonly request: UserRequest }
  | { readonly kind: 'report'; readonly req: RequestId; readonly report: WorkerReport }
  | { readonly kind: 'storeReply'; readonly call: CallId; readonly result: Result<StoreValue> }
  | { readonly kind: 'cloudReply'; readonly call: CallId; readonly result: Result<CloudValue> }
  | { readonly kind: 'workerReply'; readonly call: CallId; readonly result: Result<WorkerValue> }
  | { readonly kind: 'peer'; readonly from: NodeName; readonly message: PeerMessage };

export type LogLevel = 'error' | 'info' | 'debug';

/** What a log line says beside its text. */
export type LogFields = Readonly<
  Record<string, string | number | bigint | boolean | null | readonly string[] | undefined>
>;

/**
 * Until when an output may leave. What only the leader may say is worth nothing once its lease may have run out, and what
 * was confirmed of a job that isn't over may be old: the process may have been paused since the step that made it.
 */
interface Expiring {
  readonly notAfter?: Steady;
}

/** What a step of the core asks the outside to carry out. */
export type Output =
  | ({ readonly kind: 'answerUser'; readonly req: RequestId; readonly answer: UserAnswer } & Expiring)
  | ({ readonly kind: 'answerWorker'; readonly req: RequestId; readonly answer: WorkerAnswer } & Expiring)
  | { readonly kind: 'store'; readonly call: CallId; readonly op: StoreOp; readonly timeoutMs: number }
  | ({ readonly kind: 'cloud'; readonly call: CallId; readonly op: CloudOp } & Expiring)
  | ({ readonly kind: 'worker'; readonly call: CallId; readonly op: WorkerOp } & Expiring)
  | ({ readonly kind: 'peer'; readonly to: NodeName; readonly message: PeerMessage } & Expiring)
  | { readonly kind: 'log'; readonly level: LogLevel; readonly text: string; readonly fields: LogFields };
