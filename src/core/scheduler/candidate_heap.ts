/** A heap of candidates with the best offer on top. */
import { type Candidate, isBetterOffer } from './candidates.js';

/** Binary heap in an array. It is used because an array job accepts many offers in turn, from hundreds of machines. */
export class CandidateHeap {
  /** Takes ownership of the array and reorders it. */
  constructor(private readonly items: Candidate[]) {
    for (let parent = (items.length >> 1) - 1; parent >= 0; parent--) this.siftDown(parent);
  }

  /** The best candidate, or undefined if the heap is empty. */
  get top(): Candidate | undefined {
    return this.items[0];
  }

  /**
   * Restores the heap order after the offer of the top candidate has become worse. A candidate that no longer offers
   * any tasks is removed.
   */
  updateTop(): void {
    const first = this.items[0];
    if (!first) return;
    if (first.taskCount === 0) {
      const last = this.items.pop() as Candidate;
      if (this.items.length === 0) return;
      this.items[0] = last;
    }
    this.siftDown(0);
  }

  private siftDown(from: number): void {
    const { items } = this;
    const moving = items[from] as Candidate;
    let hole = from;
    for (let child = 2 * hole + 1; child < items.length; child = 2 * hole + 1) {
      if (child + 1 < items.length && isBetterOffer(items[child + 1] as Candidate, items[child] as Candidate))
        child += 1;
      if (!isBetterOffer(items[child] as Candidate, moving)) break;
      items[hole] = items[child] as Candidate;
      hole = child;
    }
    items[hole] = moving;
  }
}
