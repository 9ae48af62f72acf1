import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { type Attempt, type JobId, type MonotonicTime, revision } from '../../../src/core/types.js';
import { makeJobSpec } from '../../sim/job_options.js';
import { C8 } from '../../sim/machine_types.js';
import { addJob, addMachine, makeCluster } from '../../support/cluster_fixtures.js';

const MINUTE_MS = 60_000;

describe('JobTable', () => {
  test('drops jobs some time after nothing of them is left to write or stop, and no others', () => {
    const { cluster, context } = makeCluster();
    const { jobs, placements } = cluster;
    const machine = addMachine(cluster, 'i-0', C8, 'a');
    const ids = ['job-1', 'job-2', 'job-3'] as JobId[];
    const [ended, stopping, waiting] = ids.map((id) => addJob(cluster, makeJobSpec(id, 'array', {})));
    assert.ok(ended && stopping && waiting);
    for (const job of [ended, stopping]) {
      placements.add({ job, index: 0, machine, attempt: 1n as Attempt, phase: 'running' });
      job.stored.applyRecord({ state: 'cancelled', startTerm: 1, startZones: null, done: job.doneTasks }, revision(2));
      job.cancel();
    }
    const placement = placements.find(machine, ended.id, 0);
    assert.ok(placement);
    placements.release(placement, 'exited');
    const start = context.now.monotonic;
    const knownAfter = (minutes: number): JobId[] => {
      jobs.expireSettled((start + minutes * MINUTE_MS) as MonotonicTime);
      return ids.filter((id) => jobs.get(id) !== undefined);
    };
    jobs.expireSettled(start);
    assert.deepEqual(knownAfter(0.9), ids);
    knownAfter(1);
    assert.deepEqual(knownAfter(2), ['job-2', 'job-3']);
    assert.deepEqual(knownAfter(60), ['job-2', 'job-3']);
    // A task of a job that was dropped is found on a machine, and its record is read again.
    jobs.add(ended);
    placements.add({ job: ended, index: 0, machine, attempt: 2n as Attempt, phase: 'running' });
    assert.deepEqual(knownAfter(120), ids);
  });
});
