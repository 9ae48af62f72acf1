/**
 * Calls the state store within its rate limits. Derives the state store's health from its replies, and detects when
 * announced lower limits come into force.
 */
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
import { ABSENT_VERSION, type MonotonicTime, type Revision } from '../types.js';
import { type CallPriority, CallQueue, type QueuedCall } from './call_queue.js';
import { OpenCalls } from './open_calls.js';
import { TokenBucket } from './token_bucket.js';

/** Timeouts and callbacks of a call. */
interface StateStoreCallOptions {
  /** Maximum wait for a reply once the call is sent, in milliseconds. */
  readonly timeoutMs?: number;
  /** Maximum wait for tokens before the call is sent, in milliseconds. A call that has to wait longer is refused. */
  readonly maxQueueTimeMs?: number;
  /**
   * Whether the call is refused at once if it can't be sent within `maxQueueTimeMs`. Set if someone waits for the
   * result.
   */
  readonly failFast?: boolean;
}

/**
 * Called with the result of a call, and with the time at which the call was sent or refused. The state store handled the
 * call at some time between the two.
 */
type OnStateStoreResult<Op extends StateStoreOperationName> = (
  result: StateStoreResultOf<Op>,
  sentAt: MonotonicTime,
) => void;

/** A call that was sent and awaits its reply. */
interface SentCall {
  /** Called with a result of the call's operation type, as the codec decodes each reply according to its operation. */
  readonly onResult: OnStateStoreResult<never>;
  readonly sentAt: MonotonicTime;
  readonly isWrite: boolean;
}

/** Shares of the limits that the leader uses and that all followers together use. They add up to more than 1. */
const LEADER_SHARE = 0.65;
const FOLLOWERS_SHARE = 0.7;
const DEFAULT_TIMEOUT_MS = 1500;
const DEFAULT_MAX_QUEUE_TIME_MS = 3000;
/** Pause before further calls after the state store refused one, in milliseconds. */
const REFUSED_PAUSE_MS = 100;
/** Share of the burst that must be available for writes that can be deferred. */
const MIN_SPARE_WRITES_RATIO = 0.5;

const NOT_SENT = { ok: false, error: { code: 'unavailable' } } as const;

/** Returns the number of write tokens that a call takes, which is one for each change. */
const writeTokensOf = (operation: StateStoreOperation): number =>
  operation.op === 'compareAndSwap' ? operation.changes.length : 0;

/** Returns whether an error shows that the state store refused the call or did not reply. */
const isOutage = (error: StateStoreError): boolean => wasNotExecuted(error) || error.code === 'outcomeUnknown';

/** Sends calls to the state store in order of priority, and passes their results to the callers. */
export class StateStoreClient {
  private failureStartedAt: MonotonicTime | null = null;
  private highestRevision = ABSENT_VERSION;
  private isLeader = false;
  /** Whether this process has observed that the announced lower rates have come into force. */
  private usesAnnouncedRates = false;
  private readonly openCalls = new OpenCalls<SentCall>();
  private readonly requestTokens: TokenBucket;
  private readonly writeTokens: TokenBucket;
  private readonly queue: CallQueue;
  /** Has no callback. Its expiry starts a step of the controller, and queued calls are sent at the end of each step. */
  private readonly queueTimer: Timer;

  /** `controllerCount`: the number of controllers that share the limits. */
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

  /** Time since which the state store has refused all calls of this controller or not replied. Null if it replies. */
  get failingSince(): MonotonicTime | null {
    return this.failureStartedAt;
  }

  /** The newest revision of the state store that any reply has shown. */
  get newestRevision(): Revision {
    return this.highestRevision;
  }

  /** Returns whether enough write tokens are left to also send writes that can be deferred. */
  hasSpareWriteCapacity(): boolean {
    return this.writeTokens.fillRatio(this.clock.now.monotonic) > MIN_SPARE_WRITES_RATIO;
  }

  /** Sets the controller's role, and uses the role's share of the limits from now on. */
  setIsLeader(isLeader: boolean): void {
    this.isLeader = isLeader;
    this.resizeBuckets();
  }

  /**
   * Sets the buckets to this controller's share of the limits. The controllers divide the limits without coordination.
   * Most writes come from the leader, so it uses the larger share, and the followers divide the other share equally. A
   * controller pauses when the state store refuses a call.
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

  /** Enqueues a call. `onResult` is called once, in a later step or at the end of this one. */
  call<Op extends StateStoreOperationName>(
    operation: StateStoreOperation & { readonly op: Op },
    priority: CallPriority,
    onResult: OnStateStoreResult<Op>,
    options: StateStoreCallOptions = {},
  ): void {
    const { timeoutMs = DEFAULT_TIMEOUT_MS, maxQueueTimeMs = DEFAULT_MAX_QUEUE_TIME_MS, failFast = false } = options;
    const queued: QueuedCall = {
      writeTokens: writeTokensOf(operation),
      expiresAt: this.clock.after(maxQueueTimeMs),
      send: () => {
        const sentAt = this.clock.now.monotonic;
        const callId = this.openCalls.add({ onResult, sentAt, isWrite: writeTokensOf(operation) > 0 });
        this.outbox.push({ kind: 'stateStoreCall', callId, operation, timeoutMs });
      },
      refuse: () => onResult(NOT_SENT, this.clock.now.monotonic),
    };
    if (failFast) this.queue.addOrRefuse(priority, queued, this.clock.now.monotonic);
    else this.queue.add(priority, queued);
  }

  /** Sends queued calls as far as the rate limits allow, and sets the timer for the remaining ones. */
  dispatch(): void {
    this.queueTimer.setOrClear(this.queue.dispatch(this.clock.now.monotonic));
  }

  /** Processes the state store's reply to a call. A second reply to the same call is ignored. */
  onReply(callId: CallId, result: StateStoreResult): void {
    const sent = this.openCalls.take(callId);
    if (!sent) return;
    if (!result.ok && result.error.code === 'throttled') this.onThrottled(sent.isWrite);
    this.trackHealth(result);
    this.trackRevision(result);
    sent.onResult(result as StateStoreResultOf<never>, sent.sentAt);
  }

  private trackHealth(result: StateStoreResult): void {
    if (result.ok || !isOutage(result.error)) {
      this.failureStartedAt = null;
      return;
    }
    this.failureStartedAt ??= this.clock.now.monotonic;
    if (wasNotExecuted(result.error)) this.queue.pause(this.clock.after(REFUSED_PAUSE_MS));
  }

  private trackRevision(result: StateStoreResult): void {
    if (!result.ok || !('revision' in result.value)) return;
    const { revision } = result.value;
    if (revision !== undefined && revision > this.highestRevision) this.highestRevision = revision;
  }

  /**
   * Handles a reply that the rate limit was exceeded. If lower rates are announced, this reply is the only sign that
   * they have come into force. Switching to them too early only lowers the throughput. Size limits need no switch, as
   * the lower of the current and the announced limit applies from the start.
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
