import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { RangeSet } from '../../../src/core/jobs/range_set.js';

describe('RangeSet', () => {
  test('merges additions in any order into the same ranges', () => {
    const set = new RangeSet();
    for (const n of [5, 3, 4, 9, 0, 1, 2, 4]) set.add(n);
    assert.deepEqual(set.pairs(), [
      [0, 5],
      [9, 9],
    ]);
    assert.equal(set.count, 7);
    assert.ok(set.has(4) && !set.has(6));
    assert.deepEqual(RangeSet.from(set.pairs()).pairs(), set.pairs());
    const many = new RangeSet();
    for (let n = 0; n < 100_000; n++) many.add((n * 7919) % 100_000);
    assert.deepEqual(many.pairs(), [[0, 99_999]]);
  });
});
