import type { Clock } from './clock.js';

/** The host name of the state store. */
export const STATE_STORE_HOST = 'state-store';

/** What becomes of messages meanwhile: lost, or delivered when it is over. */
type PartitionMode = 'drop' | 'delay';

interface Partition {
  readonly host: string;
  /** The other end; "*": everybody. */
  readonly peer: string;
  readonly mode: PartitionMode;
  /** Only what goes to `host` is cut: it is heard but doesn't hear. */
  readonly oneWay: boolean;
  readonly held: (() => void)[];
}

/** Whether the cut is the one of `host` from `peer`. */
const isPartitioned = (cut: Partition, host: string, peer: string): boolean =>
  cut.host === host && (cut.peer === peer || (cut.peer === '*' && host !== peer));

/** Messages between hosts, with cuts that lose them or hold them back and deliver them late. */
export class Network {
  private readonly partitions = new Set<Partition>();
  private readonly addedLatencyMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Cuts `host` from `peer` ("*": from everybody) for a while; one way: only what is sent to `host` is lost. */
  partition(host: string, peer: string, ms: number, mode: PartitionMode, oneWay = false): void {
    const cut: Partition = { host, peer, mode, oneWay, held: [] };
    this.partitions.add(cut);
    this.clock.schedule(ms, () => {
      this.partitions.delete(cut);
      for (const deliver of cut.held) this.clock.schedule(this.clock.randomBetween(1, 20), deliver);
    });
  }

  /** Messages to and from a host take up to `delayMs` longer for a while, each by itself. */
  addLatency(host: string, delayMs: number, ms: number): void {
    this.addedLatencyMs.set(host, delayMs);
    this.clock.schedule(ms, () => this.addedLatencyMs.delete(host));
  }

  /** Delivers a message after a random latency, unless a partition is in its way. */
  send(from: string, to: string, deliver: () => void): void {
    for (const cut of this.partitions) {
      if (!isPartitioned(cut, to, from) && (cut.oneWay || !isPartitioned(cut, from, to))) continue;
      if (cut.mode === 'delay') cut.held.push(deliver);
      return;
    }
    const slowest = Math.max(this.addedLatencyMs.get(from) ?? 0, this.addedLatencyMs.get(to) ?? 0);
    const delay = slowest > 0 ? this.clock.randomBetween(0, slowest) : 0;
    this.clock.schedule(this.clock.randomBetween(0.3, 3) + delay, deliver);
  }

  /** A request with an answer; `done(null)` when none came in time. Either way may be lost or late. */
  request<T>(
    from: string,
    to: string,
    timeoutMs: number,
    serve: (reply: (value: T) => void) => void,
    done: (value: T | null) => void,
  ): void {
    let open = true;
    const finish = (value: T | null): void => {
      if (!open) return;
      open = false;
      done(value);
    };
    this.clock.schedule(timeoutMs, () => finish(null));
    this.send(from, to, () => serve((value) => this.send(to, from, () => finish(value))));
  }
}
