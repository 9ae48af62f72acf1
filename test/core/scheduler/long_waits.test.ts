import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import type { Job } from '../../../src/core/jobs/job.js';
import type { Machine } from '../../../src/core/machines/machine.js';
import { FreeCapacity } from '../../../src/core/scheduler/free_capacity.js';
import { LongWaits } from '../../../src/core/scheduler/long_waits.js';
import type { Cluster } from '../../../src/core/state/cluster.js';
import type { StepContext } from '../../../src/core/step_context.js';
import type { Attempt, MonotonicTime } from '../../../src/core/types.js';
import { makeJobSpec } from '../../sim/job_options.js';
import { C8, G4 } from '../../sim/machine_types.js';
import { addJob, addMachine, makeCluster } from '../../support/cluster_fixtures.js';

const ROUND_MS = 2000;
const UNBOUNDED_STEPS = 1e9;

/** Lets time pass with a heartbeat of each machine. */
function advance({ cluster, context }: { cluster: Cluster; context: StepContext }, ms: number): void {
  const { monotonic, wallClock } = context.now;
  context.beginStep({ monotonic: (monotonic + ms) as MonotonicTime, wallClock: (wallClock + ms) as typeof wallClock });
  for (const machine of cluster.machines.values()) machine.messages.recordHeartbeat(context.now.monotonic);
}

/** Occupies a machine with a task that takes these amounts. */
function occupy(cluster: Cluster, id: string, cpus: number, gpus: number): Job {
  const machine = [...cluster.machines.values()].find((each) => each.id === id);
  assert.ok(machine);
  const job = addJob(cluster, makeJobSpec(`occupying-${id}`, 'array', { cpus: `${cpus}`, gpus: `${gpus}` }));
  cluster.placements.add({ job, index: 0, machine, attempt: 1n as Attempt, phase: 'planned' });
  return job;
}

/** Lets the job fail on each of the machines, which it avoids from then on. Others have failed there, too. */
function failOn(machines: readonly Machine[], job: Job, now: MonotonicTime): void {
  for (const { id } of machines) {
    job.failureHistory.recordFailure(id, { placedAt: now, ranMs: 0, now, machineSuspected: true });
  }
}

/** Adds a machine. Most have no free cores or no free GPUs, so that little work fits. */
function addLargelyOccupiedMachine(cluster: Cluster, i: number): void {
  addMachine(cluster, `i-${i}`, i % 2 === 0 ? C8 : G4, i % 3 === 0 ? 'a' : 'b');
  if (i % 100 !== 0) occupy(cluster, `i-${i}`, i % 4 === 1 ? 24 : 7.5, i % 4 === 3 ? 4 : 0);
}

