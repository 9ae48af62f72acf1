/** Bounds how many heartbeats are processed in a time, and keeps the others waiting. */
import type { MachineId, MonotonicTime } from '../core/types.js';

/** Heartbeats are counted in windows of so many milliseconds. */
const WINDOW_MS = 50;

/**
 * Evens out the storm of heartbeats after a cold start: only so many are admitted in a window, the others wait here, the newest
 * of each machine, so never more than there are machines.
 */
export class HeartbeatBacklog<Entry> {
  private readonly entries = new Map<MachineId, Entry>();
  private windowStart = Number.NEGATIVE_INFINITY as MonotonicTime;
  private admitted = 0;

  constructor(private readonly heartbeatsPerWindow: number) {}

  /** How many wait. */
  get size(): number {
    return this.entries.size;
  }

  /** Returns whether one more heartbeat may be processed now; if so it counts. */
  admit(now: MonotonicTime): boolean {
    if (now - this.windowStart >= WINDOW_MS) {
      this.windowStart = now;
      this.admitted = 0;
    }
    if (this.admitted >= this.heartbeatsPerWindow) return false;
    this.admitted += 1;
    return true;
  }

  /** Keeps a heartbeat until its turn, in place of an older one of the same machine. */
  add(machine: MachineId, entry: Entry): void {
    this.entries.set(machine, entry);
  }

  /** Takes out the machine's heartbeat, as a newer one has come; returns undefined where none waits. */
  remove(machine: MachineId): Entry | undefined {
    const entry = this.entries.get(machine);
    this.entries.delete(machine);
    return entry;
  }

  /** Returns those that wait, the longest first. */
  pending(): Iterable<Entry> {
    return this.entries.values();
  }

  /** Takes out those whose turn it is now, the ones that have waited longest first. */
  takeDue(now: MonotonicTime): Entry[] {
    const due: Entry[] = [];
    for (const [machine, entry] of this.entries) {
      if (!this.admit(now)) break;
      this.entries.delete(machine);
      due.push(entry);
    }
    return due;
  }

  /** Returns when more may be admitted; null: none waits. */
  nextDueAt(): MonotonicTime | null {
    return this.entries.size === 0 ? null : ((this.windowStart + WINDOW_MS) as MonotonicTime);
  }
}
