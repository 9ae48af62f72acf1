import type { Steady } from './types.js';

/** Named one-shot timers; the outside only needs to know when the next is due. */
export class Timers<Name extends string> {
  private readonly dueAt = new Map<Name, Steady>();

  /** Sets a timer, or moves one that is set. */
  set(name: Name, at: Steady): void {
    this.dueAt.set(name, at);
  }

  clear(name: Name): void {
    this.dueAt.delete(name);
  }

  /** When a timer is due; null if it isn't set. */
  at(name: Name): Steady | null {
    return this.dueAt.get(name) ?? null;
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
