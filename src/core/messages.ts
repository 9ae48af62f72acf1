/** What goes in and out of a controller's core: inputs, outputs, and what they carry. Nothing here is a wire name. */
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

/** The call was not executed: the service refused it, or it was never sent. */
interface NotExecuted {
  /** `throttled`: refused for coming too often (429). `unavailable`: refused for any other reason (503), or given up here. */
  readonly code: 'throttled' | 'unavailable';
}

/** No response that could be read: the call may have been executed, or may still be. */
export interface OutcomeUnknown {
  readonly code: 'outcomeUnknown';
}

/** The service called the request malformed. */
interface InvalidRequest {
  readonly code: 'invalidRequest';
}

/** Why a call to the state store brought no response. */
export type StateStoreError =
  | NotExecuted
  | OutcomeUnknown
  | InvalidRequest
  /** What the call names no longer exists: a lease that expired, a watch from a revision too far back. */
  | { readonly code: 'gone' }
  /** Conditions of a compare-and-swap did not hold; `keys`: those that did not have the version asked for. */
  | { readonly code: 'conflict'; readonly keys: readonly string[] };

/** Why a call to the cloud brought no response. */
export type CloudError =
  | NotExecuted
  | OutcomeUnknown
  | InvalidRequest
  /** It has no machine of this type in this zone to provision. */
  | { readonly code: 'noCapacity' };

/** Why commands pushed to a worker brought no response. */
type CommandPushError = NotExecuted | OutcomeUnknown | InvalidRequest;

/** Whether the service certainly did not execute the call. */
export const wasNotExecuted = ({ code }: StateStoreError | CloudError): boolean =>
  code === 'throttled' || code === 'unavailable';

/** What a call to an outside service brought: its response, or why there is none. */
export type Result<T, E> = { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: E };

/** What any call to the state store brought. */
export type StateStoreResult = Result<StateStoreResponse, StateStoreError>;
/** What any call to the cloud brought. */
export type CloudResult = Result<CloudResponse, CloudError>;
/** What a push of commands brought. */
export type CommandPushResult = Result<CommandPushResponse, CommandPushError>;

/** A value of the state store, with the revision of its last change. */
export interface StoredEntry {
  readonly key: string;
  readonly value: unknown;
  readonly version: Revision;
}

/** The version that a key must have for a compare-and-swap to be carried out. */
export interface VersionCondition {
  readonly key: string;
  readonly version: Revision;
}

/** A change of a compare-and-swap: a value put under a key, with the lease on which it depends, or a key dropped. */
export type StateChange =
  | { readonly put: string; readonly value: unknown; readonly lease?: LeaseId }
  | { readonly drop: string };

/** A change that a watch tells of, with the version that the key has since. */
export type WatchEvent =
  | { readonly put: string; readonly value: unknown; readonly version: Revision }
  | { readonly drop: string; readonly version: Revision };

/** Calls to the state store. `watch` waits so many milliseconds for changes after a revision. */
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

/** What the state store responds to each call. */
export interface StateStoreResponses {
  /** `item`: null where the key does not exist; only then `revision` is there, the present one. */
  readonly get: { readonly item: StoredEntry | null; readonly revision?: Revision };
  /** `more`: whether there are more after the last item. */
  readonly list: { readonly items: readonly StoredEntry[]; readonly more: boolean; readonly revision: Revision };
  /** `revision`: the version of all changed keys. */
  readonly compareAndSwap: { readonly revision: Revision };
  readonly grant: { readonly lease: LeaseId };
  readonly renew: Readonly<Record<string, never>>;
  readonly revoke: Readonly<Record<string, never>>;
  /** `revision`: changes up to there are among the events. */
  readonly watch: { readonly events: readonly WatchEvent[]; readonly revision: Revision };
}

/** The name of a call to the state store. */
export type StateStoreOperationName = StateStoreOperation['op'];
/** The response to one of the calls. */
export type StateStoreResponse = StateStoreResponses[StateStoreOperationName];
/** What a call of one kind brought. */
export type StateStoreResultOf<Op extends StateStoreOperationName> = Result<StateStoreResponses[Op], StateStoreError>;

