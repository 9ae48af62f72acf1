import assert from 'node:assert/strict';
import type { ChildProcess } from 'node:child_process';
import type { TestContext } from 'node:test';
import { FakeServices } from './fake_services.js';
import { FakeWorker, HEARTBEAT_RETRY_DELAY_MS, MIN_HEARTBEAT_PERIOD_FACTOR, WorkLog } from './fake_worker.js';
import { sendRequest } from './http.js';
import {
  allocateAddress,
  type ControllerAddress,
  type SettingsOverrides,
  startController,
  waitUntil,
  writeSettingsFile,
} from './processes.js';

/*
 * Three controller processes on loopback, started as deploy/service.toml says, with stand-ins for workers, state store
 * and cloud.
 */

const ZONE = 'north';
const LEASE_SECONDS = 10;
const HEARTBEAT_SECONDS = 0.5;
const WORKERS = 6;
const CONTROLLERS = ['node-a', 'node-b', 'node-c'];

interface JobOptions {
  readonly id: string;
  readonly tasks: number;
  readonly cpus: number;
  /** Whether the job is a service of the highest priority, whose tasks run until it is cancelled. */
  readonly service?: boolean;
}

/** Three controllers, six workers, a state store and a cloud that provisions nothing. */
export class ProcessCluster {
  readonly log = new WorkLog();
  readonly workers: FakeWorker[] = [];
  /** Every state of a job that any controller returned, in order. */
  readonly statesByJob = new Map<string, string[]>();
  readonly services = new FakeServices(ZONE);
  private readonly runMs = new Map<string, number>();
  private controllers: ControllerAddress[] = [];
  private settingsFiles: string[] = [];
  private processes: ChildProcess[] = [];

  private readonly heartbeatSeconds: number;

  constructor(private readonly overrides: SettingsOverrides) {
    this.heartbeatSeconds = overrides.heartbeatSeconds ?? HEARTBEAT_SECONDS;
  }

  async start(): Promise<void> {
    const servicesPort = await this.services.start();
    this.controllers = await Promise.all(CONTROLLERS.map(allocateAddress));
    this.settingsFiles = this.controllers.map((own) =>
      writeSettingsFile(
        own,
        this.controllers.filter((other) => other !== own),
        servicesPort,
        { ...this.overrides, heartbeatSeconds: this.heartbeatSeconds },
      ),
    );
    this.startControllers();
    await waitUntil('a controller leads', () => this.services.leader() !== null);
    for (let i = 0; i < WORKERS; i++) await this.addWorker(`i-00000${i}`);
  }

  private async addWorker(id: string): Promise<void> {
    const { leaseSeconds } = this.overrides;
    const options = { id, zone: ZONE, heartbeatMs: this.heartbeatSeconds * 1000, leaseMs: leaseSeconds * 1000 };
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
    const successes = 1 + Math.ceil(ms / (MIN_HEARTBEAT_PERIOD_FACTOR * this.heartbeatSeconds * 1000));
    const targets = new Map(this.workers.map((worker) => [worker, worker.successfulHeartbeats + successes]));
    await waitUntil('controllers respond to the heartbeats of all workers', () =>
      [...targets].every(([worker, count]) => worker.successfulHeartbeats >= count),
    );
  }

  async submit({ id, tasks, cpus, service = false }: JobOptions, runMs: number): Promise<void> {
    this.runMs.set(id, runMs);
    const resources = { cpus, gpus: 0, mem_gb: 1, plumage: 'img', image_gb: 0, breeds: null, grove: null };
    const options = { same_place: false, apart: false, loaners: false, flight_s: runMs / 1000, cache_s: 0, stash_s: 0 };
    const job = {
      ref: id,
      flock: 'f',
      crew: 'crew',
      shape: service ? 'daemon' : 'batch',
      rank: service ? 'critical' : 'normal',
      chicks: tasks,
      ...resources,
      ...options,
    };
    await waitUntil(`${id} is accepted`, async () => {
      const reply = await sendRequest(this.controllers[0]?.port ?? 0, 'POST', '/v2/runs', job, 5000);
      return reply?.status === 200 || reply?.status === 201;
    });
  }

  /** Cancels a job, and returns the state in the confirmation. */
  async cancel(id: string): Promise<unknown> {
    let state: unknown = null;
    await waitUntil(`the cancellation of ${id} is confirmed`, async () => {
      const reply = await sendRequest(this.controllers[0]?.port ?? 0, 'POST', `/v2/runs/${id}/withdraw`, {}, 5000);
      state = reply?.body.mood ?? null;
      return reply?.status === 200;
    });
    return state;
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
export async function startCluster(t: TestContext, leaseSeconds = LEASE_SECONDS): Promise<ProcessCluster> {
  return await startClusterWith(t, { leaseSeconds });
}

/** Starts a cluster with the given settings that is stopped at the end of the test. */
export async function startClusterWith(t: TestContext, overrides: SettingsOverrides): Promise<ProcessCluster> {
  const cluster = new ProcessCluster(overrides);
  t.after(() => cluster.stop());
  await cluster.start();
  return cluster;
}
