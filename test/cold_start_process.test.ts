import assert from 'node:assert/strict';
import type { ChildProcess } from 'node:child_process';
import { test } from 'node:test';
import { addressOf, call, type NodeAddress, pause, settingsFile, startNode, until } from './sim/processes.js';
import { WireServices } from './sim/wire_services.js';
import { WireWorker, WorkRecord } from './sim/wire_worker.js';

/*
 * The built program, started as deploy/service.toml says, on loopback: three controllers are killed together in the middle of
 * their work and come back, while stand-in workers run on. What reaches the workers is written down on their side.
 */

const ZONE = 'north';
const LEASE_S = 10;
const REPORT_S = 0.5;
const WORKERS = 6;
const NODES = ['node-a', 'node-b', 'node-c'];

interface JobOptions {
  readonly id: string;
  readonly tasks: number;
  readonly cpus: number;
}

/** Three controllers, six workers, a state service and a cloud that rents nothing. */
class Site {
  readonly record = new WorkRecord();
  readonly workers: WireWorker[] = [];
  /** Every state that any node has told of a job, in order. */
  readonly told = new Map<string, string[]>();
  private readonly services = new WireServices(ZONE);
  private readonly runMs = new Map<string, number>();
  private nodes: NodeAddress[] = [];
  private files: string[] = [];
  private processes: ChildProcess[] = [];

  async start(): Promise<void> {
    const servicesPort = await this.services.start();
    this.nodes = await Promise.all(NODES.map(addressOf));
    this.files = this.nodes.map((own) =>
      settingsFile(
        own,
        this.nodes.filter((node) => node !== own),
        servicesPort,
        { leaseS: LEASE_S, reportS: REPORT_S },
      ),
    );
    this.startNodes();
    await until('a leader', () => this.services.leader() !== null);
    for (let i = 0; i < WORKERS; i++) await this.addWorker(`i-00000${i}`);
  }

  private async addWorker(id: string): Promise<void> {
    const options = { id, zone: ZONE, reportMs: REPORT_S * 1000, leaseMs: LEASE_S * 1000 };
    const runMs = (job: string): number => this.runMs.get(job) ?? 1000;
    const worker = new WireWorker({ ...options, runMs }, this.nodes, this.record);
    await worker.start();
    this.workers.push(worker);
    this.services.addMachine(id, worker.address, () => this.loseWorker(worker));
  }

  loseWorker(worker: WireWorker): void {
    worker.stop();
    this.services.removeMachine(worker.id);
    const index = this.workers.indexOf(worker);
    if (index >= 0) this.workers.splice(index, 1);
  }

  startNodes(): void {
    this.processes = this.files.map(startNode);
  }

  /** All at once, by their ids, without a word. */
  async killNodes(): Promise<void> {
    const ended = this.processes.map((child) => new Promise((resolve) => child.once('exit', resolve)));
    for (const child of this.processes) child.kill('SIGKILL');
    await Promise.all(ended);
  }

  /** A new leader whose token every worker shows. */
  async untilRecovered(): Promise<void> {
    await until('all workers know the leader', () => {
      const token = this.services.leaderToken();
      return token !== null && this.workers.every((worker) => worker.knowsToken(token));
    });
  }

  async submit({ id, tasks, cpus }: JobOptions, runMs: number): Promise<void> {
    this.runMs.set(id, runMs);
    const needs = { cpus, gpus: 0, mem_gb: 1, plumage: 'img', image_gb: 0, breeds: null, grove: null };
    const wishes = { same_place: false, apart: false, loaners: false, flight_s: runMs / 1000, cache_s: 0, stash_s: 0 };
    const job = {
      ref: id,
      flock: 'f',
      crew: 'crew',
      shape: 'batch',
      rank: 'normal',
      chicks: tasks,
      ...needs,
      ...wishes,
    };
    await until(`${id} is accepted`, async () => {
      const reply = await call(this.nodes[0]?.port ?? 0, 'POST', '/v2/runs', job, 5000);
      return reply?.status === 200 || reply?.status === 201;
    });
  }

  /** Asks every node for every job, and writes down what it says. */
  async askAll(ids: readonly string[]): Promise<void> {
    for (const { port } of this.nodes) {
      for (const id of ids) {
        const reply = await call(port, 'GET', `/v2/runs/${id}`, undefined, 2000);
        assert.notEqual(reply?.status, 404, `${id} answered 404`);
        if (reply?.status === 200) this.told.set(id, [...(this.told.get(id) ?? []), String(reply.body.mood)]);
      }
    }
  }

