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

type Outcome = 'sent' | 'not sent';

interface Arrival {
  readonly afterMs: number;
  readonly writes: number;
}

/** Sends calls through a queue, and returns for each call its outcome and how many milliseconds it waited. */
function simulateArrivals(
  arrivals: readonly Arrival[],
  refuseEarly: boolean,
): { outcome: Outcome; waitedMs: number }[] {
  const start = 0 as MonotonicTime;
  const queue = new CallQueue(new TokenBucket(RATE, RATE, start), new TokenBucket(RATE, RATE, start));
  const outcomes: { outcome: Outcome; waitedMs: number }[] = [];
  let now = 0;
  const advance = (ms: number): void => {
    for (const end = now + ms; now < end; now += TICK_MS) queue.dispatch(now as MonotonicTime);
  };
  arrivals.forEach(({ afterMs, writes }, i) => {
    advance(afterMs);
    const arrivedAt = now;
    const end = (outcome: Outcome) => (): void => {
      outcomes[i] = { outcome, waitedMs: now - arrivedAt };
    };
    const call = {
      writeTokens: writes,
      expiresAt: (now + MAX_QUEUE_MS) as MonotonicTime,
      send: end('sent'),
      refuse: end('not sent'),
    };
    if (refuseEarly) queue.addOrRefuse(PRIORITY, call, now as MonotonicTime);
    else queue.add(PRIORITY, call);
    queue.dispatch(now as MonotonicTime);
  });
  advance(2 * MAX_QUEUE_MS);
  return outcomes;
}

const arrival = fc.record({ afterMs: fc.integer({ min: 0, max: 12 }).map((n) => n * TICK_MS), writes: fc.nat(3) });

describe('CallQueue', () => {
  test('sends lease renewals even without tokens, sends other calls by priority, and refuses expired calls', () => {
    const bucket = new TokenBucket(10, 10, 0 as MonotonicTime);
    const queue = new CallQueue(bucket, null);
    const sent: string[] = [];
    const add = (priority: 0 | 1 | 2 | 3 | 4, name: string, expires = 10_000): void =>
      queue.add(priority, {
        writeTokens: 0,
        expiresAt: expires as MonotonicTime,
        send: () => sent.push(name),
        refuse: () => sent.push(`${name} not sent`),
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
    assert.ok(sent.includes('read not sent'));
    queue.dispatch(1000 as MonotonicTime);
    assert.deepEqual(sent.slice(-2), ['record', 'later']);
  });

  test('addOrRefuse refuses a call only when it is added, and only if the call would have expired in the queue', () => {
    const property = fc.property(fc.array(arrival, { maxLength: 120 }), (arrivals) => {
      const early = simulateArrivals(arrivals, true);
      const withoutEarlyRefusal = simulateArrivals(arrivals, false);
      early.forEach(({ outcome, waitedMs }, i) => {
        if (outcome === 'not sent')
          assert.equal(waitedMs, 0, `call ${i} was refused after ${waitedMs} ms instead of at once`);
        if (outcome === 'not sent')
          assert.equal(
            withoutEarlyRefusal[i]?.outcome,
            'not sent',
            `call ${i} was refused early but would have been sent in time`,
          );
      });
      // With early refusal, calls that can't be sent in time do not queue ahead of others, so no fewer calls are sent.
      const sent = (outcomes: typeof early): number => outcomes.filter(({ outcome }) => outcome === 'sent').length;
      assert.ok(sent(early) >= sent(withoutEarlyRefusal));
    });
    fc.assert(property, { seed: 28, numRuns: 400 });
  });

  test('refuses at once the calls that exceed the writes possible before they expire', () => {
    const outcomes = simulateArrivals(
      Array.from({ length: 100 }, () => ({ afterMs: 0, writes: 1 })),
      true,
    );
    const refused = outcomes.filter(({ outcome, waitedMs }) => outcome === 'not sent' && waitedMs === 0).length;
    // The bucket holds the tokens of one second. More tokens arrive in the second before the calls expire.
    const inTime = 2 * RATE - 1;
    assert.equal(refused, 100 - inTime);
    assert.equal(outcomes.filter(({ outcome }) => outcome === 'sent').length, inTime);
  });
});
