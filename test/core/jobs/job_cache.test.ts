import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ExpiringMap } from '../../../src/core/expiring_map.js';
import { JobCache } from '../../../src/core/jobs/job_cache.js';
import { RangeSet } from '../../../src/core/jobs/range_set.js';
import type { StateStoreOperation, StateStoreResponse, StoredEntry } from '../../../src/core/messages.js';
import { encodeJob, type JobState, jobKey } from '../../../src/core/records.js';
import type { JobId, MonotonicTime, WallClockTime } from '../../../src/core/types.js';
import { revision } from '../../../src/core/types.js';
import { makeJobSpec } from '../../sim/job_options.js';
import { makeCluster } from '../../support/cluster_fixtures.js';

/*
 * Guards against memory that grows with the number of jobs that have ended, and against outdated records of such jobs,
 * which the cache no longer knows, being taken for those of new jobs.
 */

const READ_REVISION = 1000;

function entry(number: number, state: JobState, version: number, startTerm = 1): StoredEntry {
  const spec = makeJobSpec(`job-${String(number).padStart(6, '0')}`, 'array', {});
  const done = new RangeSet();
  if (state === 'done') done.add(0);
  const record = {
    spec,
    submittedAt: 1 as WallClockTime,
    state,
    startTerm,
    startZone: null,
    startZones: null,
    done,
  };
  return { key: jobKey(spec.id), value: encodeJob(record, 8192), version: revision(version) };
}

/** A cache whose calls to the state store are answered by the test. */
function setUp() {
  const { context } = makeCluster();
  const calls: { operation: StateStoreOperation; reply: (value: StateStoreResponse) => void }[] = [];
  context.stateStore.call = ((operation: StateStoreOperation, _: number, onResult: (...args: unknown[]) => void) => {
    const sentAt = context.now.monotonic;
    calls.push({ operation, reply: (value) => onResult({ ok: true, value }, sentAt) });
  }) as typeof context.stateStore.call;
  const records: string[] = [];
  const cache = new JobCache(context, ({ spec, state }) => void records.push(`${spec.id} ${state}`));
  return { context, cache, calls, records };
}

type SetUp = ReturnType<typeof setUp>;

/** Answers the oldest open call with a page of records. */
function replyPage({ calls }: SetUp, items: StoredEntry[], more: boolean): void {
  const call = calls.shift();
  assert.equal(call?.operation.op, 'list');
  call?.reply({ items, more, revision: revision(READ_REVISION) });
}

const idOf = ({ key }: StoredEntry): JobId => key.slice(2) as JobId;

describe('JobCache', () => {
  test('keeps the records of unfinished jobs, and of cancelled ones that may have tasks, among many that are done', () => {
    const world = setUp();
    world.cache.read();
    const doneJobs = 17_000;
    const pageSize = 500;
    for (let from = 0; from < doneJobs; from += pageSize) {
      const items = Array.from({ length: pageSize }, (_, i) => entry(from + i, 'done', 10));
      replyPage(world, items, true);
    }
    const accepted = entry(doneJobs + 1, 'accepted', 11);
    const cancelled = entry(doneJobs + 2, 'cancelled', 12);
    const neverStarted = entry(doneJobs + 3, 'cancelled', 13, 0);
    replyPage(world, [accepted, cancelled, neverStarted], false);
    const { cache, records } = world;
    assert.equal(cache.size, 2);
    assert.deepEqual(records, [`${idOf(accepted)} accepted`, `${idOf(cancelled)} cancelled`]);
    assert.equal(cache.get(idOf(neverStarted)), undefined);
    assert.deepEqual(
      [...cache.jobsWithTasks()].map(({ id }) => id),
      [idOf(accepted), idOf(cancelled)],
    );
  });

  test('an outdated record of a job that had ended when all records were read is not taken for a new job', () => {
    const world = setUp();
    const { cache } = world;
    cache.read();
    replyPage(world, [entry(1, 'done', 900)], true);
    // The reply to a read that was sent before the end of the job arrives during the read of all records, and after it.
    assert.equal(cache.update(entry(1, 'accepted', 800)), null);
    assert.equal(cache.update(entry(2, 'accepted', 850))?.state, 'accepted');
    replyPage(world, [entry(2, 'done', 950), entry(3, 'done', 1001)], false);
    assert.equal(cache.update(entry(1, 'accepted', 800)), null);
    assert.equal(cache.update(entry(2, 'accepted', 850))?.state, 'done');
    // The third job ended while the records were read, so that its end is not covered by the revision of the read.
    assert.equal(cache.update(entry(3, 'accepted', 1000))?.state, 'done');
    assert.equal(cache.update(entry(4, 'accepted', 1002))?.state, 'accepted');
    assert.equal(cache.update(entry(1, 'done', 900))?.state, 'done');
  });

  test('forgets a job some minutes after its end, and learns its final state again when asked', () => {
    const world = setUp();
    const { cache, context } = world;
    cache.read();
    replyPage(world, [entry(1, 'accepted', 900)], false);
    cache.update(entry(1, 'done', 1100));
    const advance = (ms: number): void => {
      const { monotonic, wallClock } = context.now;
      context.beginStep({ monotonic: (monotonic + ms) as MonotonicTime, wallClock: (wallClock + ms) as WallClockTime });
      cache.read();
      replyPage(world, [entry(1, 'done', 1100)], false);
    };
    advance(290_000);
    assert.equal(cache.get(idOf(entry(1, 'done', 1)))?.state, 'done');
    advance(310_000);
    advance(310_000);
    assert.equal(cache.size, 0);
    assert.equal(cache.update(entry(1, 'done', 1100))?.doneTasks, 1);
  });
});

describe('ExpiringMap', () => {
  test('keeps entries for the retention time, and for at most twice as long', () => {
    const map = new ExpiringMap<string, number>(1000);
    const at = (ms: number): MonotonicTime => ms as MonotonicTime;
    map.expire(at(0));
    map.set('a', 1);
    map.expire(at(999));
    assert.equal(map.get('a'), 1);
    map.expire(at(1000));
    map.set('b', 2);
    assert.deepEqual([map.get('a'), map.size], [1, 2]);
    map.expire(at(2000));
    assert.deepEqual([map.get('a'), map.get('b'), map.size], [undefined, 2, 1]);
    map.set('b', 3);
    map.expire(at(3000));
    assert.deepEqual([...map.values()], [3]);
  });
});
