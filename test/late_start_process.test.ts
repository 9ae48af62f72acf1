import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type ProcessCluster, startClusterWith } from './support/process_cluster.js';
import { pause, waitUntil } from './support/processes.js';

/*
 * Guards against a pushed start that is executed long after its service was cancelled, because it arrives late or a
 * second time. Three controller processes run on loopback. Pushes to the workers are held up or repeated, while
 * heartbeats pass.
 */

/** Heartbeats are rare enough that a service can be cancelled before a heartbeat response repeats its starts. */
const HEARTBEAT_SECONDS = 3;
const LEASE_SECONDS = 12;
const CANCELLATION_TIMEOUT_SECONDS = 24;
/** Time after the delayed commands have arrived in which no task may start. */
const OBSERVATION_MS = 1500;

/** Submits a service with one replica for each worker, and cancels it while all of its starts are held up. */
async function cancelWhileStartsAreHeld(cluster: ProcessCluster, id: string): Promise<void> {
  const { workers, log } = cluster;
  await cluster.submit({ id, tasks: workers.length, cpus: 3, service: true }, 300_000);
  const heldStarts = (): string[] => workers.flatMap(({ pushFaults }) => [...pushFaults.heldStarts]);
  await waitUntil(`the starts of ${id} are held up`, () => heldStarts().length === workers.length);
  assert.equal(await cluster.cancel(id), 'withdrawn');
  const isPending = (task: string): boolean => !log.startsByTask.has(task);
  assert.ok(heldStarts().some(isPending), 'all tasks were started by heartbeat responses before the cancellation');
}

test('starts that arrive after cancel_s are not executed, and all other tasks run on', async (t) => {
  const cluster = await startClusterWith(t, {
    leaseSeconds: LEASE_SECONDS,
    heartbeatSeconds: HEARTBEAT_SECONDS,
    cancellationTimeoutSeconds: CANCELLATION_TIMEOUT_SECONDS,
  });
  const { log, workers } = cluster;
  await cluster.submit({ id: 'job-1', tasks: 6, cpus: 4 }, 300_000);
  await cluster.submit({ id: 'job-2', tasks: 6, cpus: 0.5, service: true }, 300_000);
  await waitUntil('all tasks run', () => log.runningTasks() === 12);
  for (const worker of workers) worker.pushFaults.holdUp();
  await cancelWhileStartsAreHeld(cluster, 'job-9');
  await cluster.submit({ id: 'job-3', tasks: 6, cpus: 0.5, service: true }, 300_000);
  await pause(CANCELLATION_TIMEOUT_SECONDS * 1000);
  const startsBefore = new Map(log.startsByTask);
  assert.equal(log.runningTasks('job-9'), 0);
  for (const worker of workers) worker.pushFaults.release();
  await pause(OBSERVATION_MS);
  assert.deepEqual(log.startsByTask, startsBefore);
  for (const id of ['job-1', 'job-2', 'job-3']) assert.equal(log.runningTasks(id), 6, `tasks of ${id}`);
  for (const [task, starts] of log.startsByTask) assert.equal(starts, 1, task);
  assert.deepEqual(log.concurrentRuns, []);
  assert.deepEqual(log.expiredLeases, []);
});

test('a start that comes again after its replica was stopped and acknowledged is not executed', async (t) => {
  const cluster = await startClusterWith(t, { leaseSeconds: LEASE_SECONDS });
  const { log, workers } = cluster;
  await cluster.submit({ id: 'job-1', tasks: 6, cpus: 4 }, 300_000);
  await cluster.submit({ id: 'job-2', tasks: 6, cpus: 3, service: true }, 300_000);
  await waitUntil('all tasks run', () => log.runningTasks() === 12);
  assert.equal(await cluster.cancel('job-2'), 'withdrawn');
  const isForgotten = (): boolean =>
    workers.every(({ taskNames }) => taskNames.every((task) => task.startsWith('job-1')));
  await waitUntil('the exits of all replicas are acknowledged', isForgotten);
  for (const worker of workers) worker.pushFaults.repeatAll();
  assert.equal(log.runningTasks('job-2'), 0);
  assert.equal(log.runningTasks('job-1'), 6);
  assert.equal(Math.max(...log.startsByTask.values()), 1);
  assert.deepEqual(log.expiredLeases, []);
});
