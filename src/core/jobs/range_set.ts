/** A set of task numbers kept as sorted, disjoint, inclusive ranges: what the store holds of a job's completions. */
export class RangeSet {
  private readonly ranges: [number, number][] = [];
  private total = 0;

  static from(pairs: readonly (readonly [number, number])[]): RangeSet {
    const set = new RangeSet();
    for (const [a, b] of pairs) {
      set.ranges.push([a, b]);
      set.total += b - a + 1;
    }
    return set;
  }

  get count(): number {
    return this.total;
  }

  /** Index of the first range that ends at or after `n`. */
  private lowerBound(n: number): number {
    let lo = 0;
    let hi = this.ranges.length;
    while (lo < hi) {
      const mid = (lo + hi) >> 1;
      if ((this.ranges[mid] as [number, number])[1] < n) lo = mid + 1;
      else hi = mid;
    }
    return lo;
  }

  has(n: number): boolean {
    const range = this.ranges[this.lowerBound(n)];
    return range !== undefined && range[0] <= n;
  }

  add(n: number): boolean {
    const at = this.lowerBound(n);
    const next = this.ranges[at];
    if (next !== undefined && next[0] <= n) return false;
    const before = this.ranges[at - 1];
    const joinsBefore = before !== undefined && before[1] === n - 1;
    const joinsNext = next !== undefined && next[0] === n + 1;
    if (joinsBefore && joinsNext) {
      before[1] = next[1];
      this.ranges.splice(at, 1);
    } else if (joinsBefore) before[1] = n;
    else if (joinsNext) next[0] = n;
    else this.ranges.splice(at, 0, [n, n]);
    this.total += 1;
    return true;
  }

  addAll(other: RangeSet): void {
    for (const [a, b] of other.ranges) for (let n = a; n <= b; n++) this.add(n);
  }

  /** The first ranges, as many as fit into `bytes` of text: a record must fit the store's value limit. */
  pairs(bytes = Number.POSITIVE_INFINITY): [number, number][] {
    const found: [number, number][] = [];
    let left = bytes;
    for (const [a, b] of this.ranges) {
      left -= 4 + String(a).length + String(b).length;
      if (left < 0) break;
      found.push([a, b]);
    }
    return found;
  }
}
