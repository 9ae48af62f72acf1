import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { loadPlatform } from '../../../src/config/platform.js';
import { JobCache } from '../../../src/core/jobs/job_cache.js';
import { RangeSet } from '../../../src/core/jobs/range_set.js';
import type { Output, RequestId, UserResponse } from '../../../src/core/messages.js';
import { encodeJob, type JobState, jobKey } from '../../../src/core/records.js';
import { FinalResponses } from '../../../src/core/requests/final_responses.js';
import { JobReader } from '../../../src/core/requests/job_reader.js';
import { LinearizableReads } from '../../../src/core/requests/linearizable_reads.js';
import { JOB_NOT_FOUND } from '../../../src/core/requests/responses.js';
import {
  FINAL_STATE_DELAY_MS,
  MAX_CONFIRMATION_AGE_MS,
  UNFINISHED_STATE_VALID_MS,
} from '../../../src/core/requests/state_validity.js';
import { StepContext } from '../../../src/core/step_context.js';
import type { ClockReading, MonotonicTime, Revision, WallClockTime } from '../../../src/core/types.js';
import { CURRENT_BUILD } from '../../sim/build.js';
import { makeJobSpec } from '../../sim/job_options.js';

/*
 * Guards against a response with an earlier state of a job after its user was told a final one, because the call that
 * confirmed the state was slow.
 */

const { settings } = loadPlatform(fileURLToPath(new URL('../../../../../test/settings.toml', import.meta.url)));
const START = 100_000;
const MAX_VALUE_BYTES = 8192;
/** Longer than the time over which queries are collected. */
const BATCH_MS = 130;
const spec = makeJobSpec('job-1', 'array', {});
const deadline = (START + 10_000) as MonotonicTime;

const clockReading = (monotonic: number): ClockReading => ({
  monotonic: monotonic as MonotonicTime,
  wallClock: 0 as WallClockTime,
});

function setUp() {
  const context = new StepContext(settings, CURRENT_BUILD.tuning, clockReading(START));
  const jobCache = new JobCache(context, () => {});
  const store = (state: JobState, version: bigint): void => {
    const record = { spec, submittedAt: 0 as WallClockTime, state, startTerm: 0, startZone: null, startZones: null };
    const value = encodeJob({ ...record, done: new RangeSet() }, MAX_VALUE_BYTES);
    jobCache.update({ key: jobKey(spec.id), value, version: version as Revision });
  };
  store('accepted', 5n);
  const reader = new JobReader(context, jobCache, () => null);
  const reads = new LinearizableReads(context, jobCache, reader);
  const responses: { readonly response: UserResponse | 'unavailable'; readonly asOf: number | undefined }[] = [];
  const query = {
    id: spec.id,
    responseIfMissing: JOB_NOT_FOUND,
    respond: (response: UserResponse, asOf?: MonotonicTime) => void responses.push({ response, asOf }),
    onUnavailable: () => void responses.push({ response: 'unavailable', asOf: undefined }),
  };
  /** Runs due timers `ms` later, and returns the outputs. */
  const advance = (ms: number): Output[] => {
    const now = context.now.monotonic + ms;
    context.beginStep(clockReading(now));
    context.timers.runDue(now as MonotonicTime);
    return context.endStep();
  };
  const confirm = (outputs: readonly Output[]): void => {
    for (const output of outputs)
      if (output.kind === 'stateStoreCall')
        context.stateStore.onReply(output.callId, { ok: true, value: { revision: 9n as Revision } });
  };
  return { context, jobCache, store, reads, query, responses, advance, confirm };
}

describe('responses about a job whose state may change', () => {
  test('a state that was confirmed in time is sent as of the time at which its confirmation was sent', () => {
    const { reads, query, responses, advance, confirm } = setUp();
    reads.enqueue(query);
    const sent = advance(BATCH_MS);
    advance(MAX_CONFIRMATION_AGE_MS);
    confirm(sent);
    assert.equal(responses.length, 1);
    assert.equal(responses[0]?.asOf, START + BATCH_MS);
  });

  test('a state whose confirmation was slow is confirmed again before it is sent', () => {
    const { reads, query, responses, advance, confirm } = setUp();
    reads.enqueue(query);
    const slow = advance(BATCH_MS);
    advance(MAX_CONFIRMATION_AGE_MS + 1);
    confirm(slow);
    assert.equal(responses.length, 0);
    confirm(advance(BATCH_MS));
    assert.equal(responses.at(0)?.asOf, START + 2 * BATCH_MS + MAX_CONFIRMATION_AGE_MS + 1);
  });

  test('a final state that became known meanwhile is sent in place of a slowly confirmed one', () => {
    const { reads, query, responses, advance, confirm, store } = setUp();
    reads.enqueue(query);
    const slow = advance(BATCH_MS);
    advance(MAX_CONFIRMATION_AGE_MS + 1);
    store('cancelled', 8n);
    confirm(slow);
    advance(BATCH_MS);
    const [first] = responses;
    assert.ok(first && first.response !== 'unavailable' && 'jobStatus' in first.response);
    assert.equal(first.response.jobStatus, 'cancelled');
  });

  test('a query is given up after three slow confirmations', () => {
    const { reads, query, responses, advance, confirm } = setUp();
    reads.enqueue(query);
    for (let i = 0; i < 3; i++) {
      const slow = advance(BATCH_MS);
      advance(MAX_CONFIRMATION_AGE_MS + 1);
      confirm(slow);
    }
    assert.deepEqual(responses, [{ response: 'unavailable', asOf: undefined }]);
  });

  test('a response with an unfinished state expires by the age of its confirmation', () => {
    const { context, advance } = setUp();
    const response: UserResponse = { status: 200, id: spec.id, jobStatus: 'running', done: 0, running: 1 };
    const asOf = (START - 100) as MonotonicTime;
    context.outbox.respondToUser(1 as RequestId, response, deadline, asOf);
    const [output] = advance(0);
    assert.ok(output?.kind === 'userResponse');
    assert.equal(output.expiresAt, START - 100 + UNFINISHED_STATE_VALID_MS);
  });
});

test('a final state is sent once no response with an earlier state can follow, and at once from then on', () => {
  const { context, jobCache, advance, store } = setUp();
  const finalResponses = new FinalResponses(context, jobCache);
  const response: UserResponse = { status: 200, id: spec.id, jobStatus: 'cancelled', done: 0, running: 0 };
  const sent: UserResponse[] = [];
  const send = (): void => void sent.push(response);
  store('cancelled', 8n);
  finalResponses.sendWhenFinal(response, send);
  advance(FINAL_STATE_DELAY_MS - 1);
  assert.equal(sent.length, 0);
  advance(1);
  assert.equal(sent.length, 1);
  finalResponses.sendWhenFinal(response, send);
  assert.equal(sent.length, 2);
  assert.ok(FINAL_STATE_DELAY_MS > UNFINISHED_STATE_VALID_MS);
});
