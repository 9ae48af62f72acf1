/** Inputs and outputs of a controller's core, and the data that they carry. None of these names are wire names. */
import type { LogEntry } from './log_events.js';
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

/** The call was certainly not executed, because the service refused it or because it was never sent. */
interface NotExecuted {
  /**
   * `throttled`: the service refused the call because of its rate limit (429). `unavailable`: the service refused it
   * for any other reason (503), or this controller gave up before sending it.
   */
  readonly code: 'throttled' | 'unavailable';
}

/** No readable response was received. The call may have been executed, or may still be executed later. */
export interface OutcomeUnknown {
  readonly code: 'outcomeUnknown';
}

/** The service rejected the request as malformed. */
interface InvalidRequest {
  readonly code: 'invalidRequest';
}

/** Why a call to the state store failed. */
export type StateStoreError =
  | NotExecuted
  | OutcomeUnknown
  | InvalidRequest
  /** The call refers to a lease that has expired, or to a revision too old to watch from. */
  | { readonly code: 'gone' }
  /**
   * Conditions of a compare-and-swap did not hold. `keys` are the keys whose versions differ from the expected ones.
   */
  | { readonly code: 'conflict'; readonly keys: readonly string[] };

/** Why a call to the cloud failed. */
export type CloudError =
  | NotExecuted
  | OutcomeUnknown
  | InvalidRequest
  /** The cloud has no capacity for machines of this type in this zone. */
  | { readonly code: 'noCapacity' };

/** Why a push of commands to a worker failed. */
type CommandPushError = NotExecuted | OutcomeUnknown | InvalidRequest;

/** Returns whether the service certainly did not execute the call. */
export const wasNotExecuted = ({ code }: StateStoreError | CloudError): boolean =>
  code === 'throttled' || code === 'unavailable';

/** The result of a call to an external service: its response, or the error. */
export type Result<T, E> = { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: E };

/** The result of any call to the state store. */
export type StateStoreResult = Result<StateStoreResponse, StateStoreError>;
/** The result of any call to the cloud. */
export type CloudResult = Result<CloudResponse, CloudError>;
export type CommandPushResult = Result<CommandPushResponse, CommandPushError>;

/** A key and value of the state store. `version` is the revision of the key's last change. */
export interface StoredEntry {
  readonly key: string;
  readonly value: unknown;
  readonly version: Revision;
}

/** The version that a key must have for a compare-and-swap to be executed. */
export interface VersionCondition {
  readonly key: string;
  readonly version: Revision;
}

/**
 * A change of a compare-and-swap: stores a value under a key, or deletes a key. The state store deletes a key that is
 * attached to a lease when the lease ends.
 */
export type StateChange =
  | { readonly put: string; readonly value: unknown; readonly lease?: LeaseId }
  | { readonly drop: string };

/** A change reported by a watch. `version` is the key's version after the change. */
export type WatchEvent =
  | { readonly put: string; readonly value: unknown; readonly version: Revision }
  | { readonly drop: string; readonly version: Revision };

/**
 * Calls to the state store. A `watch` waits up to `waitMs` for changes after the revision `after`. A `list` returns the
 * keys that follow the key `after`, or all keys with the prefix if it is null.
 */
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

/** The state store's response to each call. */
export interface StateStoreResponses {
  /**
   * `item` is null if the key does not exist. Only then is `revision` present, which is the state store's current
   * revision.
   */
  readonly get: { readonly item: StoredEntry | null; readonly revision?: Revision };
  /** `more` tells whether further items follow the last one. */
  readonly list: { readonly items: readonly StoredEntry[]; readonly more: boolean; readonly revision: Revision };
  /** `revision` is the new version of all changed keys. */
  readonly compareAndSwap: { readonly revision: Revision };
  readonly grant: { readonly lease: LeaseId };
  readonly renew: Readonly<Record<string, never>>;
  readonly revoke: Readonly<Record<string, never>>;
  /** `events` contains all changes up to `revision`. */
  readonly watch: { readonly events: readonly WatchEvent[]; readonly revision: Revision };
}

export type StateStoreOperationName = StateStoreOperation['op'];
/** The response to any call to the state store. */
export type StateStoreResponse = StateStoreResponses[StateStoreOperationName];
/** The result of one kind of call to the state store. */
export type StateStoreResultOf<Op extends StateStoreOperationName> = Result<StateStoreResponses[Op], StateStoreError>;

export type OnCommandPushResult = (result: CommandPushResult) => void;

/** Calls to the cloud. Repeating a `provision` call with the same idempotency key provisions no further machines. */
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

/** The cloud's response to each call. */
interface CloudResponses {
  readonly types: { readonly machineTypes: readonly MachineType[] };
  /** `more` tells whether further machines follow the last one. */
  readonly list: { readonly machines: readonly CloudMachine[]; readonly more: boolean };
  /** The provisioned machines. There may be fewer than requested. */
  readonly provision: { readonly provisioned: readonly MachineId[] };
  readonly terminate: Readonly<Record<string, never>>;
}

export type CloudOperationName = CloudOperation['op'];
/** The response to any call to the cloud. */
export type CloudResponse = CloudResponses[CloudOperationName];
/** The result of one kind of call to the cloud. */
export type CloudResultOf<Op extends CloudOperationName> = Result<CloudResponses[Op], CloudError>;

