import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { MonotonicTime } from '../../../src/core/types.js';
import { makeMachine } from '../../support/machine_fixtures.js';

describe('Machine', () => {
  test('gets no work while it is known only from a heartbeat or a list and has not shown that it hears the leader', () => {
    const now = 1000 as MonotonicTime;
    const reported = makeMachine('i-1', 'i-1', 'up', now, false);
    assert.equal(reported.isSchedulable(now, 2000), false);
    reported.reachability.confirm();
    assert.equal(reported.isSchedulable(now, 2000), true);
    // What we rented ourselves can't be a late copy of something gone.
    const rented = makeMachine('i-2', '', 'booting', now, true);
    rented.lifecycle.markUp();
    assert.equal(rented.isSchedulable(now, 2000), true);
    // A list is late: what it shows as booting may be gone as well.
    const listed = makeMachine('i-3', '', 'booting', now, false);
    listed.lifecycle.markUp();
    assert.equal(listed.isSchedulable(now, 2000), false);
  });
});
