/** Limits how many heartbeats are processed per time window, and queues the others. */
import type { MachineId, MonotonicTime } from '../core/types.js';

/** Length of the window in which admitted heartbeats are counted, in milliseconds. */
const WINDOW_MS = 50;

/**
 * Spreads the burst of heartbeats after a cold start over time. Only a limited number of heartbeats is admitted per
 * window. The others wait here, and only the newest one of each machine is queued, so the backlog is never larger than
 * the number of machines.
 */
export class HeartbeatBacklog<Entry> {
  private readonly entries = new Map<MachineId, Entry>();
  private windowStart = Number.NEGATIVE_INFINITY as MonotonicTime;
  private admitted = 0;

  constructor(private readonly heartbeatsPerWindow: number) {}

  /** The number of heartbeats that are waiting. */
  get size(): number {
    return this.entries.size;
  }

  /** Returns whether another heartbeat may be processed now. If so, it is counted in the current window. */
  admit(now: MonotonicTime): boolean {
    if (now - this.windowStart >= WINDOW_MS) {
      this.windowStart = now;
      this.admitted = 0;
    }
    if (this.admitted >= this.heartbeatsPerWindow) return false;
    this.admitted += 1;
    return true;
  }

  /** Queues a heartbeat. It replaces an older one of the same machine. */
  add(machine: MachineId, entry: Entry): void {
    this.entries.set(machine, entry);
  }

  /**
   * Removes and returns the machine's queued heartbeat because a newer one has arrived. Returns undefined if no
   * heartbeat of the machine is queued.
   */
  remove(machine: MachineId): Entry | undefined {
    const entry = this.entries.get(machine);
    this.entries.delete(machine);
    return entry;
  }

  /** Returns the queued heartbeats, beginning with the one that has waited longest. */
  pending(): Iterable<Entry> {
    return this.entries.values();
  }

  /** Removes and returns the heartbeats that may be processed now, beginning with the one that has waited longest. */
  takeDue(now: MonotonicTime): Entry[] {
    const due: Entry[] = [];
    for (const [machine, entry] of this.entries) {
      if (!this.admit(now)) break;
      this.entries.delete(machine);
      due.push(entry);
    }
    return due;
  }

  /** Returns when the next window begins, or null if no heartbeat is queued. */
  nextDueAt(): MonotonicTime | null {
    return this.entries.size === 0 ? null : ((this.windowStart + WINDOW_MS) as MonotonicTime);
  }
}
