import assert from 'node:assert/strict';
import type { Server } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { after, before, describe, test } from 'node:test';
import type { HeartbeatResponse, UserRequest, UserResponse } from '../../src/core/messages.js';
import type { FencingToken, Heartbeat } from '../../src/core/types.js';
import { createHttpServer } from '../../src/io/http/http_server.js';
import { encodeCbor } from '../../src/io/wire/cbor.js';
import { exchange, type HttpMethod, type HttpResponse } from '../support/http.js';
import { smallWireJob } from '../support/sample_messages.js';

describe('HTTP server', () => {
  const userRequests: UserRequest[] = [];
  const heartbeats: Heartbeat[] = [];
  let server: Server;
  let port = 0;

  before(async () => {
    server = createHttpServer(
      {
        handleUserRequest: async (request): Promise<UserResponse> => {
          userRequests.push(request);
          if (request.op === 'submit' && request.spec === null) return { status: 400, problem: request.problem };
          if (request.op === 'query') return { status: 503, problem: 'busy', retryAfterSeconds: 1 };
          return { status: 201, id: request.id, jobStatus: 'queued', done: 0, running: 0 };
        },
        handleHeartbeat: async (heartbeat): Promise<HeartbeatResponse> => {
          heartbeats.push(heartbeat);
          return { status: 200, fencingToken: 5n as FencingToken, commands: [] };
        },
        isHealthy: () => true,
        onMalformedMessage: () => {},
      },
      200,
    );
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    port = (server.address() as AddressInfo).port;
  });

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  const send = (method: HttpMethod, path: string, body?: Buffer): Promise<HttpResponse> =>
    exchange(port, method, path, body === undefined ? {} : { body });

  test('responds with the right status to submissions, unknown paths and wrong methods', async () => {
    const good = await send('POST', '/v2/runs', encodeCbor(smallWireJob));
    assert.equal(good.status, 201);
    assert.deepEqual(good.body, { ref: 'job-1', mood: 'queued', done: 0, running: 0 });
    for (const body of [
      Buffer.from('nonsense'),
      encodeCbor([1]),
      encodeCbor({}),
      encodeCbor({ ...smallWireJob, cpus: -1 }),
      Buffer.alloc(0),
    ]) {
      assert.equal((await send('POST', '/v2/runs', body)).status, 400);
    }
    assert.equal(
      (await send('POST', '/v2/runs', encodeCbor({ ...smallWireJob, pad: 'x'.repeat(70_000) }))).status,
      400,
    );
    assert.equal((await send('GET', '/nowhere')).status, 404);
    assert.equal((await send('GET', '/v2/runs/..%2f..')).status, 404);
    assert.equal((await send('GET', '/v2/runs')).status, 405);
    assert.equal((await send('DELETE', '/v2/runs/job-1')).status, 405);
    assert.equal((await send('GET', '/agent/beat')).status, 405);
    assert.equal((await send('GET', '/up')).status, 200);
  });

  test('sends Retry-After with a 503 response, and passes on malformed submissions that have a job id', async () => {
    const busy = await send('GET', '/v2/runs/job-1');
    assert.equal(busy.status, 503);
    assert.equal(busy.headers['retry-after'], '1');
    await send('POST', '/v2/runs', encodeCbor({ ref: 'job-77' }));
    assert.equal(userRequests.at(-1)?.id, 'job-77');
    await send('POST', '/v2/runs/job-78/withdraw');
    assert.deepEqual(userRequests.at(-1), { op: 'cancel', id: 'job-78' });
  });

  test('accepts a service with a runtime of 0, and rejects unknown, missing and out-of-range fields', async () => {
    const service = { ...smallWireJob, ref: 'job-77', shape: 'daemon', flight_s: 0, chicks: 3 };
    assert.equal((await send('POST', '/v2/runs', encodeCbor(service))).status, 201);
    const submission = userRequests.at(-1);
    assert.ok(
      submission?.op === 'submit' &&
        submission.spec?.kind === 'service' &&
        submission.spec.estimatedRuntimeSeconds === 0,
    );
    const { flight_s: _runtime, ...withoutRuntime } = service;
    for (const bad of [
      { ...service, shape: 'demon' },
      { ...service, chicks: 0 },
      { ...service, flight_s: -1 },
      withoutRuntime,
    ]) {
      assert.equal((await send('POST', '/v2/runs', encodeCbor(bad))).status, 400);
    }
  });

  test('responds to a heartbeat with the fencing token, and rejects malformed heartbeats', async () => {
    const heartbeat = {
      perch: 'i-1',
      addr: 'x:1',
      breed: 't',
      grove: 'a',
      loaners: false,
      roost: 1,
      chirp: 1,
      crest: 0,
      chicks: [],
    };
    const response = await send('POST', '/agent/beat', encodeCbor(heartbeat));
    assert.deepEqual([response.status, response.body], [200, { crest: 5n, calls: [] }]);
    assert.equal(heartbeats.at(-1)?.machine, 'i-1');
    assert.equal((await send('POST', '/agent/beat', encodeCbor({ ...heartbeat, roost: 'x' }))).status, 400);
    const task = { chick: 'job-1/0', hop: 3, mood: 'running' };
    const withTasks = (...chicks: unknown[]): Promise<HttpResponse> =>
      send('POST', '/agent/beat', encodeCbor({ ...heartbeat, chicks }));
    const acceptedCount = heartbeats.length;
    assert.equal((await withTasks({ ...task, mood: 'dreaming' })).status, 400);
    assert.equal((await withTasks({ ...task, hop: undefined })).status, 400);
    assert.equal((await withTasks(task, { ...task, mood: 'exited', cause: 'done' })).status, 400);
    assert.equal(heartbeats.length, acceptedCount);
    // A heartbeat may list a rejected start together with the attempt of the same task that is running.
    assert.equal((await withTasks(task, { ...task, hop: 4, mood: 'exited', cause: 'in_use' })).status, 200);
  });

  test('serves requests while other connections are idle or have sent incomplete requests', async () => {
    const idle = Array.from({ length: 30 }, () => connect(port, '127.0.0.1'));
    idle[0]?.write('POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Le');
    idle[1]?.write('not http at all\r\n\r\n');
    assert.equal((await send('GET', '/up')).status, 200);
    for (const socket of idle) socket.destroy();
  });

  const openConnections = (): Promise<number> =>
    new Promise((resolve, reject) => server.getConnections((error, count) => (error ? reject(error) : resolve(count))));

  test('keeps connections open, but closes them after the response when most sockets are in use', async () => {
    const keptOpen = await send('GET', '/up');
    assert.notEqual(keptOpen.headers.connection, 'close');
    // The limit is 200 connections, of which 170 are for inbound connections.
    const idle = Array.from({ length: 140 }, () => connect(port, '127.0.0.1'));
    await Promise.all(idle.map((socket) => new Promise((resolve) => socket.once('connect', resolve))));
    // The server accepts connections one after the other.
    while ((await openConnections()) < idle.length) await new Promise((resolve) => setImmediate(resolve));
    const closedAfterResponse = await send('GET', '/up');
    assert.equal(closedAfterResponse.headers.connection, 'close');
    for (const socket of idle) socket.destroy();
  });
});
