/** Calls to the state store: their rate limits, what a reply says of its health, and lower limits that come into force. */
import type {
  CallId,
  StateStoreError,
  StateStoreOperation,
  StateStoreOperationName,
  StateStoreResult,
  StateStoreResultOf,
} from '../messages.js';
import { wasNotExecuted } from '../messages.js';
import type { Outbox } from '../outbox.js';
import type { Settings } from '../settings.js';
import type { StepClock } from '../step_clock.js';
import type { Timer, TimerFactory } from '../timers.js';
import type { MonotonicTime } from '../types.js';
import { type CallPriority, CallQueue, type QueuedCall } from './call_queue.js';
import { OpenCalls } from './open_calls.js';
import { TokenBucket } from './token_bucket.js';

/** How a call may wait. */
interface StateStoreCallOptions {
  /** For a reply, once it is sent, in milliseconds. */
  readonly timeoutMs?: number;
  /** For tokens, before it is sent, in milliseconds; what has to wait longer is refused. */
  readonly maxQueueTimeMs?: number;
  /** Somebody waits for the result: what surely has to wait longer than that is refused at once. */
  readonly failFast?: boolean;
  /** Called at the moment at which it is sent. */
  readonly onSend?: (at: MonotonicTime) => void;
}

/** A call that was sent. */
interface SentCall {
  /** The codec has read the reply by the operation, so that it is a response to that. */
  readonly onResult: (result: StateStoreResultOf<never>) => void;
  readonly isWrite: boolean;
}

/** The shares of the limits that the leader, and all followers together, use: somewhat over the whole. */
const LEADER_SHARE = 0.65;
const FOLLOWERS_SHARE = 0.7;
const DEFAULT_TIMEOUT_MS = 1500;
const DEFAULT_QUEUE_TIME_MS = 3000;
/** Pause after a call that the state store refused. */
const REFUSED_PAUSE_MS = 100;
/** With less of the burst left than this share, writes that can wait should. */
const SPARE_WRITES_RATIO = 0.5;

const NOT_SENT = { ok: false, error: { code: 'unavailable' } } as const;

/** The changes that a call makes, each of which takes a write token. */
const writeTokensOf = (operation: StateStoreOperation): number =>
  operation.op === 'compareAndSwap' ? operation.changes.length : 0;

const isOutage = (error: StateStoreError): boolean => wasNotExecuted(error) || error.code === 'outcomeUnknown';

/** Sends calls to the state store in order of priority, and hands their results back. */
export class StateStoreClient {
  private failureBegan: MonotonicTime | null = null;
  private isLeader = false;
  /** Whether the lower rates that were announced have come into force, as far as this process has seen. */
  private usesAnnouncedRates = false;
  private readonly openCalls = new OpenCalls<SentCall>();
  private readonly requestTokens: TokenBucket;
  private readonly writeTokens: TokenBucket;
  private readonly queue: CallQueue;
  /** Only brings a step about, at the end of which queued calls go out. */
  private readonly queueTimer: Timer;

  /** `controllerCount`: so many controllers share the limits. */
  constructor(
    private readonly limits: Settings['stateStore'],
    private readonly controllerCount: number,
    private readonly clock: StepClock,
    private readonly outbox: Outbox,
    timers: TimerFactory,
  ) {
    const { requestsPerSecond, writesPerSecond } = limits;
    const { monotonic } = clock.now;
    this.requestTokens = new TokenBucket(requestsPerSecond, requestsPerSecond, monotonic);
    this.writeTokens = new TokenBucket(writesPerSecond, writesPerSecond, monotonic);
    this.queue = new CallQueue(this.requestTokens, this.writeTokens);
    this.queueTimer = timers.create();
    this.resizeBuckets();
  }

  /** Since when the state store has only refused this controller or not replied; null: it replies. */
  get failingSince(): MonotonicTime | null {
    return this.failureBegan;
  }

  /** Whether the state store takes more writes than what must be written now needs. */
  hasSpareWriteCapacity(): boolean {
    return this.writeTokens.fillRatio(this.clock.now.monotonic) > SPARE_WRITES_RATIO;
  }

