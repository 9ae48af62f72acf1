import { type CallPriority, CallQueue, type QueuedCall } from './calls/call_queue.js';
import { TokenBucket } from './calls/token_bucket.js';
import { ALL_OFF, type Features } from './features.js';
import {
  type CallId,
  type CloudOperation,
  type CloudResult,
  type CommandPush,
  type CommandPushResult,
  type HeartbeatResponse,
  type LogFields,
  type LogLevel,
  type OnCloudResult,
  type OnCommandPushResult,
  type OnStateStoreResult,
  type Output,
  type PeerMessage,
  type RequestId,
  type StateStoreOperation,
  type StateStoreResult,
  type UserResponse,
  wasNotExecuted,
} from './messages.js';
import type { Settings, Tuning } from './settings.js';
import { Timers } from './timers.js';
import { addMilliseconds, type ClockReading, type ControllerName, type MonotonicTime } from './types.js';

export type TimerName =
  | 'election'
  | 'renew'
  | 'peerStatus'
  | 'jobCache'
  | 'pollConfirmation'
  | 'round'
  | 'recordFlush'
  | 'heldReports'
  | 'healthChecks'
  | 'catalog'
  | 'workerCommands'
  | 'loadState'
  | 'cancellationNotices'
  | 'servicePlacement'
  | 'reportBacklog'
  | 'reconciliation'
  | 'storeQueue'
  | 'cloudQueue';

/** How a call to an outside service may wait. */
export interface CallOptions {
  /** For an answer, once it is sent. */
  readonly timeoutMs?: number;
  /** For tokens, before it is sent; what has to wait longer is refused. */
  readonly maxQueueTimeMs?: number;
  /** Somebody waits for the answer: what surely has to wait longer than that is refused at once. */
  readonly failFast?: boolean;
  /** Called at the moment it is sent. */
  readonly onSend?: (at: MonotonicTime) => void;
}

interface OpenStateStoreCall {
  readonly onResult: OnStateStoreResult;
  readonly writes: boolean;
}

/** The leader's part of the state service's limits, and what the followers share: together somewhat over the whole. */
const LEADER_PART = 0.65;
const FOLLOWERS_PART = 0.7;
const CLOUD_RATE_PART = 0.8;
const STORE_TIMEOUT_MS = 1500;
const STORE_QUEUE_MS = 3000;
const CLOUD_QUEUE_MS = 5000;
/** Pause after a call that the state service refused. */
const REFUSED_PAUSE_MS = 100;
/** What is said of a job that isn't over leaves within this time, or not at all. */
const OPEN_ANSWER_MS = 250;
/** With less of the burst left than this, writes that can wait should. */
const SPARE_WRITES_LEVEL = 0.5;

const NOT_SENT = { ok: false, error: { code: 'unavailable' } } as const;

const isWrite = (op: StateStoreOperation): boolean => op.op === 'compareAndSwap' && op.changes.length > 0;

/**
 * What a step has in common for all parts of a node: the time, the outputs gathered so far, timers, and calls to outside
 * services that have yet to be sent or answered.
 */
export class StepContext {
  now: ClockReading;
  readonly timers = new Timers<TimerName>();
  /** Until when no other node can lead, if this one does (election.ts). */
  leadershipValidUntil = 0 as MonotonicTime;
  /** Since when the state service has only refused this node or not answered; null: it answers. */
  stateStoreFailingSince: MonotonicTime | null = null;

  private outputs: Output[] = [];
  private leaderRole = false;
  /** Whether the lower rates that were announced have come into force, as far as this process has seen. */
  private usesAnnouncedRates = false;
  private lastCall: CallId = 0;
  private readonly openStateStoreCalls = new Map<CallId, OpenStateStoreCall>();
  private readonly openCloudCalls = new Map<CallId, OnCloudResult>();
  private readonly openCommandPushes = new Map<CallId, OnCommandPushResult>();
  private readonly stateStoreRequestTokens: TokenBucket;
  private readonly stateStoreWriteTokens: TokenBucket;
  private readonly stateStoreQueue: CallQueue;
  private readonly cloudQueue: CallQueue;

  constructor(
    readonly settings: Settings,
    readonly tuning: Tuning,
    start: ClockReading,
    readonly features: Features = ALL_OFF,
  ) {
    this.now = start;
    const { stateStore, cloud } = settings;
    this.stateStoreRequestTokens = new TokenBucket(
      stateStore.requestsPerSecond,
      stateStore.requestsPerSecond,
      start.monotonic,
    );
    this.stateStoreWriteTokens = new TokenBucket(
      stateStore.writesPerSecond,
      stateStore.writesPerSecond,
      start.monotonic,
    );
    this.stateStoreQueue = new CallQueue(this.stateStoreRequestTokens, this.stateStoreWriteTokens);
    this.cloudQueue = new CallQueue(
      new TokenBucket(cloud.requestsPerSecond * CLOUD_RATE_PART, cloud.requestsPerSecond, start.monotonic),
      null,
    );
    this.setIsLeader(false);
  }

