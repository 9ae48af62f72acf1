import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { loadPlatform } from '../../../src/config/platform.js';
import { TermTimers } from '../../../src/core/state/term_timers.js';
import { StepContext } from '../../../src/core/step_context.js';
import type { ClockReading, MonotonicTime, WallClockTime } from '../../../src/core/types.js';
import { DeferredResponses } from '../../../src/core/workers/deferred_responses.js';
import { emptyHeartbeat } from '../../golden/samples.js';
import { CURRENT_BUILD } from '../../sim/build.js';
import { makeMachine } from '../../support/machine_fixtures.js';

const { settings } = loadPlatform(fileURLToPath(new URL('../../../../../test/settings.toml', import.meta.url)));
const START = 100_000;
const MAX_DEFERRAL_MS = 600;

const clockReading = (monotonic: number): ClockReading => ({
  monotonic: monotonic as MonotonicTime,
  wallClock: 0 as WallClockTime,
});

/**
 * Creates the deferred responses of a term and a response for the worker of an empty machine. `ends` has one entry for
 * each response that has ended, which is 'sent' if it was sent with its commands, and otherwise its status code.
 */
function setUp() {
  const context = new StepContext(settings, CURRENT_BUILD.tuning, clockReading(START));
  const timers = new TermTimers(context.timers);
  const state = { awaitsWrites: false };
  const ends: (string | number)[] = [];
  const deferred = new DeferredResponses(context, timers, {
    awaitsWrites: () => state.awaitsWrites,
    send: () => void ends.push('sent'),
  });
  const response = {
    respond: ({ status }: { readonly status: number }) => void ends.push(status),
    machine: makeMachine('i-1', '10.0.0.1:1', 'up', START as MonotonicTime, true),
    heartbeat: emptyHeartbeat,
  };
  const advanceTo = (monotonic: number): void => {
    context.beginStep(clockReading(monotonic));
    context.timers.runDue(monotonic as MonotonicTime);
  };
  return { context, timers, state, ends, deferred, response, advanceTo };
}

describe('deferred responses', () => {
  test('a response that waits for starts is sent once no round is due and no write is in flight', () => {
    const { timers, state, ends, deferred, response } = setUp();
    timers.planningRound.set(START as MonotonicTime);
    deferred.defer(response, 'startsPending', MAX_DEFERRAL_MS);
    deferred.release();
    assert.deepEqual(ends, []);
    timers.planningRound.clear();
    state.awaitsWrites = true;
    deferred.release();
    assert.deepEqual(ends, []);
    state.awaitsWrites = false;
    deferred.release();
    assert.deepEqual(ends, ['sent']);
  });

  test('a response to an idle machine waits until its deadline if no task is placed on the machine', () => {
    const { ends, deferred, response, advanceTo, context } = setUp();
    deferred.defer(response, 'machineIdle', MAX_DEFERRAL_MS);
    deferred.release();
    assert.deepEqual(ends, []);
    assert.equal(context.timers.nextDueAt(), START + MAX_DEFERRAL_MS);
    advanceTo(START + MAX_DEFERRAL_MS - 1);
    assert.deepEqual(ends, []);
    advanceTo(START + MAX_DEFERRAL_MS);
    assert.deepEqual(ends, ['sent']);
  });

  test('a deferred response is sent as 503 exactly once when the term ends', () => {
    const { ends, deferred, response } = setUp();
    deferred.defer(response, 'machineIdle', MAX_DEFERRAL_MS);
    deferred.stop();
    deferred.stop();
    deferred.release();
    assert.deepEqual(ends, [503]);
  });
});
