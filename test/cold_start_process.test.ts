import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startCluster } from './support/process_cluster.js';
import { waitUntil } from './support/processes.js';

/*
 * Guards against controllers that stop, repeat or lose tasks when all of them restart. Three controller processes are
 * killed together while tasks run, and are started again. Stand-in workers keep running and record which commands reach
 * them.
 */

/**
 * A lease long enough for controllers that are down for 2 s and then start slowly, because the test machine has other
 * work.
 */
const LONG_LEASE_SECONDS = 20;
/**
 * Maximum time from when a controller listens until every worker has the new leader's fencing token. It equals a lease
 * of 10 s minus 2 s of downtime.
 */
const MAX_RECOVERY_SECONDS = 8;
/** Downtime of all controllers, which is shorter than the workers' lease. */
const DOWNTIME_MS = 2000;
/** Time after the recovery in which workers must not receive any command. */
const OBSERVATION_MS = 1500;
/** `cancel_s` in test/settings.toml. */
const CANCELLATION_TIMEOUT_MS = 39_000;

test('controllers restarted within a lease send no commands if records and statuses agree', async (t) => {
  const cluster = await startCluster(t, LONG_LEASE_SECONDS);
  const { log } = cluster;
  await cluster.submit({ id: 'job-1', tasks: 12, cpus: 4 }, LONG_LEASE_SECONDS * 1000);
  await waitUntil('all tasks run', () => log.runningTasks() === 12);
  log.resetCommands();
  const killedAt = performance.now();
  await cluster.killControllers();
  await cluster.waitForFailedHeartbeats(DOWNTIME_MS);
  cluster.startControllers();
  await cluster.waitUntilListening();
  const listeningAt = performance.now();
  await cluster.waitUntilRecovered();
  const recoverySeconds = (performance.now() - listeningAt) / 1000;
  assert.ok(
    recoverySeconds < MAX_RECOVERY_SECONDS,
    `recovery ended only ${recoverySeconds} s after a controller listened`,
  );
  const downtimeSeconds = (performance.now() - killedAt) / 1000;
  assert.ok(
    downtimeSeconds < LONG_LEASE_SECONDS,
    `recovery ended ${downtimeSeconds} s after the crash, which is not within the lease`,
  );
  await cluster.waitForSuccessfulHeartbeats(OBSERVATION_MS);
  assert.deepEqual(log.commands, { run: 0, stop: 0, reap: 0 });
  await cluster.waitUntilDone(['job-1']);
  cluster.assertStatesFinal();
  assert.deepEqual(cluster.completionCounts('job-1'), Array(12).fill(1));
  assert.equal(Math.max(...log.startsByTask.values()), 1);
  assert.deepEqual(log.concurrentRuns, []);
  assert.deepEqual(log.expiredLeases, []);
});

test('tasks end and a machine is lost with no controller running: jobs and tasks complete only once', async (t) => {
  const cluster = await startCluster(t);
  const { log } = cluster;
  await cluster.submit({ id: 'job-2', tasks: 6, cpus: 4 }, 60_000);
  await waitUntil('job-2 runs', () => log.runningTasks() === 6);
  await cluster.submit({ id: 'job-1', tasks: 6, cpus: 4 }, 5000);
  await waitUntil('both jobs run', () => log.runningTasks() === 12);
  // All machines are full, so job-3 waits until the controllers have been restarted.
  await cluster.submit({ id: 'job-3', tasks: 9, cpus: 2 }, 1000);
  await cluster.killControllers();
  log.resetCommands();
  const [removedWorker] = cluster.workers;
  assert.ok(removedWorker);
  const lostTasks = removedWorker.taskNames;
  cluster.removeWorker(removedWorker);
  await waitUntil('the remaining tasks of job-1 have completed', () => {
    const remaining = 6 - lostTasks.filter((task) => task.startsWith('job-1/')).length;
    return cluster.completionCounts('job-1').length === remaining;
  });
  cluster.startControllers();
  await cluster.waitUntilDone(['job-1', 'job-3']);
  cluster.assertStatesFinal();
  assert.deepEqual(cluster.completionCounts('job-1'), Array(6).fill(1));
  assert.deepEqual(cluster.completionCounts('job-3'), Array(9).fill(1));
  for (const [task, times] of log.startsByTask)
    assert.ok(times <= (lostTasks.includes(task) ? 2 : 1), `${task}: ${times}`);
  assert.equal(log.commands.stop, 0);
  assert.deepEqual(log.concurrentRuns, []);
  assert.deepEqual(log.expiredLeases, []);
});

test('controllers down for more than a lease: agent epochs change, tasks start again, the job ends once', async (t) => {
  const cluster = await startCluster(t);
  const { log } = cluster;
  await cluster.submit({ id: 'job-1', tasks: 6, cpus: 4 }, 4000);
  await waitUntil('all tasks run', () => log.runningTasks() === 6);
  await cluster.killControllers();
  await waitUntil('the leases of all workers have expired', () =>
    cluster.workers.every((worker) => worker.currentAgentEpoch > 1),
  );
  cluster.startControllers();
  await cluster.waitUntilDone(['job-1']);
  cluster.assertStatesFinal();
  assert.ok(Math.max(...log.startsByTask.values()) <= 2);
  assert.deepEqual(log.concurrentRuns, []);
});

test('controllers restarted in a cloud outage stop the tasks of a cancelled job, and all other tasks run on', async (t) => {
  const cluster = await startCluster(t, LONG_LEASE_SECONDS);
  const { log } = cluster;
  await cluster.submit({ id: 'job-1', tasks: 6, cpus: 4 }, 300_000);
  await cluster.submit({ id: 'job-2', tasks: 6, cpus: 4 }, 300_000);
  await waitUntil('all tasks run', () => log.runningTasks() === 12);
  cluster.services.isCloudDown = true;
  await cluster.killControllers();
  await cluster.waitForFailedHeartbeats(DOWNTIME_MS);
  cluster.startControllers();
  await cluster.waitUntilRecovered();
  assert.equal(await cluster.cancel('job-1'), 'withdrawn');
  await waitUntil('no task of job-1 runs', () => log.runningTasks('job-1') === 0, CANCELLATION_TIMEOUT_MS);
  await cluster.waitForSuccessfulHeartbeats(OBSERVATION_MS);
  assert.equal(log.runningTasks('job-2'), 6);
  assert.equal(Math.max(...log.startsByTask.values()), 1);
  assert.deepEqual(log.expiredLeases, []);
});
