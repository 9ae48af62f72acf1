import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Job } from '../../../src/core/jobs/job.js';
import { RangeSet } from '../../../src/core/jobs/range_set.js';
import { WriteBatch } from '../../../src/core/leadership/write_batch.js';
import { LEADER_KEY } from '../../../src/core/records.js';
import { type ImageName, type MonotonicTime, revision, type WallClockTime } from '../../../src/core/types.js';
import { encodeStateStoreRequest } from '../../../src/io/state_store/state_store_codec.js';
import { makeJobSpec } from '../../sim/job_options.js';

const MAX_TRANSACTION_BYTES = 64 * 1024;

describe('WriteBatch', () => {
  test('a full transaction stays within 64 KiB, also with records whose texts are outside ASCII', () => {
    const batch = new WriteBatch(
      { key: LEADER_KEY, version: revision(1_000_000) },
      { maxChanges: 1000, maxValueBytes: 16_384 },
    );
    let jobs = 0;
    for (; batch.hasSpace(); jobs++) {
      const spec = { ...makeJobSpec(`job-${jobs}`, 'array', {}), image: 'تطريز'.repeat(40) as ImageName };
      const record = {
        spec,
        submittedAt: 1 as WallClockTime,
        state: 'accepted' as const,
        startTerm: 0,
        startZone: null,
        startZones: null,
        done: new RangeSet(),
      };
      batch.addJob(new Job(record, revision(1_000_000)), 0 as MonotonicTime);
    }
    const { conditions, changes } = batch;
    const { body } = encodeStateStoreRequest({ op: 'compareAndSwap', conditions, changes });
    const bytes = Buffer.byteLength(
      JSON.stringify(body, (_, value) => (typeof value === 'bigint' ? `${value}` : value)),
    );
    assert.ok(bytes <= MAX_TRANSACTION_BYTES, `${bytes} bytes`);
    assert.ok(jobs >= 20, `${jobs} jobs`);
  });
});
