/** Sets of task numbers that take little space: sorted, disjoint, inclusive ranges. */
type Range = [first: number, last: number];

/** What a range's text takes beside its numbers. */
const RANGE_PUNCTUATION_BYTES = 4;

/** A set of task numbers: what the state store holds of a job's completions. */
export class RangeSet {
  private readonly ranges: Range[] = [];
  private size = 0;

  /** Makes a set of ranges as `pairs` returns them: they must be sorted and disjoint. */
  static from(pairs: readonly (readonly [number, number])[]): RangeSet {
    const set = new RangeSet();
    for (const [first, last] of pairs) {
      set.ranges.push([first, last]);
      set.size += last - first + 1;
    }
    return set;
  }

  /** How many numbers are in the set. */
  get count(): number {
    return this.size;
  }

  /** Index of the first range that ends at or after the number. */
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

  /** Whether the number is in the set. */
  has(number: number): boolean {
    const range = this.ranges[this.lowerBound(number)];
    return range !== undefined && range[0] <= number;
  }

  /** Adds a number. Returns whether it is new. */
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

  /** Returns the first ranges, as many as fit into so many bytes of text: a record must fit the store's limit for a value. */
  pairs(bytes = Number.POSITIVE_INFINITY): [number, number][] {
    const fitting: [number, number][] = [];
    let left = bytes;
    for (const [first, last] of this.ranges) {
      left -= RANGE_PUNCTUATION_BYTES + String(first).length + String(last).length;
      if (left < 0) break;
      fitting.push([first, last]);
    }
    return fitting;
  }
}
