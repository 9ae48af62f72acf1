import type { Steady } from './types.js';

/** Named one-shot timers; the outside only needs to know when the next is due. */
export class Timers<Name extends string> {
  private readonly dueAt = new Map<Name, Steady>();

  /** Sets a timer, or moves one that is set. */
  set(name: Name, at: Steady): void {
    this.dueAt.set(name, at);
  }

  /** Sets a timer, or moves one that is due later; one that is due sooner stays. */
  bringForward(name: Name, at: Steady): void {
    const due = this.dueAt.get(name);
    if (due === undefined || due > at) this.set(name, at);
  }

  /** Sets a timer that isn't set. */
  setIfUnset(name: Name, at: Steady): void {
    if (!this.dueAt.has(name)) this.set(name, at);
  }

  clear(name: Name): void {
    this.dueAt.delete(name);
  }

  /** Whether a timer is due by a time. */
  has(name: Name, deadline: Steady): boolean {
    const at = this.dueAt.get(name);
    return at !== undefined && at <= deadline;
  }

  /** When the first timer is due; null if none is set. */
  next(): Steady | null {
    let first: Steady | null = null;
    for (const at of this.dueAt.values()) if (first === null || at < first) first = at;
    return first;
  }

  /** Takes away the timers that are due, and names them. */
  takeDue(now: Steady): Name[] {
    const names: Name[] = [];
    for (const [name, at] of this.dueAt) if (at <= now) names.push(name);
    for (const name of names) this.dueAt.delete(name);
    return names;
  }
}
