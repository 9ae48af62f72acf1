/** Calls the cloud within its rate limit. Only the leader may provision or terminate machines. */
import type { LeadershipValidity } from '../leadership_validity.js';
import type { CallId, CloudOperation, CloudOperationName, CloudResult, CloudResultOf } from '../messages.js';
import type { Outbox } from '../outbox.js';
import type { Settings } from '../settings.js';
import type { StepClock } from '../step_clock.js';
import type { Timer, TimerFactory } from '../timers.js';
import { type CallPriority, CallQueue } from './call_queue.js';
import { OpenCalls } from './open_calls.js';
import { TokenBucket } from './token_bucket.js';

/** Share of the cloud's rate limit that is used as the sustained rate. Bursts may use the whole limit. */
const RATE_SHARE = 0.8;
/** Time after which a call that could not be sent is refused. */
const MAX_QUEUE_TIME_MS = 5000;

const NOT_SENT = { ok: false, error: { code: 'unavailable' } } as const;

/** Called with a result of the call's operation type, as the codec decodes each reply according to its operation. */
type OnResult = (result: CloudResultOf<never>) => void;

/** Sends calls to the cloud in order of priority, and passes their results to the callers. */
export class CloudClient {
  private readonly openCalls = new OpenCalls<OnResult>();
  private readonly queue: CallQueue;
  /** Has no callback. Its expiry starts a step of the controller, and queued calls are sent at the end of each step. */
  private readonly queueTimer: Timer;

  constructor(
    { requestsPerSecond }: Settings['cloud'],
    private readonly clock: StepClock,
    private readonly outbox: Outbox,
    private readonly leadership: LeadershipValidity,
    timers: TimerFactory,
  ) {
    const bucket = new TokenBucket(requestsPerSecond * RATE_SHARE, requestsPerSecond, clock.now.monotonic);
    this.queue = new CallQueue(bucket, null);
    this.queueTimer = timers.create();
  }

  /** Enqueues a call. `onResult` is called once, in a later step or at the end of this one. */
  call<Op extends CloudOperationName>(
    operation: CloudOperation & { readonly op: Op },
    priority: CallPriority,
    onResult: (result: CloudResultOf<Op>) => void,
  ): void {
    this.queue.add(priority, {
      writeTokens: 0,
      expiresAt: this.clock.after(MAX_QUEUE_TIME_MS),
      send: () => this.send(operation, onResult),
      refuse: () => onResult(NOT_SENT),
    });
  }

  /**
   * Sends a call. Provisioning and termination are sent only while this controller leads, because the cloud checks no
   * fencing token and would execute the calls of a previous leader.
   */
  private send(operation: CloudOperation, onResult: OnResult): void {
    const isChange = operation.op === 'provision' || operation.op === 'terminate';
    if (isChange && this.clock.now.monotonic >= this.leadership.validUntil) {
      onResult(NOT_SENT);
      return;
    }
    const callId = this.openCalls.add(onResult);
    const expiry = isChange ? this.leadership.expiry : {};
    this.outbox.push({ kind: 'cloudCall', callId, operation, ...expiry });
  }

  /** Sends queued calls as far as the rate limit allows, and sets the timer for the remaining ones. */
  dispatch(): void {
    this.queueTimer.setOrClear(this.queue.dispatch(this.clock.now.monotonic));
  }

  /** Passes the cloud's reply to the caller. A second reply to the same call is ignored. */
  onReply(callId: CallId, result: CloudResult): void {
    this.openCalls.take(callId)?.(result as CloudResultOf<never>);
  }
}
