import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { RangeSet } from '../../src/core/jobs/range_set.js';
import { encodeJob, fitsWithStartZones } from '../../src/core/records.js';
import type { WallClockTime, ZoneName } from '../../src/core/types.js';
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
});
