/** Queues calls to an external service until its rate limits allow them to be sent. */
import type { MonotonicTime } from '../types.js';
import type { TokenBucket } from './token_bucket.js';

/**
 * Priority of a call. Lower values are sent first. Priority 0 is for the leader election and lease, and for the first
 * read of the machine types. Priority 1 is for calls that the leader needs to act, 2 mainly for users' requests, and
 * higher values are for calls that can be deferred.
 */
export type CallPriority = 0 | 1 | 2 | 3 | 4;
const PRIORITY_COUNT = 5;
/**
 * Calls of this priority, such as lease renewals, are sent even without tokens. A leader that lost its lease to its own
 * rate limit would stop all scheduling.
 */
const UNTHROTTLED_PRIORITY = 0;
/** Lower bound of the delay until the queue is dispatched again. */
const MIN_WAIT_MS = 1;

/** A call that waits for rate limit tokens. */
export interface QueuedCall {
  /** Tokens that the call takes from the bucket of writes. Every call also takes one request token. */
  readonly writeTokens: number;
  /** Time at which the call is refused if it has not been sent. */
  readonly expiresAt: MonotonicTime;
  readonly send: () => void;
  /** Called instead of `send`. */
  readonly refuse: () => void;
}

/** Calls to one external service, sent in order of priority as its token buckets allow. */
export class CallQueue {
  private readonly waiting: QueuedCall[][] = Array.from({ length: PRIORITY_COUNT }, () => []);
  /** Sum of the write tokens that the waiting calls of each priority need. */
  private readonly waitingWriteTokens: number[] = Array(PRIORITY_COUNT).fill(0);
  /** Calls that can't be sent in time. They are refused at the end of the step in which they were added. */
  private refusedEarly: QueuedCall[] = [];
  private pausedUntil = 0 as MonotonicTime;

  constructor(
    private readonly requestTokens: TokenBucket,
    private readonly writeTokens: TokenBucket | null,
  ) {}

  /** Enqueues a call behind the waiting calls of its priority. */
  add(priority: CallPriority, call: QueuedCall): void {
    this.waiting[priority]?.push(call);
    this.waitingWriteTokens[priority] = (this.waitingWriteTokens[priority] ?? 0) + call.writeTokens;
  }

  /** Enqueues a call whose caller waits for the result. It is refused at once if it can't be sent before it expires. */
  addOrRefuse(priority: CallPriority, call: QueuedCall, now: MonotonicTime): void {
    if (this.canSendInTime(priority, call, now)) this.add(priority, call);
    else this.refusedEarly.push(call);
  }

  /**
   * Returns whether the tokens for the call, and for all waiting calls ahead of it, become available before it expires.
   */
  private canSendInTime(priority: CallPriority, { writeTokens, expiresAt }: QueuedCall, now: MonotonicTime): boolean {
    if (this.pausedUntil >= expiresAt) return false;
    let callsBefore = 0;
    let writesBefore = 0;
    for (let before = 0; before <= priority; before++) {
      callsBefore += this.waiting[before]?.length ?? 0;
      writesBefore += this.waitingWriteTokens[before] ?? 0;
    }
    // A token that becomes available exactly when the call expires is too late.
    if (this.requestTokens.availableBy(expiresAt, now) <= callsBefore + 1) return false;
    return (
      writeTokens === 0 ||
      this.writeTokens === null ||
      this.writeTokens.availableBy(expiresAt, now) > writesBefore + writeTokens
    );
  }

  /** Sends no calls except those of the highest priority until the given time, because the service refused a call. */
  pause(until: MonotonicTime): void {
    if (until > this.pausedUntil) this.pausedUntil = until;
  }

  /**
   * Sends the calls that the buckets allow, and refuses expired calls. Returns when to dispatch again, or null if no
   * call waits.
   */
  dispatch(now: MonotonicTime): MonotonicTime | null {
    const { refusedEarly } = this;
    this.refusedEarly = [];
    for (const call of refusedEarly) call.refuse();
    let next: MonotonicTime | null = null;
    // Without request tokens no call of a lower priority may be sent, but expired calls are still refused.
    let requestTokensExhausted = false;
    this.waiting.forEach((queue, priority) => {
      for (
        let first = this.firstUnexpired(queue, priority, now);
        first;
        first = this.firstUnexpired(queue, priority, now)
      ) {
        const wait = priority === UNTHROTTLED_PRIORITY ? null : this.requiredWait(first, requestTokensExhausted, now);
        if (wait) {
          const retryAt = Math.min(wait.until, first.expiresAt) as MonotonicTime;
          if (next === null || retryAt < next) next = retryAt;
          requestTokensExhausted ||= wait.isForRequests;
          // If only write tokens are missing, calls of lower priorities that write nothing may still be sent.
          return;
        }
        this.removeFirst(queue, priority);
        this.requestTokens.take(1, now);
        this.writeTokens?.take(first.writeTokens, now);
        first.send();
      }
    });
    return next;
  }

  /** Returns the first call of a queue that has not expired, and refuses the expired calls ahead of it. */
  private firstUnexpired(queue: QueuedCall[], priority: number, now: MonotonicTime): QueuedCall | undefined {
    while (queue[0] && queue[0].expiresAt <= now) this.removeFirst(queue, priority)?.refuse();
    return queue[0];
  }

  private removeFirst(queue: QueuedCall[], priority: number): QueuedCall | undefined {
    const call = queue.shift();
    if (call) this.waitingWriteTokens[priority] = (this.waitingWriteTokens[priority] ?? 0) - call.writeTokens;
    return call;
  }

  /** Returns until when a call has to wait and whether it waits for request tokens, or null if it may be sent now. */
  private requiredWait(
    call: QueuedCall,
    requestTokensExhausted: boolean,
    now: MonotonicTime,
  ): { until: MonotonicTime; isForRequests: boolean } | null {
    if (now < this.pausedUntil) return { until: this.pausedUntil, isForRequests: false };
    const requestWaitMs =
      requestTokensExhausted || !this.requestTokens.hasTokens(1, now) ? this.requestTokens.waitMs(1, now) : 0;
    const writeWaitMs =
      this.writeTokens && !this.writeTokens.hasTokens(call.writeTokens, now)
        ? this.writeTokens.waitMs(call.writeTokens, now)
        : 0;
    if (!requestTokensExhausted && requestWaitMs === 0 && writeWaitMs === 0) return null;
    return {
      until: (now + Math.max(MIN_WAIT_MS, requestWaitMs, writeWaitMs)) as MonotonicTime,
      isForRequests: requestWaitMs > 0,
    };
  }
}
