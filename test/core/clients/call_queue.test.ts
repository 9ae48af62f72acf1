import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { CallQueue } from '../../../src/core/clients/call_queue.js';
import { TokenBucket } from '../../../src/core/clients/token_bucket.js';
import type { MonotonicTime } from '../../../src/core/types.js';

const RATE = 10;
const MAX_QUEUE_MS = 1000;
const PRIORITY = 2;
const TICK_MS = 10;

type Outcome = 'sent' | 'given up';

interface Arrival {
  readonly afterMs: number;
  readonly writes: number;
}

/** Plays calls through a queue, and returns what became of each, and after how many milliseconds. */
function playArrivals(arrivals: readonly Arrival[], refuseEarly: boolean): { fate: Outcome; waitedMs: number }[] {
  const start = 0 as MonotonicTime;
  const queue = new CallQueue(new TokenBucket(RATE, RATE, start), new TokenBucket(RATE, RATE, start));
  const fates: { fate: Outcome; waitedMs: number }[] = [];
  let now = 0;
  const advance = (ms: number): void => {
    for (const end = now + ms; now < end; now += TICK_MS) queue.dispatch(now as MonotonicTime);
  };
  arrivals.forEach(({ afterMs, writes }, i) => {
    advance(afterMs);
    const cameAt = now;
    const end = (fate: Outcome) => (): void => {
      fates[i] = { fate, waitedMs: now - cameAt };
    };
    const call = {
      writeTokens: writes,
      expiresAt: (now + MAX_QUEUE_MS) as MonotonicTime,
      send: end('sent'),
      refuse: end('given up'),
    };
    if (refuseEarly) queue.addOrRefuse(PRIORITY, call, now as MonotonicTime);
    else queue.add(PRIORITY, call);
    queue.dispatch(now as MonotonicTime);
  });
  advance(2 * MAX_QUEUE_MS);
  return fates;
}

const arrival = fc.record({ afterMs: fc.integer({ min: 0, max: 12 }).map((n) => n * TICK_MS), writes: fc.nat(3) });

describe('CallQueue', () => {
  test('sends lease renewals past an empty bucket, the rest by priority, and expires what waited too long', () => {
    const bucket = new TokenBucket(10, 10, 0 as MonotonicTime);
    const queue = new CallQueue(bucket, null);
    const sent: string[] = [];
    const add = (priority: 0 | 1 | 2 | 3 | 4, name: string, expires = 10_000): void =>
      queue.add(priority, {
        writeTokens: 0,
        expiresAt: expires as MonotonicTime,
        send: () => sent.push(name),
        refuse: () => sent.push(`${name} given up`),
      });
    for (let i = 0; i < 10; i++) add(3, 'slow');
    queue.dispatch(0 as MonotonicTime);
    sent.length = 0;
    add(3, 'later');
    add(2, 'read', 50);
    add(1, 'record');
    add(0, 'renew');
    const next = queue.dispatch(0 as MonotonicTime);
    assert.deepEqual(sent, ['renew']);
    assert.ok(next !== null && next > 0);
    queue.dispatch(60 as MonotonicTime);
    assert.ok(sent.includes('read given up'));
    queue.dispatch(1000 as MonotonicTime);
    assert.deepEqual(sent.slice(-2), ['record', 'later']);
  });

  test('refuses calls that somebody waits for at once or not at all, and only those that would have expired', () => {
    const property = fc.property(fc.array(arrival, { maxLength: 120 }), (arrivals) => {
      const early = playArrivals(arrivals, true);
      const patient = playArrivals(arrivals, false);
      early.forEach(({ fate, waitedMs }, i) => {
        if (fate === 'given up') assert.equal(waitedMs, 0, `call ${i} was held back for ${waitedMs} ms`);
        if (fate === 'given up') assert.equal(patient[i]?.fate, 'given up', `call ${i} would have been sent`);
      });
      // Without calls that can't be sent before them, as many get through as before, or more.
      const sent = (fates: typeof early): number => fates.filter(({ fate }) => fate === 'sent').length;
      assert.ok(sent(early) >= sent(patient));
    });
    fc.assert(property, { seed: 28, numRuns: 400 });
  });

  test('refuses at once whatever exceeds what can be written in time', () => {
    const fates = playArrivals(
      Array.from({ length: 100 }, () => ({ afterMs: 0, writes: 1 })),
      true,
    );
    const refused = fates.filter(({ fate, waitedMs }) => fate === 'given up' && waitedMs === 0).length;
    // A second's burst, and what comes in before the second that each may wait is over.
    const inTime = 2 * RATE - 1;
    assert.equal(refused, 100 - inTime);
    assert.equal(fates.filter(({ fate }) => fate === 'sent').length, inTime);
  });
});
