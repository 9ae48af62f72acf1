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
 * A real process is paused by a signal for longer than its lease, with its clocks running on, and continued. What was sent to
 * it meanwhile waits in its sockets.
 */

/** The workers' lease: that of the leader is 3 s. */
const LEASE_SECONDS = 10;

/** The response to a heartbeat; null: there was none. */
type HeartbeatReply = { readonly status: number; readonly fencingToken: bigint } | null;

/** A worker that shows one task as ended, so that its heartbeats are answered at once. */
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
    const at = { breed: 'c8', grove: 'north', loaners: false };
    const ended = { chick: 'job-7/0', hop: 1, mood: 'exited', cause: 'stopped' };
    const numbers = { roost: 1, chirp: this.sequence, crest: this.highestFencingToken };
    return { perch: this.id, addr: '127.0.0.1:1', ...at, ...numbers, chicks: [ended] };
  }
}

async function postHeartbeat(port: number, message: unknown, timeoutMs: number): Promise<HeartbeatReply> {
  const reply = await sendRequest(port, 'POST', '/agent/beat', message, timeoutMs);
  return (
    reply && { status: reply.status, fencingToken: BigInt((reply.body.crest as number | bigint | undefined) ?? 0) }
  );
}

/** The fencing token in a controller's responses to the worker. */
async function fencingTokenOf(worker: HeartbeatSender, port: number): Promise<bigint> {
  let token = 0n;
  await waitUntil('heartbeats are answered', async () => {
    const response = await worker.send(port);
    token = response?.fencingToken ?? 0n;
    return response?.status === 200;
  });
  return token;
}

test('a leader that a signal pauses for longer than its lease says nothing with its old token', async (t) => {
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
  // Its machine is on record by now: nothing else would hold an answer back.
  assert.equal(await fencingTokenOf(worker, first.port), oldToken);
  children.push(startController(writeSettingsFile(second, [first], servicesPort, { leaseSeconds: LEASE_SECONDS })));
  await waitUntil('node-b answers', async () => (await new HeartbeatSender('i-000002').send(second.port)) !== null);

  paused.kill('SIGSTOP');
  const queued = worker.send(first.port, WAIT_TIMEOUT_MS);
  await waitUntil('node-b leads', () => services.leader() === 'node-b');
  const newToken = await fencingTokenOf(new HeartbeatSender('i-000003'), second.port);
  assert.ok(newToken > oldToken);

  paused.kill('SIGCONT');
  const response = await queued;
  assert.ok(response?.status !== 200 || response.fencingToken === newToken, 'a response with the old fencing token');
  const later = new HeartbeatSender('i-000004');
  await waitUntil('node-a takes heartbeats to the new leader', async () => {
    const answer = await later.send(first.port);
    assert.ok(answer?.status !== 200 || answer.fencingToken === newToken);
    return answer !== null && (answer.status === 200 || answer.status === 421);
  });
  assert.equal(paused.exitCode, null);
  assert.equal(services.leader(), 'node-b');
});
