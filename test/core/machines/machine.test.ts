import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { MonotonicTime } from '../../../src/core/types.js';
import { makeMachine } from '../../support/machine_fixtures.js';

describe('Machine', () => {
  test('is not schedulable if known only from a heartbeat or the cloud list, until a response has reached it', () => {
    const now = 1000 as MonotonicTime;
    const reportedMachine = makeMachine('i-1', 'i-1', 'up', now, false);
    assert.equal(reportedMachine.isSchedulable(now, 2000), false);
    reportedMachine.reachability.confirm();
    assert.equal(reportedMachine.isSchedulable(now, 2000), true);
    // This leader provisioned the machine, so it does not rely on a message that may be outdated.
    const provisionedMachine = makeMachine('i-2', '', 'booting', now, true);
    provisionedMachine.lifecycle.markUp();
    assert.equal(provisionedMachine.isSchedulable(now, 2000), true);
    // The cloud list can be outdated, so a machine listed as booting may already be terminated.
    const listedMachine = makeMachine('i-3', '', 'booting', now, false);
    listedMachine.lifecycle.markUp();
    assert.equal(listedMachine.isSchedulable(now, 2000), false);
  });
});
