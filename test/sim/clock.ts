import { type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Virtual time and the only source of chance: a run with the same seed is the same run. */
export class Clock {
  now = 0;
  private readonly random: RandomGenerator;
  private heap: Event[] = [];
  private order = 0;

  constructor(seed: number) {
    this.random = xoroshiro128plus(seed);
  }

  /** A number from `lo` up to `hi`. */
  between(low: number, high: number): number {
    return low + (unsafeUniformIntDistribution(0, 1_000_000, this.random) / 1_000_000) * (high - low);
  }

  pick<T>(from: readonly T[]): T {
    return from[unsafeUniformIntDistribution(0, from.length - 1, this.random)] as T;
  }

  in(ms: number, run: () => void): void {
    const event: Event = { at: this.now + Math.max(0, ms), order: this.order++, run };
    const heap = this.heap;
    heap.push(event);
    let i = heap.length - 1;
    while (i > 0) {
      const up = (i - 1) >> 1;
      if (!before(event, heap[up] as Event)) break;
      heap[i] = heap[up] as Event;
      i = up;
    }
    heap[i] = event;
  }

  private pop(): Event | undefined {
    const heap = this.heap;
    const first = heap[0];
    const last = heap.pop();
    if (!first || !last || heap.length === 0) return first;
    let i = 0;
    for (;;) {
      let down = 2 * i + 1;
      if (down >= heap.length) break;
      if (down + 1 < heap.length && before(heap[down + 1] as Event, heap[down] as Event)) down += 1;
      if (!before(heap[down] as Event, last)) break;
      heap[i] = heap[down] as Event;
      i = down;
    }
    heap[i] = last;
    return first;
  }

  runUntil(end: number): void {
    while (this.heap.length > 0 && (this.heap[0] as Event).at <= end) {
      const event = this.pop() as Event;
      this.now = event.at;
      event.run();
    }
    this.now = end;
  }
}

const before = (a: Event, b: Event): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);
