/** A map that forgets its entries some time after they were added. */
import type { MonotonicTime } from './types.js';

/**
 * Keeps each entry for at least the retention time, and for at most twice as long. It holds two generations of entries and
 * drops the older one as a whole, so that no time is stored for each entry.
 */
export class ExpiringMap<Key, Value> {
  private recent = new Map<Key, Value>();
  private earlier = new Map<Key, Value>();
  private generationBeganAt = Number.NEGATIVE_INFINITY as MonotonicTime;

  /** `retentionMs`: minimum time for which entries are kept, in milliseconds. */
  constructor(private readonly retentionMs: number) {}

  get size(): number {
    return this.recent.size + this.earlier.size;
  }

  /** Returns undefined if there is no entry, or it has been forgotten. */
  get(key: Key): Value | undefined {
    return this.recent.get(key) ?? this.earlier.get(key);
  }

  /** Adds or replaces an entry. Its time begins now. */
  set(key: Key, value: Value): void {
    this.earlier.delete(key);
    this.recent.set(key, value);
  }

  delete(key: Key): void {
    this.recent.delete(key);
    this.earlier.delete(key);
  }

  /** Returns the values in no particular order. */
  *values(): Iterable<Value> {
    yield* this.recent.values();
    yield* this.earlier.values();
  }

  /** Forgets entries whose time is over. Must be called regularly. */
  expire(now: MonotonicTime): void {
    if (now - this.generationBeganAt < this.retentionMs) return;
    this.earlier = this.recent;
    this.recent = new Map();
    this.generationBeganAt = now;
  }
}
