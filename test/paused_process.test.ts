import assert from 'node:assert/strict';
import type { ChildProcess } from 'node:child_process';
import { test } from 'node:test';
import { FakeServices } from './support/fake_services.js';
import { sendRequest } from './support/http.js';
import {
  allocateAddress,
  startController,
  WAIT_TIMEOUT_MS,
  waitUntil,
  writeSettingsFile,
} from './support/processes.js';

/*
 * Guards against a leader that still responds with its old fencing token after a pause. A signal stops its process for
 * longer than its lease while its clocks run on, and another one continues it. Heartbeats sent meanwhile wait in its
 * sockets.
 */

/** Lease of the workers. The leader's lease is 3 s. */
const LEASE_SECONDS = 10;

/** The response to a heartbeat, or null if there was none. */
type HeartbeatReply = { readonly status: number; readonly fencingToken: bigint } | null;

/** Sends a worker's heartbeats. Their status lists an exited task, so that a controller responds at once. */
class HeartbeatSender {
  private sequence = 0;
  private highestFencingToken = 0n;

  constructor(private readonly id: string) {}

  async send(port: number, timeoutMs = 2000): Promise<HeartbeatReply> {
    this.sequence += 1;
    const response = await postHeartbeat(port, this.heartbeat(), timeoutMs);
    if (response?.status === 200 && response.fencingToken > this.highestFencingToken)
      this.highestFencingToken = response.fencingToken;
    return response;
  }

  private heartbeat(): unknown {
    const place = { breed: 'c8', grove: 'north', loaners: false };
    const exitedTask = { chick: 'job-7/0', hop: 1, mood: 'exited', cause: 'stopped' };
    const numbers = { roost: 1, chirp: this.sequence, crest: this.highestFencingToken };
    return { perch: this.id, addr: '127.0.0.1:1', ...place, ...numbers, chicks: [exitedTask] };
  }
}

async function postHeartbeat(port: number, message: unknown, timeoutMs: number): Promise<HeartbeatReply> {
  const reply = await sendRequest(port, 'POST', '/agent/beat', message, timeoutMs);
  return (
    reply && { status: reply.status, fencingToken: BigInt((reply.body.crest as number | bigint | undefined) ?? 0) }
  );
}

/** Sends heartbeats until the controller responds with status 200, and returns the fencing token of that response. */
async function fencingTokenOf(worker: HeartbeatSender, port: number): Promise<bigint> {
  let token = 0n;
  await waitUntil('a controller responds to heartbeats with status 200', async () => {
    const response = await worker.send(port);
    token = response?.fencingToken ?? 0n;
    return response?.status === 200;
  });
  return token;
}

test('a leader paused for longer than its lease sends no response with its old fencing token', async (t) => {
  const services = new FakeServices('north');
  const servicesPort = await services.start();
  const [first, second] = [await allocateAddress('node-a'), await allocateAddress('node-b')];
  const children: ChildProcess[] = [];
  t.after(() => {
    for (const child of children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    services.stop();
  });
  const paused = startController(writeSettingsFile(first, [second], servicesPort, { leaseSeconds: LEASE_SECONDS }));
  children.push(paused);
  await waitUntil('node-a leads', () => services.leader() === 'node-a');
  const worker = new HeartbeatSender('i-000001');
  const oldToken = await fencingTokenOf(worker, first.port);
  // The record of the worker's machine is stored by now, so nothing else would defer a response.
  assert.equal(await fencingTokenOf(worker, first.port), oldToken);
  children.push(startController(writeSettingsFile(second, [first], servicesPort, { leaseSeconds: LEASE_SECONDS })));
  await waitUntil(
    'node-b responds to heartbeats',
    async () => (await new HeartbeatSender('i-000002').send(second.port)) !== null,
  );

  paused.kill('SIGSTOP');
  const queued = worker.send(first.port, WAIT_TIMEOUT_MS);
  await waitUntil('node-b leads', () => services.leader() === 'node-b');
  const newToken = await fencingTokenOf(new HeartbeatSender('i-000003'), second.port);
  assert.ok(newToken > oldToken);

  paused.kill('SIGCONT');
  const response = await queued;
  assert.ok(response?.status !== 200 || response.fencingToken === newToken, 'a response with the old fencing token');
  const later = new HeartbeatSender('i-000004');
  await waitUntil('node-a forwards or redirects heartbeats to the new leader', async () => {
    const reply = await later.send(first.port);
    assert.ok(reply?.status !== 200 || reply.fencingToken === newToken);
    return reply !== null && (reply.status === 200 || reply.status === 421);
  });
  assert.equal(paused.exitCode, null);
  assert.equal(services.leader(), 'node-b');
});