/** Commands pushed to a worker for one agent epoch. A push without commands still raises the worker's fencing token. */
export interface CommandPush {
  readonly address: string;
  readonly fencingToken: FencingToken;
  readonly agentEpoch: AgentEpoch;
  readonly commands: readonly Command[];
}

/** A worker's response to pushed commands: whether it executed them, and a heartbeat with its status. */
export interface CommandPushResponse {
  readonly executed: boolean;
  readonly heartbeat: Heartbeat;
}

/** Requests of users. If a submission is malformed, `spec` is null and `problem` says why. */
export type UserRequest =
  | { readonly op: 'submit'; readonly id: JobId; readonly spec: JobSpec | null; readonly problem: string }
  | { readonly op: 'query'; readonly id: JobId }
  | { readonly op: 'cancel'; readonly id: JobId };

/** The status of a job in responses to users. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** Returns whether the status of a job never changes again. */
export const isFinalStatus = (status: JobStatus): boolean => status === 'done' || status === 'cancelled';

/** How many of a job's tasks are done and how many are running, for display. */
export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

/** A response to a user, with its HTTP status. `problem` is a one-line error message for the user. */
export type UserResponse =
  | {
      readonly status: 200 | 201;
      readonly id: JobId;
      readonly jobStatus: JobStatus;
      readonly done: number;
      readonly running: number;
    }
  | { readonly status: 400 | 404 | 422 | 503; readonly problem: string; readonly retryAfterSeconds?: number };

/**
 * The response to a worker's heartbeat, with its HTTP status. 421 tells the worker to send its heartbeats to another
 * controller.
 */
export type HeartbeatResponse =
  | { readonly status: 200; readonly fencingToken: FencingToken; readonly commands: readonly Command[] }
  | { readonly status: 421; readonly redirectTo: ControllerName | null }
  | { readonly status: 503 };

/** The status that a controller sends to its peers once a second. */
export interface PeerStatus {
  /** Whether the sender is the leader and its lease is valid, as far as it knows. */
  readonly isLeader: boolean;
  /** Whether the sender's last call to the state store was neither refused nor left without a reply. */
  readonly stateStoreReachable: boolean;
  /** Milliseconds since a heartbeat last reached the sender, directly or through a peer. Negative if none ever did. */
  readonly sinceLastHeartbeatMs: number;
  /** Heartbeats per second that the sender receives directly from workers. */
  readonly heartbeatsPerSecond: number;
  /** Whether the sender is the leader and prefers to receive heartbeats directly from workers. */
  readonly prefersDirectHeartbeats: boolean;
  /**
   * Whether the sender supports `cancellation` and `cancellationAck` messages. Releases that do not support them close
   * the connection when they receive one.
   */
  readonly acknowledgesCancellations: boolean;
}

/** Messages between controllers. A response carries the id of the message that it responds to. */
export type PeerMessage =
  | { readonly kind: 'status'; readonly status: PeerStatus }
  | { readonly kind: 'request'; readonly id: number; readonly request: UserRequest }
  | { readonly kind: 'requestResponse'; readonly id: number; readonly response: UserResponse }
  /** A heartbeat that a follower received and forwards unchanged. The leader responds with a `heartbeatResponse`. */
  | { readonly kind: 'heartbeat'; readonly id: number; readonly heartbeat: Heartbeat }
  | {
      readonly kind: 'heartbeatResponse';
      readonly id: number;
      readonly machine: MachineId;
      readonly response: HeartbeatResponse;
    }
  /**
   * The sender has persisted a cancellation. Cancellations are never undone, so the recipient may act on this message
   * without reading the record.
   */
  | { readonly kind: 'cancellation'; readonly id: number; readonly job: JobId }
  | { readonly kind: 'cancellationAck'; readonly id: number };

/** Identifies a request from outside the core that awaits a response. */
export type RequestId = number;
/** Identifies a call to an external service that awaits a reply. */
export type CallId = number;

/** Input of a step of the core. A `timer` input is passed in when the time returned by `nextTimerAt` is reached. */
export type Input =
  | { readonly kind: 'start' }
  | { readonly kind: 'timer' }
  | { readonly kind: 'userRequest'; readonly requestId: RequestId; readonly request: UserRequest }
  | { readonly kind: 'heartbeat'; readonly requestId: RequestId; readonly heartbeat: Heartbeat }
  | { readonly kind: 'stateStoreReply'; readonly callId: CallId; readonly result: StateStoreResult }
  | { readonly kind: 'cloudReply'; readonly callId: CallId; readonly result: CloudResult }
  | { readonly kind: 'commandPushReply'; readonly callId: CallId; readonly result: CommandPushResult }
  | { readonly kind: 'peerMessage'; readonly sender: ControllerName; readonly message: PeerMessage };

/**
 * The time until which an output may be sent. The process may be paused between the step that creates an output and its
 * sending. By then the lease may have expired, so that outputs that only the leader may send are no longer valid, and
 * a confirmed state of an unfinished job may be outdated.
 */
interface Expiring {
  readonly expiresAt?: MonotonicTime;
}

/** Output of a step of the core, which the caller executes. */
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
  | ({ readonly kind: 'log' } & LogEntry);
