/** Queues calls to an outside service until its rate limits let them through. */
import type { MonotonicTime } from '../types.js';
import type { TokenBucket } from './token_bucket.js';

/** Lower goes first: lease renewal, the leader's records, users' writes, reads, what can wait. */
export type CallPriority = 0 | 1 | 2 | 3 | 4;
const PRIORITY_COUNT = 5;
/** Renewals pass even an empty bucket: a lease lost to our own thrift would stop everything. */
const UNTHROTTLED_PRIORITY = 0;
const MIN_WAIT_MS = 1;

/** A call that waits for tokens. */
export interface QueuedCall {
  /** The tokens that it takes from the bucket of writes; a request token is taken for every call. */
  readonly writeTokens: number;
  /** What has not been sent by then is refused. */
  readonly expiresAt: MonotonicTime;
  readonly send: () => void;
  /** Called instead of `send`. */
  readonly refuse: () => void;
}

/** Calls to one outside service, let through in order of priority as its token buckets allow. */
export class CallQueue {
  private readonly waiting: QueuedCall[][] = Array.from({ length: PRIORITY_COUNT }, () => []);
  /** The write tokens that the waiting calls of each priority ask for. */
  private readonly waitingWriteTokens: number[] = Array(PRIORITY_COUNT).fill(0);
  /** Calls that can't be sent in time, to be refused at the end of the step in which they were made. */
  private refusedEarly: QueuedCall[] = [];
  private pausedUntil = 0 as MonotonicTime;

  constructor(
    private readonly requestTokens: TokenBucket,
    private readonly writeTokens: TokenBucket | null,
  ) {}

  /** Adds a call behind those of its priority. */
  add(priority: CallPriority, call: QueuedCall): void {
    this.waiting[priority]?.push(call);
    this.waitingWriteTokens[priority] = (this.waitingWriteTokens[priority] ?? 0) + call.writeTokens;
  }

  /** Adds a call that somebody waits for: where it can't be sent before it expires, it is refused at once. */
  addOrRefuse(priority: CallPriority, call: QueuedCall, now: MonotonicTime): void {
    if (this.canSendInTime(priority, call, now)) this.add(priority, call);
    else this.refusedEarly.push(call);
  }

  /** Whether the tokens for all that goes before it and for itself come in before it expires. */
  private canSendInTime(priority: CallPriority, { writeTokens, expiresAt }: QueuedCall, now: MonotonicTime): boolean {
    if (this.pausedUntil >= expiresAt) return false;
    let callsBefore = 0;
    let writesBefore = 0;
    for (let before = 0; before <= priority; before++) {
      callsBefore += this.waiting[before]?.length ?? 0;
      writesBefore += this.waitingWriteTokens[before] ?? 0;
    }
    // A token that comes in as the call expires comes too late.
    if (this.requestTokens.availableBy(expiresAt, now) <= callsBefore + 1) return false;
    return (
      writeTokens === 0 ||
      this.writeTokens === null ||
      this.writeTokens.availableBy(expiresAt, now) > writesBefore + writeTokens
    );
  }

  /** The service refused a call: all but the first priority waits until then. */
  pause(until: MonotonicTime): void {
    if (until > this.pausedUntil) this.pausedUntil = until;
  }

  /** Sends what the buckets allow, and refuses what has expired; returns when to look again, null if nothing waits. */
  dispatch(now: MonotonicTime): MonotonicTime | null {
    const { refusedEarly } = this;
    this.refusedEarly = [];
    for (const call of refusedEarly) call.refuse();
    let next: MonotonicTime | null = null;
    // Without request tokens nothing of a lower priority may pass, but what has expired is still refused.
    let exhausted = false;
    this.waiting.forEach((queue, priority) => {
      for (
        let first = this.firstUnexpired(queue, priority, now);
        first;
        first = this.firstUnexpired(queue, priority, now)
      ) {
        const wait = priority === UNTHROTTLED_PRIORITY ? null : this.requiredWait(first, exhausted, now);
        if (wait) {
          const retryAt = Math.min(wait.until, first.expiresAt) as MonotonicTime;
          if (next === null || retryAt < next) next = retryAt;
          exhausted ||= wait.isForRequests;
          // Without write tokens reads may still go.
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

  /** The first call of a queue that has not expired; those before it are refused. */
  private firstUnexpired(queue: QueuedCall[], priority: number, now: MonotonicTime): QueuedCall | undefined {
    while (queue[0] && queue[0].expiresAt <= now) this.removeFirst(queue, priority)?.refuse();
    return queue[0];
  }

  private removeFirst(queue: QueuedCall[], priority: number): QueuedCall | undefined {
    const call = queue.shift();
    if (call) this.waitingWriteTokens[priority] = (this.waitingWriteTokens[priority] ?? 0) - call.writeTokens;
    return call;
  }

  /** Until when a call has to wait, and whether that is for request tokens; null: it may go now. */
  private requiredWait(
    call: QueuedCall,
    exhausted: boolean,
    now: MonotonicTime,
  ): { until: MonotonicTime; isForRequests: boolean } | null {
    if (now < this.pausedUntil) return { until: this.pausedUntil, isForRequests: false };
    const callsMs = exhausted || !this.requestTokens.hasTokens(1, now) ? this.requestTokens.waitMs(1, now) : 0;
    const writesMs =
      this.writeTokens && !this.writeTokens.hasTokens(call.writeTokens, now)
        ? this.writeTokens.waitMs(call.writeTokens, now)
        : 0;
    if (!exhausted && callsMs === 0 && writesMs === 0) return null;
    return { until: (now + Math.max(MIN_WAIT_MS, callsMs, writesMs)) as MonotonicTime, isForRequests: callsMs > 0 };
  }
}
