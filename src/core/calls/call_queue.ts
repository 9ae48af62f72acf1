import type { Steady } from '../types.js';
import type { TokenBucket } from './token_bucket.js';

/** Lower goes first: lease renewal, the leader's records, users' writes, reads, what can wait. */
export type CallPriority = 0 | 1 | 2 | 3 | 4;
const PRIORITIES = 5;
/** Renewals pass even an empty bucket: a lease lost to our own thrift would stop everything. */
const UNLIMITED_PRIORITY = 0;
const MIN_WAIT_MS = 1;

/** A call that waits for tokens. */
export interface QueuedCall {
  /** Tokens of the bucket of changes that it takes. */
  readonly writes: number;
  /** What has not been sent by then is given up. */
  readonly expiresAt: Steady;
  readonly send: () => void;
  readonly giveUp: () => void;
}

/** Calls to one outside service, let through in order of priority as its token buckets allow. */
export class CallQueue {
  private readonly waiting: QueuedCall[][] = Array.from({ length: PRIORITIES }, () => []);
  /** The changes that the waiting calls of each priority ask for. */
  private readonly waitingWrites: number[] = Array(PRIORITIES).fill(0);
  /** Calls that can't be sent in time, to be given up with the step in which they were made. */
  private hopeless: QueuedCall[] = [];
  private pausedUntil = 0 as Steady;

  constructor(
    private readonly calls: TokenBucket,
    private readonly writes: TokenBucket | null,
  ) {}

  add(priority: CallPriority, call: QueuedCall): void {
    this.waiting[priority]?.push(call);
    this.waitingWrites[priority] = (this.waitingWrites[priority] ?? 0) + call.writes;
  }

  /** Adds a call that somebody waits for: where it can't be sent before it expires, it is given up at once. */
  addIfInTime(priority: CallPriority, call: QueuedCall, now: Steady): void {
    if (this.canSendInTime(priority, call, now)) this.add(priority, call);
    else this.hopeless.push(call);
  }

  /** Whether the tokens for all that goes before it and for itself come in before it expires. */
  private canSendInTime(priority: CallPriority, { writes, expiresAt }: QueuedCall, now: Steady): boolean {
    if (this.pausedUntil >= expiresAt) return false;
    let callsBefore = 0;
    let writesBefore = 0;
    for (let before = 0; before <= priority; before++) {
      callsBefore += this.waiting[before]?.length ?? 0;
      writesBefore += this.waitingWrites[before] ?? 0;
    }
    // A token that comes in as the call expires comes too late.
    if (this.calls.payableBy(expiresAt, now) <= callsBefore + 1) return false;
    return writes === 0 || this.writes === null || this.writes.payableBy(expiresAt, now) > writesBefore + writes;
  }

  /** The service refused a call: all but the first priority waits for a moment. */
  pause(until: Steady): void {
    if (until > this.pausedUntil) this.pausedUntil = until;
  }

  /** Sends what the buckets allow; returns when to look again, or null if nothing waits. */
  pump(now: Steady): Steady | null {
    const { hopeless } = this;
    this.hopeless = [];
    for (const call of hopeless) call.giveUp();
    let next: Steady | null = null;
    // Without tokens for calls nothing of a lower priority may pass, but what has waited too long is still given up.
    let exhausted = false;
    this.waiting.forEach((queue, priority) => {
      for (let first = this.firstLive(queue, priority, now); first; first = this.firstLive(queue, priority, now)) {
        const wait = priority === UNLIMITED_PRIORITY ? null : this.waitFor(first, exhausted, now);
        if (wait) {
          const lookAt = Math.min(wait.until, first.expiresAt) as Steady;
          if (next === null || lookAt < next) next = lookAt;
          exhausted ||= wait.forCalls;
          // Without tokens for changes reads may still go.
          return;
        }
        this.removeFirst(queue, priority);
        this.calls.take(1, now);
        this.writes?.take(first.writes, now);
        first.send();
      }
    });
    return next;
  }

  /** The first call of a queue that has not expired; those before it are given up. */
  private firstLive(queue: QueuedCall[], priority: number, now: Steady): QueuedCall | undefined {
    while (queue[0] && queue[0].expiresAt <= now) this.removeFirst(queue, priority)?.giveUp();
    return queue[0];
  }

  private removeFirst(queue: QueuedCall[], priority: number): QueuedCall | undefined {
    const call = queue.shift();
    if (call) this.waitingWrites[priority] = (this.waitingWrites[priority] ?? 0) - call.writes;
    return call;
  }

  /** Until when a call has to wait, and whether that is for the bucket of calls; null: it may go now. */
  private waitFor(call: QueuedCall, exhausted: boolean, now: Steady): { until: Steady; forCalls: boolean } | null {
    if (now < this.pausedUntil) return { until: this.pausedUntil, forCalls: false };
    const callsMs = exhausted || !this.calls.has(1, now) ? this.calls.waitMs(1, now) : 0;
    const writesMs = this.writes && !this.writes.has(call.writes, now) ? this.writes.waitMs(call.writes, now) : 0;
    if (!exhausted && callsMs === 0 && writesMs === 0) return null;
    return { until: (now + Math.max(MIN_WAIT_MS, callsMs, writesMs)) as Steady, forCalls: callsMs > 0 };
  }
}