  /** Takes the share of the limits that belongs to the role from now on. */
  setIsLeader(isLeader: boolean): void {
    this.isLeader = isLeader;
    this.resizeBuckets();
  }

  /**
   * The controllers share the limits without talking about it. Most of what is written comes from the leader, so it takes
   * the larger part and the others share the rest; a refusal makes a controller pause.
   */
  private resizeBuckets(): void {
    const { limits, usesAnnouncedRates } = this;
    const share = this.limitShare();
    const requestRate = (usesAnnouncedRates ? limits.announcedRequestsPerSecond : limits.requestsPerSecond) * share;
    const writeRate = (usesAnnouncedRates ? limits.announcedWritesPerSecond : limits.writesPerSecond) * share;
    const { monotonic } = this.clock.now;
    this.requestTokens.resize(requestRate, requestRate, monotonic);
    this.writeTokens.resize(writeRate, Math.max(limits.maxChangesPerTransaction, writeRate), monotonic);
  }

  private limitShare(): number {
    if (this.controllerCount === 1) return 1;
    if (this.isLeader) return LEADER_SHARE;
    return Math.min(LEADER_SHARE, FOLLOWERS_SHARE / (this.controllerCount - 1));
  }

  /** Queues a call. `onResult` follows once, in a later step or at the end of this one. */
  call<Op extends StateStoreOperationName>(
    operation: StateStoreOperation & { readonly op: Op },
    priority: CallPriority,
    onResult: (result: StateStoreResultOf<Op>) => void,
    options: StateStoreCallOptions = {},
  ): void {
    const {
      timeoutMs = DEFAULT_TIMEOUT_MS,
      maxQueueTimeMs = DEFAULT_QUEUE_TIME_MS,
      failFast = false,
      onSend,
    } = options;
    const queued: QueuedCall = {
      writeTokens: writeTokensOf(operation),
      expiresAt: this.clock.after(maxQueueTimeMs),
      send: () => {
        const callId = this.openCalls.add({ onResult, isWrite: writeTokensOf(operation) > 0 });
        onSend?.(this.clock.now.monotonic);
        this.outbox.push({ kind: 'stateStoreCall', callId, operation, timeoutMs });
      },
      refuse: () => onResult(NOT_SENT),
    };
    if (failFast) this.queue.addOrRefuse(priority, queued, this.clock.now.monotonic);
    else this.queue.add(priority, queued);
  }

  /** Sends queued calls as far as the rate limits allow. */
  dispatch(): void {
    this.queueTimer.setOrClear(this.queue.dispatch(this.clock.now.monotonic));
  }

  /** Takes the state store's reply to a call. */
  onReply(callId: CallId, result: StateStoreResult): void {
    const sent = this.openCalls.take(callId);
    if (!sent) return;
    if (!result.ok && result.error.code === 'throttled') this.onThrottled(sent.isWrite);
    this.trackHealth(result);
    sent.onResult(result as StateStoreResultOf<never>);
  }

  private trackHealth(result: StateStoreResult): void {
    if (result.ok || !isOutage(result.error)) {
      this.failureBegan = null;
      return;
    }
    this.failureBegan ??= this.clock.now.monotonic;
    if (wasNotExecuted(result.error)) this.queue.pause(this.clock.after(REFUSED_PAUSE_MS));
  }

  /**
   * The service said that calls come too often. Where lower rates are announced this is the only sign that they have come
   * into force; taken too early it costs some pace, and sizes have kept to both limits from the start.
   */
  private onThrottled(isWrite: boolean): void {
    const { limits } = this;
    const isLowerAnnounced = isWrite
      ? limits.announcedWritesPerSecond < limits.writesPerSecond
      : limits.announcedRequestsPerSecond < limits.requestsPerSecond;
    if (this.usesAnnouncedRates || !isLowerAnnounced) return;
    this.usesAnnouncedRates = true;
    this.outbox.log('state store limits lowered', {
      requestsPerSecond: limits.announcedRequestsPerSecond,
      writesPerSecond: limits.announcedWritesPerSecond,
    });
    this.resizeBuckets();
  }
}