  async untilDone(ids: readonly string[]): Promise<void> {
    await until(
      `${ids.join(' ')} done on every node`,
      async () => {
        await this.askAll(ids);
        return ids.every((id) =>
          this.told
            .get(id)
            ?.slice(-NODES.length)
            .every((mood) => mood === 'done'),
        );
      },
      60_000,
    );
  }

  /** A job that was once called done is never called anything else. */
  checkAnswers(): void {
    for (const [id, moods] of this.told) {
      const first = moods.indexOf('done');
      assert.ok(first >= 0, `${id} was never called done`);
      assert.deepEqual([...new Set(moods.slice(first))], ['done'], id);
    }
  }

  timesCompleted(id: string): number[] {
    return [...this.record.completed].filter(([task]) => task.startsWith(`${id}/`)).map(([, times]) => times);
  }

  async end(): Promise<void> {
    for (const child of this.processes) child.kill('SIGKILL');
    for (const worker of this.workers) worker.stop();
    this.services.stop();
  }
}

async function withSite(play: (site: Site) => Promise<void>): Promise<void> {
  const site = new Site();
  try {
    await site.start();
    await play(site);
  } finally {
    await site.end();
  }
}

test('killed and back within a lease with nothing in disagreement: workers are told nothing', () =>
  withSite(async (site) => {
    const { record } = site;
    await site.submit({ id: 'job-1', tasks: 12, cpus: 4 }, 12_000);
    await until('all tasks run', () => record.liveTasks() === 12);
    record.resetOrders();
    await site.killNodes();
    await pause(2000);
    site.startNodes();
    await site.untilRecovered();
    await pause(1500);
    assert.deepEqual(record.orders, { run: 0, stop: 0, reap: 0 });
    await site.untilDone(['job-1']);
    site.checkAnswers();
    assert.deepEqual(site.timesCompleted('job-1'), Array(12).fill(1));
    assert.equal(Math.max(...record.begun.values()), 1);
    assert.deepEqual(record.ranTwice, []);
    assert.deepEqual(record.leasesLost, []);
  }));

test('tasks end and a machine vanishes while no controller is up: one final answer, nothing done twice', () =>
  withSite(async (site) => {
    const { record } = site;
    await site.submit({ id: 'job-2', tasks: 6, cpus: 4 }, 60_000);
    await until('job-2 runs', () => record.liveTasks() === 6);
    await site.submit({ id: 'job-1', tasks: 6, cpus: 4 }, 5000);
    await until('both jobs run', () => record.liveTasks() === 12);
    // All machines are full: it waits until the controllers are back.
    await site.submit({ id: 'job-3', tasks: 9, cpus: 2 }, 1000);
    await site.killNodes();
    record.resetOrders();
    const [vanishing] = site.workers;
    assert.ok(vanishing);
    const lost = vanishing.taskNames;
    site.loseWorker(vanishing);
    await until('the tasks of job-1 that were left have ended', () => {
      const left = 6 - lost.filter((task) => task.startsWith('job-1/')).length;
      return site.timesCompleted('job-1').length === left;
    });
    site.startNodes();
    await site.untilDone(['job-1', 'job-3']);
    site.checkAnswers();
    assert.deepEqual(site.timesCompleted('job-1'), Array(6).fill(1));
    assert.deepEqual(site.timesCompleted('job-3'), Array(9).fill(1));
    for (const [task, times] of record.begun) assert.ok(times <= (lost.includes(task) ? 2 : 1), `${task}: ${times}`);
    assert.equal(record.orders.stop, 0);
    assert.deepEqual(record.ranTwice, []);
    assert.deepEqual(record.leasesLost, []);
  }));

test('away for longer than a lease: sessions have moved on, all begins anew and ends once', () =>
  withSite(async (site) => {
    const { record } = site;
    await site.submit({ id: 'job-1', tasks: 6, cpus: 4 }, 4000);
    await until('all tasks run', () => record.liveTasks() === 6);
    await site.killNodes();
    await until('all leases have ended', () => site.workers.every((worker) => worker.session > 1));
    site.startNodes();
    await site.untilDone(['job-1']);
    site.checkAnswers();
    assert.ok(Math.max(...record.begun.values()) <= 2);
    assert.deepEqual(record.ranTwice, []);
  }));
