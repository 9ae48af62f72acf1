/** Compact sets of task indices, held as sorted, disjoint, inclusive ranges. */
type Range = [first: number, last: number];

/** Bytes of a range's JSON text besides its two numbers. */
const RANGE_PUNCTUATION_BYTES = 4;

/** A set of task indices. The state store holds the completed tasks of a job in this form. */
export class RangeSet {
  private readonly ranges: Range[] = [];
  private size = 0;

  /** Creates a set from ranges as returned by `pairs`. They must be sorted and disjoint. */
  static from(pairs: readonly (readonly [number, number])[]): RangeSet {
    const set = new RangeSet();
    for (const [first, last] of pairs) {
      set.ranges.push([first, last]);
      set.size += last - first + 1;
    }
    return set;
  }

  /** Number of indices in the set. */
  get count(): number {
    return this.size;
  }

  /** Returns the position of the first range that ends at or after the number. */
  private lowerBound(number: number): number {
    let low = 0;
    let high = this.ranges.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const [, last] = this.ranges[middle] as Range;
      if (last < number) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  has(number: number): boolean {
    const range = this.ranges[this.lowerBound(number)];
    return range !== undefined && range[0] <= number;
  }

  /** Adds a number. Returns whether it was not in the set before. */
  add(number: number): boolean {
    const index = this.lowerBound(number);
    const next = this.ranges[index];
    if (next !== undefined && next[0] <= number) return false;
    const previous = this.ranges[index - 1];
    const joinsPrevious = previous !== undefined && previous[1] === number - 1;
    const joinsNext = next !== undefined && next[0] === number + 1;
    if (joinsPrevious && joinsNext) {
      previous[1] = next[1];
      this.ranges.splice(index, 1);
    } else if (joinsPrevious) {
      previous[1] = number;
    } else if (joinsNext) {
      next[0] = number;
    } else {
      this.ranges.splice(index, 0, [number, number]);
    }
    this.size += 1;
    return true;
  }

  /** Adds all numbers of another set. */
  addAll(other: RangeSet): void {
    for (const [first, last] of other.ranges) for (let number = first; number <= last; number++) this.add(number);
  }

  /**
   * Returns the first ranges, as many as fit into `maxBytes` of text. A record must not exceed the state store's limit
   * for a value.
   */
  pairs(maxBytes = Number.POSITIVE_INFINITY): [number, number][] {
    const fitting: [number, number][] = [];
    let bytesLeft = maxBytes;
    for (const [first, last] of this.ranges) {
      bytesLeft -= RANGE_PUNCTUATION_BYTES + String(first).length + String(last).length;
      if (bytesLeft < 0) break;
      fitting.push([first, last]);
    }
    return fitting;
  }
}