/** Takes what a push of commands brought. */
export type OnCommandPushResult = (result: CommandPushResult) => void;

/** Calls to the cloud. A provisioning repeated under the same idempotency key provisions nothing more. */
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

/** What the cloud responds to each call. */
interface CloudResponses {
  readonly types: { readonly machineTypes: readonly MachineType[] };
  /** `more`: whether there are more after the last machine. */
  readonly list: { readonly machines: readonly CloudMachine[]; readonly more: boolean };
  /** As many as were asked for, or fewer. */
  readonly provision: { readonly provisioned: readonly MachineId[] };
  readonly terminate: Readonly<Record<string, never>>;
}

/** The name of a call to the cloud. */
export type CloudOperationName = CloudOperation['op'];
/** The response to one of the calls. */
export type CloudResponse = CloudResponses[CloudOperationName];
/** What a call of one kind brought. */
export type CloudResultOf<Op extends CloudOperationName> = Result<CloudResponses[Op], CloudError>;

/** Commands pushed to a worker for one agent epoch; none at all still raises its fencing token. */
export interface CommandPush {
  readonly address: string;
  readonly fencingToken: FencingToken;
  readonly agentEpoch: AgentEpoch;
  readonly commands: readonly Command[];
}

/** A worker's response to pushed commands: whether it executed them, and its status. */
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

/** How many of a job's tasks are done and run, for display. */
export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

/** What users are told, with its HTTP status. `problem`: one line for the user. */
export type UserResponse =
  | {
      readonly status: 200 | 201;
      readonly id: JobId;
      readonly jobStatus: JobStatus;
      readonly done: number;
      readonly running: number;
    }
  | { readonly status: 400 | 404 | 422 | 503; readonly problem: string; readonly retryAfterSeconds?: number };

/** What a worker is told in response to its heartbeat, with its HTTP status. 421: heartbeats go to another controller. */
export type HeartbeatResponse =
  | { readonly status: 200; readonly fencingToken: FencingToken; readonly commands: readonly Command[] }
  | { readonly status: 421; readonly redirectTo: ControllerName | null }
  | { readonly status: 503 };

/** What a controller tells its peers of itself once a second. */
export interface PeerStatus {
  /** Whether the sender leads, as far as it knows. */
  readonly isLeader: boolean;
  /** Whether the state store answered the sender lately. */
  readonly stateStoreReachable: boolean;
  /** Milliseconds since a worker last reached the sender; negative: never. */
  readonly sinceLastHeartbeatMs: number;
  /** Heartbeats a second that reach the sender from the workers themselves. */
  readonly heartbeatsPerSecond: number;
  /** The sender leads, and would rather have heartbeats from the workers themselves. */
  readonly prefersDirectHeartbeats: boolean;
  /** The sender knows `cancellation` and `cancellationAck`: releases before them end the connection over one. */
  readonly acknowledgesCancellations: boolean;
}

/** What controllers tell each other; a response repeats the id of what it answers. */
export type PeerMessage =
  | { readonly kind: 'status'; readonly status: PeerStatus }
  | { readonly kind: 'request'; readonly id: number; readonly request: UserRequest }
  | { readonly kind: 'requestResponse'; readonly id: number; readonly response: UserResponse }
  /** A heartbeat that reached a follower, passed on as it came; and the leader's response to it. */
  | { readonly kind: 'heartbeat'; readonly id: number; readonly heartbeat: Heartbeat }
  | {
      readonly kind: 'heartbeatResponse';
      readonly id: number;
      readonly machine: MachineId;
      readonly response: HeartbeatResponse;
    }
  /** The sender has put a cancellation on record: that is never undone, so the broadcast alone may be acted on. */
  | { readonly kind: 'cancellation'; readonly id: number; readonly job: JobId }
  | { readonly kind: 'cancellationAck'; readonly id: number };

/** Numbers a request from outside that awaits a response. */
export type RequestId = number;
/** Numbers a call to an outside service that awaits a reply. */
export type CallId = number;

/** What a step of the core takes. `timer`: the time that `nextTimerAt` gave has come. */
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
  | ({ readonly kind: 'log' } & LogEntry);
