import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { loadPlatform } from '../../../src/config/platform.js';
import { Job } from '../../../src/core/jobs/job.js';
import type { ReleaseReason } from '../../../src/core/jobs/located_tasks.js';
import { RangeSet } from '../../../src/core/jobs/range_set.js';
import { AttemptNumbers } from '../../../src/core/state/attempt_numbers.js';
import { Cluster } from '../../../src/core/state/cluster.js';
import { StepContext } from '../../../src/core/step_context.js';
import type { Attempt, MonotonicTime, Revision, WallClockTime } from '../../../src/core/types.js';
import { recordStartSent } from '../../../src/core/workers/commands.js';
import { CURRENT_BUILD } from '../../sim/build.js';
import { makeJobSpec } from '../../sim/job_options.js';
import { makeMachine } from '../../support/machine_fixtures.js';

const { settings } = loadPlatform(fileURLToPath(new URL('../../../../../test/settings.toml', import.meta.url)));
const TERM = 2;
const TASKS = 1000;
const NOW = { monotonic: 1000 as MonotonicTime, wallClock: 0 as WallClockTime };

/**
 * Sets up a leader of the second term, a job that was started in the first term, and machines for its tasks before and
 * after the failover.
 */
function setUp() {
  const context = new StepContext(settings, CURRENT_BUILD.tuning, NOW, CURRENT_BUILD.features);
  const cluster = new Cluster(context, TERM);
  const oldMachine = makeMachine('i-1', '10.0.0.1:1', 'up', NOW.monotonic, true);
  const newMachine = makeMachine('i-2', '10.0.0.2:1', 'up', NOW.monotonic, true);
  const record = {
    spec: makeJobSpec('job-1', 'array', { tasks: String(TASKS) }),
    submittedAt: NOW.wallClock,
    state: 'accepted' as const,
    startTerm: TERM - 1,
    startZone: oldMachine.zone,
    startZones: null,
    done: new RangeSet(),
  };
  const job = new Job(record, 1n as Revision);
  const previousAttempts = new AttemptNumbers(TERM - 1);

  /** Adopts the task as running on the old machine, and then releases the placement for the given reason. */
  const findAndRelease = (index: number, reason: ReleaseReason, attempt: Attempt = previousAttempts.next()): void => {
    cluster.placements.release(
      cluster.placements.add({ job, index, machine: oldMachine, attempt, phase: 'running' }),
      reason,
    );
  };
  const start = (index: number): void => {
    const attempt = cluster.nextAttempt();
    recordStartSent(
      cluster,
      cluster.placements.add({ job, index, machine: newMachine, attempt, phase: 'planned' }),
      null,
    );
  };
  const restartsLogged = () =>
    context.endStep().flatMap((output) => {
      return output.kind === 'log' && output.event === 'task started again' ? [output.fields] : [];
    });
  return { cluster, job, previousAttempts, findAndRelease, start, restartsLogged };
}

describe('log event of a restart of a task that a previous leader started', () => {
  test('contains the previous attempt, its machine and the evidence that the attempt ended', () => {
    const { findAndRelease, start, restartsLogged } = setUp();
    findAndRelease(7, 'agentLeaseExpired');
    start(7);
    assert.deepEqual(restartsLogged(), [
      {
        task: 'job-1/7',
        machine: 'i-2',
        attempt: new AttemptNumbers(TERM).next(),
        evidence: 'agentLeaseExpired',
        earlierMachine: 'i-1',
        earlierAttempt: new AttemptNumbers(TERM - 1).next(),
        restarts: 1,
      },
    ]);
  });

  test('is written once for each restart, and not for tasks that this leader started first', () => {
    const { cluster, findAndRelease, start, restartsLogged } = setUp();
    start(1);
    findAndRelease(2, 'exited', cluster.nextAttempt());
    start(2);
    findAndRelease(3, 'machineGone');
    start(3);
    assert.deepEqual(
      restartsLogged().map(({ task }) => task),
      ['job-1/3'],
    );
    assert.deepEqual(restartsLogged(), []);
  });

  test('is written for the first 200 restarts of a term, and then for every hundredth', () => {
    const { findAndRelease, start, restartsLogged } = setUp();
    for (let index = 0; index < 450; index++) {
      findAndRelease(index, 'machineGone');
      start(index);
    }
    const counts = restartsLogged().map(({ restarts }) => restarts);
    assert.equal(counts.length, 202);
    assert.deepEqual(counts.slice(198), [199, 200, 300, 400]);
  });

  test('contains the latest attempt if several have ended', () => {
    const { job, previousAttempts, start, restartsLogged } = setUp();
    const machine = makeMachine('i-3', '10.0.0.3:1', 'up', NOW.monotonic, true).id;
    const [first, second] = [previousAttempts.next(), previousAttempts.next()];
    job.locatedTasks.recordRelease(5, { machine, attempt: second, reason: 'exited' });
    job.locatedTasks.recordRelease(5, { machine, attempt: first, reason: 'exited' });
    start(5);
    const [fields] = restartsLogged();
    assert.equal(fields?.earlierAttempt, second);
    assert.equal(
      fields?.evidence,
      'noFeasibleMachine',
      'an exit of an attempt of a previous term does not locate the task',
    );
  });

  test('no release is recorded for a complete task or for a task of an ended job', () => {
    const { job, findAndRelease } = setUp();
    job.markDone(1);
    findAndRelease(1, 'exited');
    findAndRelease(2, 'exited');
    job.cancel();
    findAndRelease(3, 'exited');
    const kept = [1, 2, 3].filter((index) => job.locatedTasks.takeRelease(index) !== null);
    assert.deepEqual(kept, [2]);
  });
});

describe('attempt numbers', () => {
  test('are higher in a later term than in any previous one, and show whether they are of a previous term', () => {
    const previous = new AttemptNumbers(TERM - 1);
    const later = new AttemptNumbers(TERM);
    const [first, second, third] = [previous.next(), previous.next(), later.next()];
    assert.ok(first < second && second < third);
    assert.ok(later.isOfPreviousTerm(second));
    assert.ok(!later.isOfPreviousTerm(third));
    assert.ok(!previous.isOfPreviousTerm(first));
  });
});
