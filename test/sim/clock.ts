/** The virtual clock, event queue and random generator of a world. */
import { type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

/** A function to run at a time; events of the same time run by ascending `order`. */
interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Virtual time and the only source of randomness. Two runs with the same seed are identical. */
export class Clock {
  /** Milliseconds since the start of the run. */
  now = 0;
  private readonly random: RandomGenerator;
  /** A binary heap, earliest event first. */
  private queue: ScheduledEvent[] = [];
  private nextOrder = 0;

  constructor(seed: number) {
    this.random = xoroshiro128plus(seed);
  }

  /** A random number from `low` to `high`. */
  randomBetween(low: number, high: number): number {
    return low + (unsafeUniformIntDistribution(0, 1_000_000, this.random) / 1_000_000) * (high - low);
  }

  /** A random item, with equal probabilities. */
  pickRandom<T>(items: readonly T[]): T {
    return items[unsafeUniformIntDistribution(0, items.length - 1, this.random)] as T;
  }

  /** Runs a function `ms` milliseconds from now. Functions due at the same time run in the order of scheduling. */
  schedule(ms: number, run: () => void): void {
    const event: ScheduledEvent = { at: this.now + Math.max(0, ms), order: this.nextOrder++, run };
    const heap = this.queue;
    heap.push(event);
    let i = heap.length - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!isBefore(event, heap[parent] as ScheduledEvent)) break;
      heap[i] = heap[parent] as ScheduledEvent;
      i = parent;
    }
    heap[i] = event;
  }

  private pop(): ScheduledEvent | undefined {
    const heap = this.queue;
    const first = heap[0];
    const last = heap.pop();
    if (!first || !last || heap.length === 0) return first;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1] as ScheduledEvent, heap[child] as ScheduledEvent))
        child += 1;
      if (!isBefore(heap[child] as ScheduledEvent, last)) break;
      heap[i] = heap[child] as ScheduledEvent;
      i = child;
    }
    heap[i] = last;
    return first;
  }

  /** Runs all events due up to `end`, and sets the time to `end`. */
  runUntil(end: number): void {
    while (this.queue.length > 0 && (this.queue[0] as ScheduledEvent).at <= end) {
      const event = this.pop() as ScheduledEvent;
      this.now = event.at;
      event.run();
    }
    this.now = end;
  }
}

const isBefore = (a: ScheduledEvent, b: ScheduledEvent): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);
