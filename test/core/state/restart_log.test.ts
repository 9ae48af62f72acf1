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

/** A leader of the second term, with a job that the first began and the machines where its tasks were and will be. */
function setUp() {
  const context = new StepContext(settings, CURRENT_BUILD.tuning, NOW, CURRENT_BUILD.features);
  const cluster = new Cluster(context, TERM);
  const before = makeMachine('i-1', '10.0.0.1:1', 'up', NOW.monotonic, true);
  const after = makeMachine('i-2', '10.0.0.2:1', 'up', NOW.monotonic, true);
  const record = {
    spec: makeJobSpec('job-1', 'array', { tasks: String(TASKS) }),
    submittedAt: NOW.wallClock,
    state: 'accepted' as const,
    startTerm: TERM - 1,
    startZone: before.zone,
    startZones: null,
    done: new RangeSet(),
  };
  const job = new Job(record, 1n as Revision);
  const earlierAttempts = new AttemptNumbers(TERM - 1);

  /** The task is found running on the first machine, and then certain to be over for a reason. */
  const findAndRelease = (index: number, reason: ReleaseReason, attempt: Attempt = earlierAttempts.next()): void => {
    cluster.placements.release(
      cluster.placements.add({ job, index, machine: before, attempt, phase: 'running' }),
      reason,
    );
  };
  const start = (index: number): void => {
    const attempt = cluster.nextAttempt();
    recordStartSent(cluster, cluster.placements.add({ job, index, machine: after, attempt, phase: 'planned' }), null);
  };
  const restartsLogged = () =>
    context.endStep().flatMap((output) => {
      return output.kind === 'log' && output.event === 'task started again' ? [output.fields] : [];
    });
  return { cluster, job, earlierAttempts, findAndRelease, start, restartsLogged };
}

describe('the log line of a task that is started again after an earlier term', () => {
  test('names the earlier attempt, its machine and what showed that it is over', () => {
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

  test('is written once for each restart, and not for tasks that this leader began', () => {
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

  test('is written for 200 restarts of a term, and then for one in a hundred', () => {
    const { findAndRelease, start, restartsLogged } = setUp();
    for (let index = 0; index < 450; index++) {
      findAndRelease(index, 'machineGone');
      start(index);
    }
    const counts = restartsLogged().map(({ restarts }) => restarts);
    assert.equal(counts.length, 202);
    assert.deepEqual(counts.slice(198), [199, 200, 300, 400]);
  });

  test('names the latest attempt where several ended', () => {
    const { job, earlierAttempts, start, restartsLogged } = setUp();
    const machine = makeMachine('i-3', '10.0.0.3:1', 'up', NOW.monotonic, true).id;
    const [first, second] = [earlierAttempts.next(), earlierAttempts.next()];
    job.locatedTasks.recordRelease(5, { machine, attempt: second, reason: 'exited' });
    job.locatedTasks.recordRelease(5, { machine, attempt: first, reason: 'exited' });
    start(5);
    const [line] = restartsLogged();
    assert.equal(line?.earlierAttempt, second);
    assert.equal(line?.evidence, 'noFeasibleMachine', 'an exit of an earlier term locates nothing');
  });

  test('nothing is kept for it of tasks that are complete, nor of jobs that are over', () => {
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
  test('those of a later term are higher than any of an earlier one, and tell their term', () => {
    const earlier = new AttemptNumbers(TERM - 1);
    const later = new AttemptNumbers(TERM);
    const [first, second, third] = [earlier.next(), earlier.next(), later.next()];
    assert.ok(first < second && second < third);
    assert.ok(later.isOfEarlierTerm(second));
    assert.ok(!later.isOfEarlierTerm(third));
    assert.ok(!earlier.isOfEarlierTerm(first));
  });
});
