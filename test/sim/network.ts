/** The simulated network between controllers, workers, users, state store and cloud. */
import type { Clock } from './clock.js';

/** The host name of the state store. */
export const STATE_STORE_HOST = 'state-store';

/** Time over which the messages that a partition delayed are delivered after its end, in milliseconds. */
const DELAYED_DELIVERY_MS = 20;

/** Whether a partition drops messages, or delays them until its end. They then arrive in the order of sending. */
type PartitionMode = 'drop' | 'delay';

/** A fault that separates two hosts. */
interface Partition {
  readonly host: string;
  /** The other host; "*" for all hosts. */
  readonly peer: string;
  readonly mode: PartitionMode;
  /** Whether only messages to `host` are affected. Those that it sends then still arrive. */
  readonly oneWay: boolean;
  readonly delayedMessages: (() => void)[];
}

/** Returns whether the partition separates `host`, as its first host, from `peer`. */
const separates = (partition: Partition, host: string, peer: string): boolean =>
  partition.host === host && (partition.peer === peer || (partition.peer === '*' && host !== peer));

/** Delivers messages between hosts, unless partitions drop or delay them. */
export class Network {
  private readonly partitions = new Set<Partition>();
  private readonly addedLatencyMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /**
   * Separates `host` from `peer` ("*" for all hosts) for `ms` milliseconds. `oneWay` affects only messages to `host`.
   */
  partition(host: string, peer: string, ms: number, mode: PartitionMode, oneWay = false): void {
    const partition: Partition = { host, peer, mode, oneWay, delayedMessages: [] };
    this.partitions.add(partition);
    this.clock.schedule(ms, () => {
      this.partitions.delete(partition);
      const delays = partition.delayedMessages.map(() => this.clock.randomBetween(1, DELAYED_DELIVERY_MS));
      delays.sort((a, b) => a - b);
      partition.delayedMessages.forEach((deliver, i) => {
        this.clock.schedule(delays[i] ?? 0, deliver);
      });
    });
  }

  /** For `ms` milliseconds, delays each message to or from a host by a separate random time of up to `delayMs`. */
  addLatency(host: string, delayMs: number, ms: number): void {
    this.addedLatencyMs.set(host, delayMs);
    this.clock.schedule(ms, () => this.addedLatencyMs.delete(host));
  }

  /** Delivers a message after a random latency, unless a partition drops or delays it. */
  send(from: string, to: string, deliver: () => void): void {
    for (const partition of this.partitions) {
      if (!separates(partition, to, from) && (partition.oneWay || !separates(partition, from, to))) continue;
      if (partition.mode === 'delay') partition.delayedMessages.push(deliver);
      return;
    }
    const addedLatencyMs = Math.max(this.addedLatencyMs.get(from) ?? 0, this.addedLatencyMs.get(to) ?? 0);
    const delay = addedLatencyMs > 0 ? this.clock.randomBetween(0, addedLatencyMs) : 0;
    this.clock.schedule(this.clock.randomBetween(0.3, 3) + delay, deliver);
  }

  /** Sends a request and calls `done` with its response, or with null after the timeout. Both may be lost or late. */
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
