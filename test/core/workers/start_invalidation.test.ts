import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { startKey } from '../../../src/core/jobs/task_keys.js';
import type { PushedStart } from '../../../src/core/machines/command_channel.js';
import type { Placement, StopRequest } from '../../../src/core/state/placement.js';
import type { Attempt, FencingToken, JobId, MonotonicTime, Revision } from '../../../src/core/types.js';
import { FencingTokens } from '../../../src/core/workers/fencing_tokens.js';
import { StartInvalidation } from '../../../src/core/workers/start_invalidation.js';
import { makeMachine } from '../../support/machine_fixtures.js';

/*
 * Guards against pushed starts that stay valid after their tasks are no longer wanted, and against lost leases of other
 * tasks on the same machine.
 */

const FIRST_TOKEN = 100n as FencingToken;
const JOB = 'job-1' as JobId;
const START: PushedStart = { job: JOB, index: 0, attempt: 7n as Attempt, fencingToken: FIRST_TOKEN };
const STOP: StopRequest = { gracePeriodSeconds: 0, requestedAt: 0 as MonotonicTime };

/** Sets up a machine with an unconfirmed start whose task is placed there, and is wanted. */
function setUp(newestRevision: bigint) {
  const machine = makeMachine('i-1', '10.0.0.1:1', 'up', 0 as MonotonicTime, true);
  const state = {
    revision: newestRevision,
    pendingStop: null as StopRequest | null,
    isPlaced: true,
    isCancelled: false,
  };
  const rewrites: string[] = [];
  const tokens = new FencingTokens(FIRST_TOKEN, () => state.revision as Revision);
  const find = () => (state.isPlaced ? ({ attempt: 7n, pendingStop: state.pendingStop } as Placement) : undefined);
  const leader = {
    isCancelled: () => state.isCancelled,
    rewriteMachineRecord: ({ id }: { readonly id: string }) => void rewrites.push(id),
  };
  const invalidation = new StartInvalidation({ log: () => {} }, { find }, tokens, leader);
  machine.commandChannel.begin([START]);
  return { machine, state, rewrites, tokens, invalidation };
}

describe('pushed starts that may arrive late', () => {
  test('the token is not raised while the start is wanted', () => {
    const { machine, tokens, invalidation } = setUp(200n);
    assert.equal(invalidation.prepareRenewal(machine), true);
    assert.equal(tokens.current(machine), FIRST_TOKEN);
  });

  for (const [reason, change] of [
    ['its job is cancelled', { isCancelled: true }],
    ['its task is to stop', { pendingStop: STOP }],
    ['its task has exited', { isPlaced: false }],
  ] as const) {
    test(`the token is raised once if a start may arrive although ${reason}`, () => {
      const { machine, state, rewrites, tokens, invalidation } = setUp(200n);
      Object.assign(state, change);
      assert.equal(invalidation.prepareRenewal(machine), true);
      assert.equal(invalidation.prepareRenewal(machine), true);
      assert.equal(tokens.current(machine), FIRST_TOKEN + 1n);
      assert.deepEqual(rewrites, []);
    });
  }

  test('without a newer revision, a cancelled start withholds the renewal until a write has raised the revision', () => {
    const { machine, state, rewrites, tokens, invalidation } = setUp(FIRST_TOKEN);
    state.isCancelled = true;
    assert.equal(invalidation.prepareRenewal(machine), false);
    assert.equal(tokens.current(machine), FIRST_TOKEN);
    assert.deepEqual(rewrites, ['i-1']);
    state.revision = FIRST_TOKEN + 1n;
    assert.equal(invalidation.prepareRenewal(machine), true);
    assert.equal(tokens.current(machine), FIRST_TOKEN + 1n);
  });

  test('without a newer revision, the lease is renewed if the start is unwanted but not cancelled', () => {
    const { machine, state, rewrites, invalidation } = setUp(FIRST_TOKEN);
    state.pendingStop = STOP;
    assert.equal(invalidation.prepareRenewal(machine), true);
    assert.deepEqual(rewrites, ['i-1']);
  });

  test('a confirmed start may come again, so the token is raised once its task has exited, and not before', () => {
    const { machine, state, rewrites, tokens, invalidation } = setUp(FIRST_TOKEN);
    machine.commandChannel.confirmStarts([START]);
    Object.assign(state, { isCancelled: true, pendingStop: STOP });
    assert.equal(invalidation.prepareRenewal(machine), true);
    assert.deepEqual(rewrites, []);
    state.isPlaced = false;
    assert.equal(invalidation.prepareRenewal(machine), true);
    assert.deepEqual(rewrites, ['i-1']);
    const key = startKey(START.job, START.index, START.attempt);
    assert.equal(machine.commandChannel.mayArrive(key, tokens.current(machine)), true);
    state.revision = FIRST_TOKEN + 1n;
    assert.equal(invalidation.prepareRenewal(machine), true);
    assert.equal(machine.commandChannel.mayArrive(key, tokens.current(machine)), false);
  });

  test('a status with the raised token confirms the start, one with the earlier token does not', () => {
    const { machine } = setUp(200n);
    machine.commandChannel.confirmStartsBelow(FIRST_TOKEN);
    assert.equal([...machine.commandChannel.pushedStarts].length, 1);
    machine.commandChannel.confirmStartsBelow((FIRST_TOKEN + 1n) as FencingToken);
    assert.equal([...machine.commandChannel.pushedStarts].length, 0);
  });

  test('only tokens that belong to this leader count as its own', () => {
    const { machine, tokens } = setUp(101n);
    assert.equal(tokens.tryRaise(machine), true);
    assert.equal(tokens.tryRaise(machine), false);
    const owned = [99n, 100n, 101n, 102n].map((token) => tokens.isOfThisTerm(token as FencingToken, machine));
    assert.deepEqual(owned, [false, true, true, false]);
  });
});
