import type { MonotonicTime } from './types.js';

/** Named one-shot timers; the outside only needs to know when the next is due. */
export class Timers<Name extends string> {
  private readonly dueAt = new Map<Name, MonotonicTime>();

  /** Sets a timer, or moves one that is set. */
  set(name: Name, at: MonotonicTime): void {
    this.dueAt.set(name, at);
  }

  /** Sets a timer, or moves one that is due later; one that is due sooner stays. */
  bringForward(name: Name, at: MonotonicTime): void {
    const due = this.dueAt.get(name);
    if (due === undefined || due > at) this.set(name, at);
  }

  /** Sets a timer that isn't set. */
  setIfUnset(name: Name, at: MonotonicTime): void {
    if (!this.dueAt.has(name)) this.set(name, at);
  }

  clear(name: Name): void {
    this.dueAt.delete(name);
  }

  /** Whether a timer is due by a time. */
  isDueBy(name: Name, deadline: MonotonicTime): boolean {
    const at = this.dueAt.get(name);
    return at !== undefined && at <= deadline;
  }

  /** When the first timer is due; null if none is set. */
  next(): MonotonicTime | null {
    let first: MonotonicTime | null = null;
    for (const at of this.dueAt.values()) if (first === null || at < first) first = at;
    return first;
  }

  /** Takes away the timers that are due, and names them. */
  takeDue(now: MonotonicTime): Name[] {
    const names: Name[] = [];
    for (const [name, at] of this.dueAt) if (at <= now) names.push(name);
    for (const name of names) this.dueAt.delete(name);
    return names;
  }
}
