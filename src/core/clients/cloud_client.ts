/** Calls to the cloud: their rate limit, and that only the leader changes anything there. */
import type { LeadershipValidity } from '../leadership_validity.js';
import type { CallId, CloudOperation, CloudOperationName, CloudResult, CloudResultOf } from '../messages.js';
import type { Outbox } from '../outbox.js';
import type { Settings } from '../settings.js';
import type { StepClock } from '../step_clock.js';
import type { Timer, TimerFactory } from '../timers.js';
import { type CallPriority, CallQueue } from './call_queue.js';
import { OpenCalls } from './open_calls.js';
import { TokenBucket } from './token_bucket.js';

/** The share of the cloud's rate limit that is used over time; bursts may use all of it. */
const RATE_SHARE = 0.8;
/** What could not be sent for so long is refused. */
const MAX_QUEUE_TIME_MS = 5000;

const NOT_SENT = { ok: false, error: { code: 'unavailable' } } as const;

/** The codec has read the reply by the operation, so that it is a response to that. */
type OnResult = (result: CloudResultOf<never>) => void;

/** Sends calls to the cloud in order of priority, and hands their results back. */
export class CloudClient {
  private readonly openCalls = new OpenCalls<OnResult>();
  private readonly queue: CallQueue;
  /** Only brings a step about, at the end of which queued calls go out. */
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

  /** Queues a call. `onResult` follows once, in a later step or at the end of this one. */
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

  /** What changes anything goes out only while this controller leads: the cloud has no token that would refuse it later. */
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

  /** Sends queued calls as far as the rate limit allows. */
  dispatch(): void {
    this.queueTimer.setOrClear(this.queue.dispatch(this.clock.now.monotonic));
  }

  /** Takes the cloud's reply to a call. */
  onReply(callId: CallId, result: CloudResult): void {
    this.openCalls.take(callId)?.(result as CloudResultOf<never>);
  }
}
