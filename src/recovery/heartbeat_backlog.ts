import type { MachineId, MonotonicTime } from '../core/types.js';

/** Lists are counted in windows of so many milliseconds. */
const WINDOW_MS = 50;

/**
 * Evens out the storm of reports after a cold start. Of the lists that come with them only so many are looked at in a window;
 * the others wait here, the newest of each machine: never more than there are machines.
 */
export class HeartbeatBacklog<List> {
  private readonly entries = new Map<MachineId, List>();
  private windowStart = Number.NEGATIVE_INFINITY as MonotonicTime;
  private admitted = 0;

  constructor(private readonly heartbeatsPerWindow: number) {}

  get size(): number {
    return this.entries.size;
  }

  /** Whether one more list may be looked at now; if so it counts. */
  admit(now: MonotonicTime): boolean {
    if (now - this.windowStart >= WINDOW_MS) {
      this.windowStart = now;
      this.admitted = 0;
    }
    if (this.admitted >= this.heartbeatsPerWindow) return false;
    this.admitted += 1;
    return true;
  }

  /** A list that waits for its turn; an older one of the same machine says nothing more. */
  add(machine: MachineId, list: List): void {
    this.entries.set(machine, list);
  }

  /** A newer list of the machine has come: returns the one that waited, if any. */
  remove(machine: MachineId): List | undefined {
    const list = this.entries.get(machine);
    this.entries.delete(machine);
    return list;
  }

  /** Those that wait, the longest first. */
  pending(): Iterable<List> {
    return this.entries.values();
  }

  /** The lists whose turn it is now, those that have waited longest first. */
  takeDue(now: MonotonicTime): List[] {
    const due: List[] = [];
    for (const [machine, list] of this.entries) {
      if (!this.admit(now)) break;
      this.entries.delete(machine);
      due.push(list);
    }
    return due;
  }

  /** When lists may be looked at again; null: none waits. */
  nextDueAt(): MonotonicTime | null {
    return this.entries.size === 0 ? null : ((this.windowStart + WINDOW_MS) as MonotonicTime);
  }
}
