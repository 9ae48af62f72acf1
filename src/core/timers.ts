import type { Steady } from './types.js';

/** Named one-shot timers; the outside only needs to know when the next is due. */
export class Timers<Name extends string> {
  private readonly due = new Map<Name, Steady>();

  set(name: Name, at: Steady): void {
    this.due.set(name, at);
  }

  clear(name: Name): void {
    this.due.delete(name);
  }

  at(name: Name): Steady | null {
    return this.due.get(name) ?? null;
  }

  /** Whether `name` is due by then. */
  has(name: Name, by: Steady): boolean {
    const at = this.due.get(name);
    return at !== undefined && at <= by;
  }

  next(): Steady | null {
    let first: Steady | null = null;
    for (const at of this.due.values()) if (first === null || at < first) first = at;
    return first;
  }

  takeDue(now: Steady): Name[] {
    const names: Name[] = [];
    for (const [name, at] of this.due) if (at <= now) names.push(name);
    for (const name of names) this.due.delete(name);
    return names;
  }
}
