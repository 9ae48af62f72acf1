import { type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

interface ScheduledEvent {
  readonly at: number;
  readonly nextOrder: number;
  readonly run: () => void;
}

/** Virtual time and the only source of chance: a run with the same seed is the same run. */
export class Clock {
  /** Milliseconds since the beginning. */
  now = 0;
  private readonly random: RandomGenerator;
  private queue: ScheduledEvent[] = [];
  private nextOrder = 0;

  constructor(seed: number) {
    this.random = xoroshiro128plus(seed);
  }

  /** A number from `lo` up to `hi`. */
  randomBetween(low: number, high: number): number {
    return low + (unsafeUniformIntDistribution(0, 1_000_000, this.random) / 1_000_000) * (high - low);
  }

  /** One of them, each as likely as the others. */
  pickRandom<T>(from: readonly T[]): T {
    return from[unsafeUniformIntDistribution(0, from.length - 1, this.random)] as T;
  }

  /** Runs a function so many milliseconds from now; those of the same time run in the order in which they were scheduled. */
  schedule(ms: number, run: () => void): void {
    const event: ScheduledEvent = { at: this.now + Math.max(0, ms), nextOrder: this.nextOrder++, run };
    const heap = this.queue;
    heap.push(event);
    let i = heap.length - 1;
    while (i > 0) {
      const up = (i - 1) >> 1;
      if (!isBefore(event, heap[up] as ScheduledEvent)) break;
      heap[i] = heap[up] as ScheduledEvent;
      i = up;
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
      let down = 2 * i + 1;
      if (down >= heap.length) break;
      if (down + 1 < heap.length && isBefore(heap[down + 1] as ScheduledEvent, heap[down] as ScheduledEvent)) down += 1;
      if (!isBefore(heap[down] as ScheduledEvent, last)) break;
      heap[i] = heap[down] as ScheduledEvent;
      i = down;
    }
    heap[i] = last;
    return first;
  }

  /** Runs all that falls due up to `end`, which is the time afterwards. */
  runUntil(end: number): void {
    while (this.queue.length > 0 && (this.queue[0] as ScheduledEvent).at <= end) {
      const event = this.pop() as ScheduledEvent;
      this.now = event.at;
      event.run();
    }
    this.now = end;
  }
}

const isBefore = (a: ScheduledEvent, b: ScheduledEvent): boolean =>
  a.at < b.at || (a.at === b.at && a.nextOrder < b.nextOrder);