  beginStep(now: ClockReading): void {
    this.now = now;
    this.outputs = [];
  }

  /** Lets queued calls out as far as the token buckets allow, and returns all outputs of the step. */
  endStep(): Output[] {
    this.dispatch(this.stateStoreQueue, 'storeQueue');
    this.dispatch(this.cloudQueue, 'cloudQueue');
    return this.outputs;
  }

  private dispatch(queue: CallQueue, timer: 'storeQueue' | 'cloudQueue'): void {
    const next = queue.dispatch(this.now.monotonic);
    if (next === null) this.timers.clear(timer);
    else this.timers.set(timer, next);
  }

  get isLeader(): boolean {
    return this.leaderRole;
  }

  /** The instant so many milliseconds from now. */
  after(ms: number): MonotonicTime {
    return addMilliseconds(this.now.monotonic, ms);
  }

  /**
   * The nodes share the limits of the state service without talking about it. Most of what is written comes from the
   * leader, so it takes the larger part and the others share the rest; a refusal makes a node pause.
   */
  setIsLeader(leading: boolean): void {
    this.leaderRole = leading;
    const { controllerCount, stateStore } = this.settings;
    const followerPart = Math.min(LEADER_PART, FOLLOWERS_PART / (controllerCount - 1));
    const part = controllerCount === 1 ? 1 : leading ? LEADER_PART : followerPart;
    const { monotonic } = this.now;
    const rps = (this.usesAnnouncedRates ? stateStore.announcedRequestsPerSecond : stateStore.requestsPerSecond) * part;
    const writeRps =
      (this.usesAnnouncedRates ? stateStore.announcedWritesPerSecond : stateStore.writesPerSecond) * part;
    this.stateStoreRequestTokens.resize(rps, rps, monotonic);
    this.stateStoreWriteTokens.resize(writeRps, Math.max(stateStore.maxChangesPerTransaction, writeRps), monotonic);
  }

