import type { Steady } from '../types.js';

/** A token bucket on the steady clock it is given. */
export class TokenBucket {
  private level: number;
  private at: Steady;

  constructor(
    private ratePerS: number,
    private burst: number,
    now: Steady,
  ) {
    this.level = burst;
    this.at = now;
  }

  /** A node's part of a shared limit changes with what it does: what is in the bucket stays, up to the new burst. */
  resize(ratePerS: number, burst: number, now: Steady): void {
    this.refill(now);
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.level = Math.min(this.level, burst);
  }

  /** The part of the burst that is there now: below 0.5 what can wait should. */
  fullness(now: Steady): number {
    this.refill(now);
    return this.level / this.burst;
  }

  private refill(now: Steady): void {
    if (now <= this.at) return;
    this.level = Math.min(this.burst, this.level + ((now - this.at) / 1000) * this.ratePerS);
    this.at = now;
  }

  has(n: number, now: Steady): boolean {
    if (n <= 0) return true;
    this.refill(now);
    // A charge above the burst could never be met: it waits for a full bucket and runs it into debt.
    return this.level >= Math.min(n, this.burst);
  }

  take(n: number, now: Steady): void {
    this.refill(now);
    this.level -= n;
  }

  /** Milliseconds until `n` tokens are there. */
  waitMs(n: number, now: Steady): number {
    this.refill(now);
    return Math.max(0, ((Math.min(n, this.burst) - this.level) / this.ratePerS) * 1000);
  }
}

/** Lower goes first: lease renewal, the leader's records, users' writes, reads, what can wait. */
export type CallPriority = 0 | 1 | 2 | 3 | 4;

interface Waiting<Op> {
  readonly op: Op;
  readonly cost: number;
  readonly writes: number;
  readonly expires: Steady;
  readonly send: () => void;
  readonly giveUp: () => void;
}

/** Calls to one outside service, let through in order of priority as its buckets allow. */
export class CallQueue<Op> {
  private readonly waiting: Waiting<Op>[][] = [[], [], [], [], []];
  private pausedUntil = 0 as Steady;

  constructor(
    private readonly calls: TokenBucket,
    private readonly writes: TokenBucket | null,
  ) {}

  add(priority: CallPriority, entry: Waiting<Op>): void {
    (this.waiting[priority] as Waiting<Op>[]).push(entry);
  }

  /** The service said "too many": hold everything but the first priority for a moment. */
  pause(until: Steady): void {
    if (until > this.pausedUntil) this.pausedUntil = until;
  }

  /** Sends what the buckets allow; returns when to look again, or null if nothing waits. */
  pump(now: Steady): Steady | null {
    let again: Steady | null = null;
    // Without call tokens nothing lower may pass, but what has waited too long is still given up.
    let dry = false;
    const lookAgain = (at: Steady): void => {
      if (again === null || at < again) again = at;
    };
    for (let p = 0; p < this.waiting.length; p++) {
      const queue = this.waiting[p] as Waiting<Op>[];
      while (queue.length > 0) {
        const first = queue[0] as Waiting<Op>;
        if (first.expires <= now) {
          queue.shift();
          first.giveUp();
          continue;
        }
        // Renewals pass even an empty bucket: a lease lost to our own thrift would stop everything.
        if (p > 0) {
          if (now < this.pausedUntil) {
            lookAgain(Math.min(this.pausedUntil, first.expires) as Steady);
            break;
          }
          const wait = dry || !this.calls.has(first.cost, now) ? this.calls.waitMs(first.cost, now) : 0;
          const held = this.writes && !this.writes.has(first.writes, now) ? this.writes.waitMs(first.writes, now) : 0;
          if (dry || wait > 0 || held > 0) {
            lookAgain(Math.min(now + Math.max(1, wait, held), first.expires) as Steady);
            if (wait > 0) dry = true;
            // Without write tokens reads may still go.
            break;
          }
        }
        queue.shift();
        this.calls.take(first.cost, now);
        this.writes?.take(first.writes, now);
        first.send();
      }
    }
    return again;
  }
}
