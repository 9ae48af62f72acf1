import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Job } from '../../../src/core/jobs/job.js';
import { RangeSet } from '../../../src/core/jobs/range_set.js';
import { applyReservations } from '../../../src/core/scheduler/apply.js';
import { findOverdueGangReservations } from '../../../src/core/scheduler/gang_reservation.js';
import type { JobId, MonotonicTime, WallClockTime } from '../../../src/core/types.js';
import { revision } from '../../../src/core/types.js';
import { makeJobSpec } from '../../sim/job_options.js';
import { makeCluster } from '../../support/cluster_fixtures.js';
import { makeMachine } from '../../support/machine_fixtures.js';

describe('gang reservation', () => {
  test('reserves the planned machines of only the longest overdue gang in a zone', () => {
    const { cluster } = makeCluster();
    const { now } = cluster.context;
    const gang = (id: string, waitedSeconds: number): Job => {
      const spec = { ...makeJobSpec(id, 'gang', { tasks: '2', gpus: '4' }) };
      const submittedAt = (now.wallClock - waitedSeconds * 1000) as WallClockTime;
      return new Job(
        { spec, submittedAt, state: 'accepted', startTerm: 0, startZone: null, startZones: null, done: new RangeSet() },
        revision(1),
      );
    };
    const jobs = [gang('job-1', 130), gang('job-2', 200), gang('job-3', 20)];
    const machines = [0, 1, 2, 3, 4, 5].map((i) => makeMachine(`i-${i}`, '', 'up', now.monotonic, false));
    const starts = machines.map((_, machineIndex) => ({
      jobIndex: Math.floor(machineIndex / 2),
      machineIndex,
      tasks: 1,
      freeAtSeconds: 20,
      startAtSeconds: 30,
    }));
    applyReservations(cluster, findOverdueGangReservations(cluster, starts, { jobs, machines }));
    const reservedFor = machines.map((machine) => machine.reservedFor(now.monotonic));
    assert.deepEqual(reservedFor, [null, null, 'job-2', 'job-2', null, null]);
    assert.equal(machines[2]?.isReservedForOther('job-1' as JobId, now.monotonic), true);
    assert.equal(machines[2]?.reservedFor((now.monotonic + 5000) as MonotonicTime), null);
  });
});