describe('LongWaits', () => {
  test('starts a job once it has waited for 60 s with room, and not while there is none', () => {
    const world = makeCluster();
    const { cluster } = world;
    const longWaits = new LongWaits(cluster);
    addMachine(cluster, 'i-0', C8, 'a');
    occupy(cluster, 'i-0', 6, 0);
    const fitting = addJob(cluster, makeJobSpec('job-1', 'array', { cpus: '1', tasks: '12' }));
    const tooLarge = addJob(cluster, makeJobSpec('job-2', 'array', { cpus: '3' }));
    const gang = addJob(cluster, makeJobSpec('job-3', 'gang', { cpus: '1', tasks: '3' }));
    for (let ms = 0; ms <= 58_000; ms += ROUND_MS) {
      longWaits.startDueJobs(UNBOUNDED_STEPS);
      assert.equal(fitting.placedCount, 0, `started after ${ms} ms`);
      advance(world, ROUND_MS);
    }
    longWaits.startDueJobs(UNBOUNDED_STEPS);
    assert.deepEqual([fitting.placedCount, tooLarge.placedCount, gang.placedCount], [2, 0, 0]);
  });

  test('goes on counting if a placement is released before its task has started', () => {
    const world = makeCluster();
    const { cluster } = world;
    const longWaits = new LongWaits(cluster);
    const machine = addMachine(cluster, 'i-0', C8, 'a');
    const job = addJob(cluster, makeJobSpec('job-1', 'array', { cpus: '8' }));
    for (let ms = 0; ms <= 60_000; ms += ROUND_MS) {
      longWaits.startDueJobs(UNBOUNDED_STEPS);
      advance(world, ROUND_MS);
    }
    const placement = cluster.placements.find(machine, job.id, 0);
    assert.ok(placement);
    cluster.placements.release(placement, 'startNotSent');
    longWaits.startDueJobs(UNBOUNDED_STEPS);
    assert.equal(job.placedCount, 1);
  });

  test('uses a machine that is reserved for another job, and one that is drained as a straggler last of all', () => {
    const world = makeCluster();
    const { cluster, context } = world;
    const longWaits = new LongWaits(cluster);
    const straggler = addMachine(cluster, 'i-0', C8, 'a');
    const reserved = addMachine(cluster, 'i-1', C8, 'a');
    straggler.cordon.drain('straggler');
    const gang = addJob(cluster, makeJobSpec('job-1', 'gang', { cpus: '8', tasks: '3' }));
    const jobs = ['job-2', 'job-3'].map((id) => addJob(cluster, makeJobSpec(id, 'array', { cpus: '6' })));
    for (let ms = 0; ms <= 60_000; ms += ROUND_MS) {
      reserved.reserve(gang.id, context.after(5000));
      longWaits.startDueJobs(UNBOUNDED_STEPS);
      advance(world, ROUND_MS);
    }
    const machines = jobs.map((job) => [...cluster.placements.ofJob(job).values()].map(({ machine }) => machine.id));
    assert.deepEqual(machines, [['i-1'], ['i-0']]);
    assert.equal(straggler.cordon.isDraining, false);
  });

  test('goes on behind the last job tried, so that jobs that cannot be started do not use up the steps of each call', () => {
    const world = makeCluster();
    const { cluster, context } = world;
    const longWaits = new LongWaits(cluster);
    const machines = Array.from({ length: 64 }, (_, i) => addMachine(cluster, `i-${i}`, C8, 'a'));
    const ids = Array.from({ length: 40 }, (_, i) => `job-${100 + i}`);
    const jobs = ids.map((id) => addJob(cluster, makeJobSpec(id, 'array', {})));
    const last = jobs.at(-1);
    const rounds = 60;
    for (let round = 0; round < rounds && last?.placedCount === 0; round++) {
      for (const job of jobs.slice(0, -1)) failOn(machines, job, context.now.monotonic);
      longWaits.startDueJobs(4);
      advance(world, ROUND_MS);
    }
    assert.equal(last?.placedCount, 1);
    assert.ok(jobs.slice(0, -1).every(({ placedCount }) => placedCount === 0));
  });

  test('looks at a bounded number of machines a call, and starts all of very many jobs in turn', () => {
    const world = makeCluster();
    const { cluster } = world;
    const longWaits = new LongWaits(cluster);
    const machineCount = 4000;
    const maxSteps = 10_000;
    for (let i = 0; i < machineCount; i++) addLargelyOccupiedMachine(cluster, i);
    const jobs = Array.from({ length: 300 }, (_, i) =>
      addJob(cluster, makeJobSpec(`job-${i}`, i % 10 === 0 ? 'gang' : 'array', { cpus: `${1 + (i % 7) / 10}` })),
    );
    let calls = 0;
    for (; jobs.some((job) => job.placedCount === 0) && calls < 45; calls++) {
      // Up to `maxSteps` are spent on the room of gangs and on starts, each with the search for one more job.
      assert.ok(longWaits.startDueJobs(maxSteps).steps < 2 * maxSteps + machineCount);
      advance(world, ROUND_MS);
    }
    assert.ok(calls * ROUND_MS <= 70_000, `started after ${calls} rounds`);
  });
});

interface OccupiedMachine {
  readonly isGpuMachine: boolean;
  readonly cpus: number;
  readonly gpus: number;
}

/** Returns a state with these machines, each with a task that takes the given amounts or as much as there is. */
function clusterWith(machines: readonly OccupiedMachine[]): Cluster {
  const { cluster } = makeCluster();
  for (const [i, { isGpuMachine, cpus, gpus }] of machines.entries()) {
    const type = isGpuMachine ? G4 : C8;
    addMachine(cluster, `i-${i}`, type, i % 2 === 0 ? 'a' : 'b');
    occupy(cluster, `i-${i}`, Math.min(cpus, type.cpus), Math.min(gpus, type.gpus));
  }
  return cluster;
}

/** Asks for room for the job, and compares the answers with a look at each machine. Places the job if there is room. */
function checkRoomFor(cluster: Cluster, capacity: FreeCapacity, job: Job): void {
  const hasRoom = [...cluster.machines.values()].some(({ allocations }) => allocations.hasFreeCapacityFor(job.spec));
  assert.equal(FreeCapacity.ofSchedulable(cluster).hasRoomForTask(job), hasRoom);
  const machine = capacity.findMachine(job, () => true);
  assert.equal(machine !== null, hasRoom);
  if (machine === null) return;
  assert.ok(machine.allocations.hasFreeCapacityFor(job.spec));
  cluster.placements.add({ job, index: 0, machine, attempt: 1n as Attempt, phase: 'planned' });
}

describe('FreeCapacity', () => {
  test('tells whether a job has room as a look at each machine does, also after placements', () => {
    const gpus = fc.integer({ min: 0, max: 4 });
    const machine = fc.record({ isGpuMachine: fc.boolean(), cpus: fc.integer({ min: 0, max: 24 }), gpus });
    const task = fc.record({ cpus: fc.integer({ min: 1, max: 24 }), gpus });
    fc.assert(
      fc.property(fc.array(machine, { maxLength: 12 }), fc.array(task, { maxLength: 12 }), (machines, tasks) => {
        const cluster = clusterWith(machines);
        const capacity = FreeCapacity.ofSchedulable(cluster);
        for (const [i, { cpus, gpus }] of tasks.entries()) {
          const spec = makeJobSpec(`job-${i}`, 'array', { cpus: `${cpus}`, gpus: `${gpus}` });
          checkRoomFor(cluster, capacity, addJob(cluster, spec));
        }
      }),
    );
  });
});