  /** Whether the state service takes more writes than what must be written now needs. */
  hasSpareWriteCapacity(): boolean {
    return this.stateStoreWriteTokens.fillRatio(this.now.monotonic) > SPARE_WRITES_LEVEL;
  }

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.outputs.push({ kind: 'log', level, event, fields });
  }

  callStateStore(
    operation: StateStoreOperation,
    priority: CallPriority,
    onResult: OnStateStoreResult,
    options: CallOptions = {},
  ): void {
    const { timeoutMs = STORE_TIMEOUT_MS, maxQueueTimeMs = STORE_QUEUE_MS, failFast = false, onSend } = options;
    const queued: QueuedCall = {
      writeTokens: operation.op === 'compareAndSwap' ? operation.changes.length : 0,
      expiresAt: this.after(maxQueueTimeMs),
      send: () => {
        const callId = this.nextCall();
        this.openStateStoreCalls.set(callId, { onResult, writes: isWrite(operation) });
        onSend?.(this.now.monotonic);
        this.outputs.push({ kind: 'stateStoreCall', callId, operation, timeoutMs });
      },
      refuse: () => onResult(NOT_SENT),
    };
    if (failFast) this.stateStoreQueue.addOrRefuse(priority, queued, this.now.monotonic);
    else this.stateStoreQueue.add(priority, queued);
  }

  callCloud(op: CloudOperation, priority: CallPriority, onResult: OnCloudResult): void {
    this.cloudQueue.add(priority, {
      writeTokens: 0,
      expiresAt: this.after(CLOUD_QUEUE_MS),
      send: () => this.sendToCloud(op, onResult),
      refuse: () => onResult(NOT_SENT),
    });
  }

  /** What changes anything there goes out only while this node leads: the cloud has no token that would refuse it later. */
  private sendToCloud(operation: CloudOperation, onResult: OnCloudResult): void {
    const changes = operation.op === 'provision' || operation.op === 'terminate';
    if (changes && this.now.monotonic >= this.leadershipValidUntil) {
      onResult(NOT_SENT);
      return;
    }
    const callId = this.nextCall();
    this.openCloudCalls.set(callId, onResult);
    this.outputs.push(
      changes
        ? { kind: 'cloudCall', callId, operation, ...this.whileLeading() }
        : { kind: 'cloudCall', callId, operation },
    );
  }

  /** For outputs that only the leader may make. */
  private whileLeading(): { expiresAt: MonotonicTime } {
    return { expiresAt: this.leadershipValidUntil };
  }

  /** A direct call to a worker: it is sent at once. */
  pushCommands(operation: CommandPush, onResult: OnCommandPushResult): void {
    const callId = this.nextCall();
    this.openCommandPushes.set(callId, onResult);
    this.outputs.push({ kind: 'commandPush', callId, operation, ...this.whileLeading() });
  }

  /** Direct calls without an answer so far: each holds a socket, and one to a silent machine for seconds. */
  get openCommandPushCount(): number {
    return this.openCommandPushes.size;
  }

  sendToPeer(recipient: ControllerName, message: PeerMessage): void {
    this.outputs.push({ kind: 'peerMessage', recipient, message, ...this.expiryOfMessage(message) });
  }

  private expiryOfMessage(message: PeerMessage): { expiresAt: MonotonicTime } | null {
    if (message.kind === 'requestResponse') return this.whileFresh(message.response);
    const renewsLease = message.kind === 'heartbeatResponse' && message.response.status === 200;
    return renewsLease ? this.whileLeading() : null;
  }

  /** `deadline`: when the user no longer waits for the answer. */
  respondToUser(requestId: RequestId, response: UserResponse, deadline: MonotonicTime): void {
    const fresh = this.whileFresh(response);
    const expiresAt = fresh && (Math.min(fresh.expiresAt, deadline) as MonotonicTime);
    this.outputs.push({ kind: 'userResponse', requestId, response, ...(expiresAt ? { expiresAt } : {}) });
  }

  /** What isn't final is true of the moment at which it was confirmed: another node may be cancelling the job. */
  private whileFresh(answer: UserResponse): { expiresAt: MonotonicTime } | null {
    const isOpen = 'jobStatus' in answer && (answer.jobStatus === 'queued' || answer.jobStatus === 'running');
    return isOpen ? { expiresAt: this.after(OPEN_ANSWER_MS) } : null;
  }

  respondToWorker(requestId: RequestId, response: HeartbeatResponse): void {
    // A node that doesn't lead hands on the leader's answer as it came.
    const renewsLease = response.status === 200 && this.leaderRole;
    this.outputs.push({ kind: 'heartbeatResponse', requestId, response, ...(renewsLease ? this.whileLeading() : {}) });
  }

  private nextCall(): CallId {
    this.lastCall += 1;
    return this.lastCall;
  }

  onStateStoreReply(call: CallId, result: StateStoreResult): void {
    const sent = this.openStateStoreCalls.get(call);
    if (!sent) return;
    this.openStateStoreCalls.delete(call);
    if (!result.ok && result.error.code === 'throttled') this.onThrottled(sent.writes);
    this.trackStateStoreHealth(result);
    sent.onResult(result);
  }

  private trackStateStoreHealth(result: StateStoreResult): void {
    if (result.ok || (!wasNotExecuted(result.error) && result.error.code !== 'outcomeUnknown')) {
      this.stateStoreFailingSince = null;
      return;
    }
    this.stateStoreFailingSince ??= this.now.monotonic;
    if (wasNotExecuted(result.error)) this.stateStoreQueue.pause(this.after(REFUSED_PAUSE_MS));
  }

  /**
   * The service said that calls come too often. Where lower rates are announced this is the only sign that they have come
   * into force; taken too early it costs some pace, and sizes have kept to both limits from the start.
   */
  private onThrottled(writes: boolean): void {
    const { stateStore } = this.settings;
    const announced = writes
      ? stateStore.announcedWritesPerSecond < stateStore.writesPerSecond
      : stateStore.announcedRequestsPerSecond < stateStore.requestsPerSecond;
    if (this.usesAnnouncedRates || !announced) return;
    this.usesAnnouncedRates = true;
    this.log('info', 'state service takes fewer calls: keeping to the announced limits', {
      rps: stateStore.announcedRequestsPerSecond,
      writeRps: stateStore.announcedWritesPerSecond,
    });
    this.setIsLeader(this.leaderRole);
  }

  onCloudReply(call: CallId, result: CloudResult): void {
    const onResult = this.openCloudCalls.get(call);
    this.openCloudCalls.delete(call);
    onResult?.(result);
  }

  onCommandPushReply(call: CallId, result: CommandPushResult): void {
    const onResult = this.openCommandPushes.get(call);
    this.openCommandPushes.delete(call);
    onResult?.(result);
  }
}
