import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { RangeSet } from '../../src/core/jobs/range_set.js';
import { decodeJob, encodeJob, fitsWithStartZones, storedBytes } from '../../src/core/records.js';
import type { ImageName, WallClockTime, ZoneName } from '../../src/core/types.js';
import { makeJobSpec } from '../sim/job_options.js';
import { zoneA } from '../support/machine_fixtures.js';

describe('job records', () => {
  test('include the start zones of a job only if all of them fit into the record', () => {
    const zones = ['north', 'south'] as ZoneName[];
    const spec = makeJobSpec('job-1', 'array', { tasks: '4' });
    const record = {
      spec,
      submittedAt: 1 as WallClockTime,
      state: 'accepted',
      startTerm: 1,
      startZone: zoneA,
    } as const;
    const full = { ...record, startZones: zones, done: new RangeSet() };
    const bytes = JSON.stringify(encodeJob(full, 8192)).length;
    assert.equal(fitsWithStartZones(record, zones, bytes + 48), true);
    assert.equal(fitsWithStartZones(record, zones, bytes + 47), false);
  });

  test('leave out the texts of a job that has ended if they do not fit, so that its end can be stored', () => {
    const text = 'خشب'.repeat(60);
    const spec = { ...makeJobSpec('job-1', 'array', { tasks: '4' }), jobClass: text, image: text as ImageName };
    const done = new RangeSet();
    for (const index of [0, 1, 2, 3]) done.add(index);
    const record = { spec, submittedAt: 1 as WallClockTime, startTerm: 1, startZone: zoneA, startZones: null, done };
    const maxBytes = 1000;
    assert.ok(storedBytes(encodeJob({ ...record, state: 'accepted' }, maxBytes)) > maxBytes);
    for (const state of ['done', 'cancelled'] as const) {
      const value = encodeJob({ ...record, state }, maxBytes);
      assert.ok(storedBytes(value) <= maxBytes);
      const decoded = decodeJob(value);
      assert.deepEqual([decoded?.state, decoded?.done.count, decoded?.spec.taskCount], [state, 4, 4]);
      assert.equal(decodeJob(encodeJob({ ...record, state }, 8192))?.spec.jobClass, text);
    }
  });
});
