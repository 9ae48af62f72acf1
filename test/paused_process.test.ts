import assert from 'node:assert/strict';
import type { ChildProcess } from 'node:child_process';
import { test } from 'node:test';
import { addressOf, call, settingsFile, startNode, until, WAIT_MS } from './sim/processes.js';
import { WireServices } from './sim/wire_services.js';

/*
 * A real process is paused by a signal for longer than its lease, with its clocks running on, and continued. What was sent to
 * it meanwhile waits in its sockets.
 */

/** The workers' lease: that of the leader is 3 s. */
const LEASE_S = 10;

/** What a worker is told; null: no answer. */
type Told = { readonly status: number; readonly token: bigint } | null;

/** A worker that shows one task as ended, so that its reports are answered at once. */
class ReportingWorker {
  private seq = 0;
  private token = 0n;

  constructor(private readonly id: string) {}

  async report(port: number, timeoutMs = 2000): Promise<Told> {
    this.seq += 1;
    const told = await send(port, this.message(), timeoutMs);
    if (told?.status === 200 && told.token > this.token) this.token = told.token;
    return told;
  }

  private message(): unknown {
    const at = { breed: 'c8', grove: 'north', loaners: false };
    const ended = { chick: 'job-7/0', hop: 1, mood: 'exited', cause: 'stopped' };
    const numbers = { roost: 1, chirp: this.seq, crest: this.token };
    return { perch: this.id, addr: '127.0.0.1:1', ...at, ...numbers, chicks: [ended] };
  }
}

async function send(port: number, message: unknown, timeoutMs: number): Promise<Told> {
  const reply = await call(port, 'POST', '/agent/beat', message, timeoutMs);
  return reply && { status: reply.status, token: BigInt((reply.body.crest as number | bigint | undefined) ?? 0) };
}

/** The token with which a node answers the worker's reports. */
async function tokenFrom(worker: ReportingWorker, port: number): Promise<bigint> {
  let token = 0n;
  await until('reports are answered', async () => {
    const told = await worker.report(port);
    token = told?.token ?? 0n;
    return told?.status === 200;
  });
  return token;
}

test('a leader that a signal pauses for longer than its lease says nothing with its old token', async () => {
  const services = new WireServices('north');
  const servicesPort = await services.start();
  const [first, second] = [await addressOf('node-a'), await addressOf('node-b')];
  const children: ChildProcess[] = [];
  try {
    const paused = startNode(settingsFile(first, [second], servicesPort, { leaseS: LEASE_S }));
    children.push(paused);
    await until('node-a leads', () => services.leader() === 'node-a');
    const worker = new ReportingWorker('i-000001');
    const oldToken = await tokenFrom(worker, first.port);
    // Its machine is on record by now: nothing else would hold an answer back.
    assert.equal(await tokenFrom(worker, first.port), oldToken);
    children.push(startNode(settingsFile(second, [first], servicesPort, { leaseS: LEASE_S })));
    await until('node-b answers', async () => (await new ReportingWorker('i-000002').report(second.port)) !== null);

    paused.kill('SIGSTOP');
    const queued = worker.report(first.port, WAIT_MS);
    await until('node-b leads', () => services.leader() === 'node-b');
    const newToken = await tokenFrom(new ReportingWorker('i-000003'), second.port);
    assert.ok(newToken > oldToken);

    paused.kill('SIGCONT');
    const told = await queued;
    assert.ok(told?.status !== 200 || told.token === newToken, 'an answer with the old token');
    const later = new ReportingWorker('i-000004');
    await until('node-a takes reports to the new leader', async () => {
      const answer = await later.report(first.port);
      assert.ok(answer?.status !== 200 || answer.token === newToken);
      return answer !== null && (answer.status === 200 || answer.status === 421);
    });
    assert.equal(paused.exitCode, null);
    assert.equal(services.leader(), 'node-b');
  } finally {
    for (const child of children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    services.stop();
  }
});
