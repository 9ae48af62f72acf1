import assert from 'node:assert/strict';
import type { ChildProcess } from 'node:child_process';
import { type TestContext, test } from 'node:test';
import { FakeServices } from './support/fake_services.js';
import { FakeWorker, HEARTBEAT_RETRY_DELAY_MS, MIN_HEARTBEAT_PERIOD_FACTOR, WorkLog } from './support/fake_worker.js';
import { sendRequest } from './support/http.js';
import {
  allocateAddress,
  type ControllerAddress,
  startController,
  waitUntil,
  writeSettingsFile,
} from './support/processes.js';

/*
 * Guards against controllers that stop, repeat or lose tasks when all of them restart. Three controller processes on
 * loopback, started as deploy/service.toml says, are killed together while tasks run, and are started again. Stand-in
 * workers keep running and record which commands reach them.
 */

const ZONE = 'north';
const LEASE_SECONDS = 10;
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
const HEARTBEAT_SECONDS = 0.5;
const WORKERS = 6;
/** Downtime of all controllers, which is shorter than the workers' lease. */
const DOWNTIME_MS = 2000;
/** Time after the recovery in which workers must not receive any command. */
const OBSERVATION_MS = 1500;
const CONTROLLERS = ['node-a', 'node-b', 'node-c'];

interface JobOptions {
  readonly id: string;
  readonly tasks: number;
  readonly cpus: number;
}

/** Three controllers, six workers, a state store and a cloud that provisions nothing. */
class ProcessCluster {
  readonly log = new WorkLog();
  readonly workers: FakeWorker[] = [];
  /** Every state of a job that any controller returned, in order. */
  readonly statesByJob = new Map<string, string[]>();
  private readonly services = new FakeServices(ZONE);
  private readonly runMs = new Map<string, number>();
  private controllers: ControllerAddress[] = [];
  private settingsFiles: string[] = [];
  private processes: ChildProcess[] = [];

  constructor(private readonly leaseSeconds: number) {}

  async start(): Promise<void> {
    const servicesPort = await this.services.start();
    this.controllers = await Promise.all(CONTROLLERS.map(allocateAddress));
    this.settingsFiles = this.controllers.map((own) =>
      writeSettingsFile(
        own,
        this.controllers.filter((other) => other !== own),
        servicesPort,
        { leaseSeconds: this.leaseSeconds, heartbeatSeconds: HEARTBEAT_SECONDS },
      ),
    );
    this.startControllers();
    await waitUntil('a controller leads', () => this.services.leader() !== null);
    for (let i = 0; i < WORKERS; i++) await this.addWorker(`i-00000${i}`);
  }

  private async addWorker(id: string): Promise<void> {
    const options = { id, zone: ZONE, heartbeatMs: HEARTBEAT_SECONDS * 1000, leaseMs: this.leaseSeconds * 1000 };
    const runMs = (job: string): number => this.runMs.get(job) ?? 1000;
    const worker = new FakeWorker({ ...options, runMs }, this.controllers, this.log);
    await worker.start();
    this.workers.push(worker);
    this.services.addMachine(id, worker.address, () => this.removeWorker(worker));
  }

  removeWorker(worker: FakeWorker): void {
    worker.stop();
    this.services.removeMachine(worker.id);
    const index = this.workers.indexOf(worker);
    if (index >= 0) this.workers.splice(index, 1);
  }

  startControllers(): void {
    this.processes = this.settingsFiles.map(startController);
  }

  /** Kills all controllers at once with SIGKILL, so that they can't step down, and waits until they have exited. */
  async killControllers(): Promise<void> {
    const exits = this.processes.map((child) => new Promise((resolve) => child.once('exit', resolve)));
    for (const child of this.processes) child.kill('SIGKILL');
    await Promise.all(exits);
  }

  async waitUntilListening(): Promise<void> {
    await waitUntil('a controller listens', async () => {
      const replies = await Promise.all(
        this.controllers.map(({ port }) => sendRequest(port, 'GET', '/up', undefined, 500)),
      );
      return replies.some((reply) => reply !== null);
    });
  }

