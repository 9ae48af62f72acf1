import assert from 'node:assert/strict';
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { type AddressInfo, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { decode, encode } from '../src/io/codecs/cbor.js';
import { WireServices } from './sim/wire_services.js';

/*
 * A real process is paused by a signal for longer than its lease, with its clocks running on, and continued. What was sent to
 * it meanwhile waits in its sockets.
 */

const root = fileURLToPath(new URL('../../../', import.meta.url));
const main = join(root, 'target/check/src/main.js');
const WAIT_MS = 30_000;
const LOOK_MS = 50;

interface NodeAddress {
  readonly name: string;
  readonly port: number;
  readonly peerPort: number;
}

/** What a worker is told; null: no answer. */
type Told = { readonly status: number; readonly token: bigint } | null;

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

async function addressOf(name: string): Promise<NodeAddress> {
  return { name, port: await freePort(), peerPort: await freePort() };
}

/** The settings of one of two nodes, with a workers' lease of 10 s: that of the leader is 3 s. */
function settingsFile(own: NodeAddress, other: NodeAddress, servicesPort: number): string {
  const text = readFileSync(join(root, 'test/settings.toml'), 'utf8')
    .replace(/host_name = .*/, `host_name = "${own.name}"`)
    .replace('127.0.0.1:18080', `127.0.0.1:${own.port}`)
    .replace('127.0.0.1:18081', `127.0.0.1:${own.peerPort}`)
    .replaceAll('"127.0.0.1:1"', `"127.0.0.1:${servicesPort}"`)
    .replace(/^initial_size = .*/m, 'initial_size = 2')
    .replace(/^lease_s = .*/m, 'lease_s = 10.0')
    .replace(
      '[endpoints]',
      `[[siblings]]\nhost_name = "${other.name}"\narea = "north"\naddress = "127.0.0.1:${other.peerPort}"\n\n[endpoints]`,
    );
  const file = join(mkdtempSync(join(tmpdir(), 'magpielift-')), 'settings.toml');
  writeFileSync(file, text);
  return file;
}

function start(file: string): ChildProcess {
  return spawn(process.execPath, [main, '--config', file], { cwd: root, stdio: 'ignore' });
}

async function until(what: string, holds: () => boolean | Promise<boolean>): Promise<void> {
  const end = performance.now() + WAIT_MS;
  while (!(await holds())) {
    if (performance.now() > end) throw new Error(`not within ${WAIT_MS} ms: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, LOOK_MS));
  }
}

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

function send(port: number, message: unknown, timeoutMs: number): Promise<Told> {
  const body = encode(message);
  return new Promise((resolve) => {
    const outgoing = request(
      { port, host: '127.0.0.1', method: 'POST', path: '/agent/beat', agent: false },
      (answer) => {
        const parts: Buffer[] = [];
        answer.on('data', (part: Buffer) => parts.push(part));
        answer.on('end', () => {
          const value = decode(Buffer.concat(parts)) as { crest?: number | bigint };
          resolve({ status: answer.statusCode ?? 0, token: BigInt(value.crest ?? 0) });
        });
      },
    );
    outgoing.on('error', () => resolve(null));
    outgoing.setTimeout(timeoutMs, () => outgoing.destroy());
    outgoing.end(body);
  });
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
    const paused = start(settingsFile(first, second, servicesPort));
    children.push(paused);
    await until('node-a leads', () => services.leader() === 'node-a');
    const worker = new ReportingWorker('i-000001');
    const oldToken = await tokenFrom(worker, first.port);
    // Its machine is on record by now: nothing else would hold an answer back.
    assert.equal(await tokenFrom(worker, first.port), oldToken);
    children.push(start(settingsFile(second, first, servicesPort)));
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
