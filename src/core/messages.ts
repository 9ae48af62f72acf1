import type {
  AgentEpoch,
  CloudMachine,
  Command,
  ControllerName,
  FencingToken,
  Heartbeat,
  JobId,
  JobSpec,
  LeaseId,
  MachineId,
  MachineType,
  MachineTypeName,
  MonotonicTime,
  Revision,
  ZoneName,
} from './types.js';

/** Why a call to an outside service brought no result. */
export type CallFailure =
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
  | { readonly ok: false; readonly why: CallFailure; readonly keys?: readonly string[]; readonly throttled?: boolean };

/** A value of the state service, with the revision of its last change. */
export interface StoredEntry {
  readonly key: string;
  readonly value: unknown;
  readonly version: Revision;
}

/** A key's version that a transaction depends on. */
export interface VersionCondition {
  readonly key: string;
  readonly version: Revision;
}

/** A change that a transaction makes. */
export type StateChange =
  | { readonly put: string; readonly value: unknown; readonly lease?: LeaseId }
  | { readonly drop: string };

/** A change that a watch tells of. */
export type WatchEvent =
  | { readonly put: string; readonly value: unknown; readonly version: Revision }
  | { readonly drop: string; readonly version: Revision };

/** Calls to the state service. */
export type StateStoreOperation =
  | { readonly op: 'get'; readonly key: string }
  | { readonly op: 'list'; readonly prefix: string; readonly after: string | null; readonly limit: number }
  | {
      readonly op: 'compareAndSwap';
      readonly conditions: readonly VersionCondition[];
      readonly changes: readonly StateChange[];
    }
  | { readonly op: 'grant'; readonly ttlMs: number }
  | { readonly op: 'renew'; readonly lease: LeaseId }
  | { readonly op: 'revoke'; readonly lease: LeaseId }
  | { readonly op: 'watch'; readonly prefix: string; readonly after: Revision; readonly waitMs: number };

/** What the state service answers: the fields that belong to the call. */
export interface StateStoreResponse {
  /** get: null where the key does not exist. */
  readonly item?: StoredEntry | null;
  readonly items?: readonly StoredEntry[];
  readonly more?: boolean;
  readonly revision?: Revision;
  readonly lease?: LeaseId;
  readonly events?: readonly WatchEvent[];
}

export type OnStateStoreResult = (result: Result<StateStoreResponse>) => void;

/** Calls to the cloud. */
export type CloudOperation =
  | { readonly op: 'types' }
  | { readonly op: 'list'; readonly after: MachineId | null }
  | {
      readonly op: 'provision';
      readonly idempotencyKey: string;
      readonly machineType: MachineTypeName;
      readonly zone: ZoneName;
      readonly spot: boolean;
      readonly count: number;
    }
  | { readonly op: 'terminate'; readonly machines: readonly MachineId[] };

/** What the cloud answers: the fields that belong to the call. */
export interface CloudResponse {
  readonly machineTypes?: readonly MachineType[];
  readonly machines?: readonly CloudMachine[];
  readonly more?: boolean;
  readonly provisioned?: readonly MachineId[];
}

/** Direct commands to a worker; none at all still raises its token. */
export interface CommandPush {
  readonly address: string;
  readonly fencingToken: FencingToken;
  readonly agentEpoch: AgentEpoch;
  readonly commands: readonly Command[];
}

/** A worker's answer to direct commands. */
export interface CommandPushResponse {
  readonly executed: boolean;
  readonly heartbeat: Heartbeat;
}

/** What users ask; `spec` is null where the submission is malformed, and `problem` says why. */
export type UserRequest =
  | { readonly op: 'submit'; readonly id: JobId; readonly spec: JobSpec | null; readonly problem: string }
  | { readonly op: 'query'; readonly id: JobId }
  | { readonly op: 'cancel'; readonly id: JobId };

/** What users are told of a job. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** What users are told, with its HTTP status. */
export type UserResponse =
  | {
      readonly status: 200 | 201;
      readonly id: JobId;
      readonly jobStatus: JobStatus;
      readonly done: number;
      readonly running: number;
    }
  | { readonly status: 400 | 404 | 422 | 503; readonly problem: string; readonly retryAfterSeconds?: number };

/** What a worker is told in answer to its report, with its HTTP status. */
export type HeartbeatResponse =
  | { readonly status: 200; readonly fencingToken: FencingToken; readonly commands: readonly Command[] }
  | { readonly status: 421; readonly redirectTo: ControllerName | null }
  | { readonly status: 503 };

/** What a node tells its peers of itself once a second. */
export interface PeerStatus {
  /** Whether the sender holds the lead, as far as it knows. */
  readonly isLeader: boolean;
  /** Whether the state service answered the sender lately. */
  readonly stateStoreReachable: boolean;
  /** Milliseconds since a worker last reached the sender; negative: never. */
  readonly sinceLastHeartbeatMs: number;
  /** Workers' reports a second that reach the sender itself. */
  readonly heartbeatsPerSecond: number;
  /** The sender leads and would rather have workers' reports from the workers themselves. */
  readonly prefersDirectHeartbeats: boolean;
  /** The sender knows `cancellation` and `cancellationAck`: releases before them end the connection over one. */
  readonly acknowledgesCancellations: boolean;
}

/** What nodes tell each other. */
export type PeerMessage =
  | { readonly kind: 'status'; readonly status: PeerStatus }
  | { readonly kind: 'request'; readonly id: number; readonly request: UserRequest }
  | { readonly kind: 'requestResponse'; readonly id: number; readonly response: UserResponse }
  /** A worker's report that reached a node that doesn't lead, passed on as it came; and the leader's answer to it. */
  | { readonly kind: 'heartbeat'; readonly id: number; readonly heartbeat: Heartbeat }
  | {
      readonly kind: 'heartbeatResponse';
      readonly id: number;
      readonly machine: MachineId;
      readonly response: HeartbeatResponse;
    }
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
  | { readonly kind: 'userRequest'; readonly requestId: RequestId; readonly request: UserRequest }
  | { readonly kind: 'heartbeat'; readonly requestId: RequestId; readonly heartbeat: Heartbeat }
  | { readonly kind: 'stateStoreReply'; readonly callId: CallId; readonly result: Result<StateStoreResponse> }
  | { readonly kind: 'cloudReply'; readonly callId: CallId; readonly result: Result<CloudResponse> }
  | { readonly kind: 'commandPushReply'; readonly callId: CallId; readonly result: Result<CommandPushResponse> }
  | { readonly kind: 'peerMessage'; readonly sender: ControllerName; readonly message: PeerMessage };

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
  readonly expiresAt?: MonotonicTime;
}

/** What a step of the core asks the outside to carry out. */
export type Output =
  | ({ readonly kind: 'userResponse'; readonly requestId: RequestId; readonly response: UserResponse } & Expiring)
  | ({
      readonly kind: 'heartbeatResponse';
      readonly requestId: RequestId;
      readonly response: HeartbeatResponse;
    } & Expiring)
  | {
      readonly kind: 'stateStoreCall';
      readonly callId: CallId;
      readonly operation: StateStoreOperation;
      readonly timeoutMs: number;
    }
  | ({ readonly kind: 'cloudCall'; readonly callId: CallId; readonly operation: CloudOperation } & Expiring)
  | ({ readonly kind: 'commandPush'; readonly callId: CallId; readonly operation: CommandPush } & Expiring)
  | ({ readonly kind: 'peerMessage'; readonly recipient: ControllerName; readonly message: PeerMessage } & Expiring)
  | { readonly kind: 'log'; readonly level: LogLevel; readonly event: string; readonly fields: LogFields };