  /** Waits until every worker has received the fencing token of the current leader. */
  async waitUntilRecovered(): Promise<void> {
    await waitUntil('all workers have the fencing token of the leader', () => {
      const token = this.services.leaderFencingToken();
      return token !== null && this.workers.every((worker) => worker.hasFencingToken(token));
    });
  }

  /** Waits until every worker's heartbeats have failed for `ms` milliseconds, as derived from their number. */
  async waitForFailedHeartbeats(ms: number): Promise<void> {
    const failures = 1 + Math.ceil(ms / HEARTBEAT_RETRY_DELAY_MS);
    const targets = new Map(this.workers.map((worker) => [worker, worker.failedHeartbeats + failures]));
    await waitUntil('no worker reaches a controller', () =>
      [...targets].every(([worker, count]) => worker.failedHeartbeats >= count),
    );
  }

  /** Waits until every worker's heartbeats have succeeded for `ms` milliseconds, as derived from their number. */
  async waitForSuccessfulHeartbeats(ms: number): Promise<void> {
    const successes = 1 + Math.ceil(ms / (MIN_HEARTBEAT_PERIOD_FACTOR * HEARTBEAT_SECONDS * 1000));
    const targets = new Map(this.workers.map((worker) => [worker, worker.successfulHeartbeats + successes]));
    await waitUntil('controllers respond to the heartbeats of all workers', () =>
      [...targets].every(([worker, count]) => worker.successfulHeartbeats >= count),
    );
  }

  async submit({ id, tasks, cpus }: JobOptions, runMs: number): Promise<void> {
    this.runMs.set(id, runMs);
    const resources = { cpus, gpus: 0, mem_gb: 1, plumage: 'img', image_gb: 0, breeds: null, grove: null };
    const options = { same_place: false, apart: false, loaners: false, flight_s: runMs / 1000, cache_s: 0, stash_s: 0 };
    const job = {
      ref: id,
      flock: 'f',
      crew: 'crew',
      shape: 'batch',
      rank: 'normal',
      chicks: tasks,
      ...resources,
      ...options,
    };
    await waitUntil(`${id} is accepted`, async () => {
      const reply = await sendRequest(this.controllers[0]?.port ?? 0, 'POST', '/v2/runs', job, 5000);
      return reply?.status === 200 || reply?.status === 201;
    });
  }

  /** Queries every job on every controller, and records the returned states. */
  async pollAll(ids: readonly string[]): Promise<void> {
    for (const { port } of this.controllers) {
      for (const id of ids) {
        const reply = await sendRequest(port, 'GET', `/v2/runs/${id}`, undefined, 2000);
        assert.notEqual(reply?.status, 404, `a controller returned 404 for ${id}`);
        if (reply?.status === 200)
          this.statesByJob.set(id, [...(this.statesByJob.get(id) ?? []), String(reply.body.mood)]);
      }
    }
  }

  async waitUntilDone(ids: readonly string[]): Promise<void> {
    await waitUntil(
      `${ids.join(' ')} done on every controller`,
      async () => {
        await this.pollAll(ids);
        return ids.every((id) =>
          this.statesByJob
            .get(id)
            ?.slice(-CONTROLLERS.length)
            .every((state) => state === 'done'),
        );
      },
      60_000,
    );
  }

  /** Asserts that every job was returned as done, and in no other state afterwards. */
  assertStatesFinal(): void {
    for (const [id, states] of this.statesByJob) {
      const first = states.indexOf('done');
      assert.ok(first >= 0, `${id} was never returned as done`);
      assert.deepEqual([...new Set(states.slice(first))], ['done'], id);
    }
  }

  completionCounts(id: string): number[] {
    return [...this.log.completionsByTask].filter(([task]) => task.startsWith(`${id}/`)).map(([, times]) => times);
  }

  async stop(): Promise<void> {
    for (const child of this.processes) child.kill('SIGKILL');
    for (const worker of this.workers) worker.stop();
    this.services.stop();
  }
}

/** Starts a cluster that is stopped at the end of the test. */
async function startCluster(t: TestContext, leaseSeconds = LEASE_SECONDS): Promise<ProcessCluster> {
  const cluster = new ProcessCluster(leaseSeconds);
  t.after(() => cluster.stop());
  await cluster.start();
  return cluster;
}

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
