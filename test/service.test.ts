import assert from 'node:assert/strict';
import { spawn, spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { request, type Server } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import type { HeartbeatResponse, UserRequest, UserResponse } from '../src/core/messages.js';
import type { FencingToken, Heartbeat } from '../src/core/types.js';
import { createHttpServer } from '../src/io/http/http_server.js';
import { decodeCbor, encodeCbor } from '../src/io/wire/cbor.js';

const repositoryRoot = fileURLToPath(new URL('../../../', import.meta.url));
const mainModule = join(repositoryRoot, 'target/check/src/main.js');
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
      handleHeartbeat: async (report): Promise<HeartbeatResponse> => {
        heartbeats.push(report);
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

interface HttpResponse {
  status: number;
  headers: NodeJS.Dict<string | string[]>;
  body: Record<string, unknown>;
}

function sendRequest(method: string, path: string, body?: Buffer): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    const req = request({ port, host: '127.0.0.1', method, path }, (res) => {
      const parts: Buffer[] = [];
      res.on('data', (part: Buffer) => parts.push(part));
      res.on('end', () => {
        const bytes = Buffer.concat(parts);
        const value = bytes.length > 0 ? decodeCbor(bytes) : {};
        resolve({ status: res.statusCode ?? 0, headers: res.headers, body: value as Record<string, unknown> });
      });
    });
    req.on('error', reject);
    req.end(body);
  });
}

const wireJob = {
  ref: 'job-1',
  flock: 'f',
  crew: 'c',
  shape: 'batch',
  rank: 'low',
  chicks: 2,
  cpus: 1,
  gpus: 0,
  mem_gb: 1,
  plumage: 'i',
  image_gb: 1,
  same_place: false,
  apart: false,
  loaners: false,
  flight_s: 5,
  cache_s: 0,
  stash_s: 0,
};

test('users: good and bad submissions, unknown paths, wrong methods', async () => {
  const good = await sendRequest('POST', '/v2/runs', encodeCbor(wireJob));
  assert.equal(good.status, 201);
  assert.deepEqual(good.body, { ref: 'job-1', mood: 'queued', done: 0, running: 0 });
  for (const body of [
    Buffer.from('nonsense'),
    encodeCbor([1]),
    encodeCbor({}),
    encodeCbor({ ...wireJob, cpus: -1 }),
    Buffer.alloc(0),
  ]) {
    assert.equal((await sendRequest('POST', '/v2/runs', body)).status, 400);
  }
  assert.equal(
    (await sendRequest('POST', '/v2/runs', encodeCbor({ ...wireJob, pad: 'x'.repeat(70_000) }))).status,
    400,
  );
  assert.equal((await sendRequest('GET', '/nowhere')).status, 404);
  assert.equal((await sendRequest('GET', '/v2/runs/..%2f..')).status, 404);
  assert.equal((await sendRequest('GET', '/v2/runs')).status, 405);
  assert.equal((await sendRequest('DELETE', '/v2/runs/job-1')).status, 405);
  assert.equal((await sendRequest('GET', '/agent/beat')).status, 405);
  assert.equal((await sendRequest('GET', '/up')).status, 200);
});

test('users: a busy answer says when to come back; a malformed repeat still reaches the request handler by its id', async () => {
  const busy = await sendRequest('GET', '/v2/runs/job-1');
  assert.equal(busy.status, 503);
  assert.equal(busy.headers['retry-after'], '1');
  await sendRequest('POST', '/v2/runs', encodeCbor({ ref: 'job-77' }));
  assert.equal(userRequests.at(-1)?.id, 'job-77');
  await sendRequest('POST', '/v2/runs/job-78/withdraw');
  assert.deepEqual(userRequests.at(-1), { op: 'cancel', id: 'job-78' });
});

test('users: a service is taken with a run time of 0; one of an unknown shape, without a field or below zero is not', async () => {
  const service = { ...wireJob, ref: 'job-77', shape: 'daemon', flight_s: 0, chicks: 3 };
  assert.equal((await sendRequest('POST', '/v2/runs', encodeCbor(service))).status, 201);
  const taken = userRequests.at(-1);
  assert.ok(taken?.op === 'submit' && taken.spec?.kind === 'service' && taken.spec.estimatedRuntimeSeconds === 0);
  const { flight_s: _left, ...short } = service;
  for (const bad of [{ ...service, shape: 'demon' }, { ...service, chicks: 0 }, { ...service, flight_s: -1 }, short]) {
    assert.equal((await sendRequest('POST', '/v2/runs', encodeCbor(bad))).status, 400);
  }
});

test('workers: a report is answered with the token, a malformed one refused', async () => {
  const report = {
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
  const got = await sendRequest('POST', '/agent/beat', encodeCbor(report));
  assert.deepEqual([got.status, got.body], [200, { crest: 5n, calls: [] }]);
  assert.equal(heartbeats.at(-1)?.machine, 'i-1');
  assert.equal((await sendRequest('POST', '/agent/beat', encodeCbor({ ...report, roost: 'x' }))).status, 400);
  const task = { chick: 'job-1/0', hop: 3, mood: 'running' };
  const withTasks = (...chicks: unknown[]): Promise<HttpResponse> =>
    sendRequest('POST', '/agent/beat', encodeCbor({ ...report, chicks }));
  const taken = heartbeats.length;
  assert.equal((await withTasks({ ...task, mood: 'dreaming' })).status, 400);
  assert.equal((await withTasks({ ...task, hop: undefined })).status, 400);
  assert.equal((await withTasks(task, { ...task, mood: 'exited', cause: 'done' })).status, 400);
  assert.equal(heartbeats.length, taken);
  // A refused start is shown beside the attempt that is there.
  assert.equal((await withTasks(task, { ...task, hop: 4, mood: 'exited', cause: 'in_use' })).status, 200);
});

test('connections that say nothing don’t keep others out', async () => {
  const idle = Array.from({ length: 30 }, () => connect(port, '127.0.0.1'));
  idle[0]?.write('POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Le');
  idle[1]?.write('not http at all\r\n\r\n');
  assert.equal((await sendRequest('GET', '/up')).status, 200);
  for (const socket of idle) socket.destroy();
});

const openConnections = (): Promise<number> =>
  new Promise((resolve, reject) => server.getConnections((error, count) => (error ? reject(error) : resolve(count))));

test('connections persist, and end with their answer once most sockets are taken', async () => {
  const kept = await sendRequest('GET', '/up');
  assert.notEqual(kept.headers.connection, 'close');
  // The server has 200 sockets, 170 of them for others.
  const idle = Array.from({ length: 140 }, () => connect(port, '127.0.0.1'));
  await Promise.all(idle.map((socket) => new Promise((resolve) => socket.once('connect', resolve))));
  // The server takes connections in one after the other.
  while ((await openConnections()) < idle.length) await new Promise((resolve) => setImmediate(resolve));
  const crowded = await sendRequest('GET', '/up');
  assert.equal(crowded.headers.connection, 'close');
  for (const socket of idle) socket.destroy();
});

function runCli(...args: string[]): { status: number | null; out: string; err: string } {
  const run = spawnSync(process.execPath, [mainModule, ...args], {
    cwd: repositoryRoot,
    encoding: 'utf8',
    timeout: 20_000,
  });
  return { status: run.status, out: run.stdout, err: run.stderr };
}

function writeSettings(change: (text: string) => string = (text) => text): string {
  const file = join(mkdtempSync(join(tmpdir(), 'magpielift-')), 'settings.toml');
  writeFileSync(file, change(readFileSync(join(repositoryRoot, 'test/settings.toml'), 'utf8')));
  return file;
}

test('command line: help, version, and settings checked at start', () => {
  assert.match(runCli('--help').out, /--config/);
  assert.match(runCli('--version').out, /^\d+\.\d+\.\d+/);
  assert.equal(runCli('check', '--config', writeSettings()).status, 0);
  assert.equal(
    runCli(
      'check',
      '--config',
      writeSettings((text) => `future = 1\n${text}`),
    ).status,
    0,
  );
  const missing = runCli(
    '--config',
    writeSettings((text) => text.replace(/^lease_s.*$/m, '')),
  );
  assert.equal(missing.status, 2);
  assert.match(missing.err, /settings\.toml: deployment\.workers\.lease_s: /);
  assert.equal(missing.err.trim().split('\n').length, 1);
  assert.equal(
    runCli(
      '--config',
      writeSettings((text) => text.replace('rps = 200.0', 'rps = "many"')),
    ).status,
    2,
  );
  const limits = '[deployment.state.next]\nvalue_kb = 2.0\n\n[deployment.cloud]';
  const withNext = (limits: string): string => writeSettings((text) => text.replace('[deployment.cloud]', limits));
  assert.equal(runCli('check', '--config', withNext(limits)).status, 0);
  assert.equal(runCli('check', '--config', withNext(limits.replace('value_kb = 2.0', 'other = "x"'))).status, 0);
  const wrong = runCli('--config', withNext(limits.replace('2.0', '-2.0')));
  assert.equal(wrong.status, 2);
  assert.match(wrong.err, /settings\.toml: deployment\.state\.next\.value_kb: /);
  assert.equal(runCli('--config', '/nonexistent').status, 2);
  assert.equal(runCli().status, 2);
  assert.equal(runCli('--nonsense').status, 2);
});

test('command line: a wrong tuning value is refused by name', () => {
  const dir = mkdtempSync(join(tmpdir(), 'magpielift-'));
  const file = join(dir, 'tuning.toml');
  const text = readFileSync(join(repositoryRoot, 'deploy/tuning.toml'), 'utf8');
  writeFileSync(file, text.replace(/^mutation.*$/m, 'mutation = 3'));
  const run = runCli('check', '--config', writeSettings(), '--tuning', file);
  assert.equal(run.status, 2);
  assert.match(run.err, /scheduler\.mutation/);
});

test('command line: what is switched on is checked, with file and field; what is left out is off', () => {
  const file = join(mkdtempSync(join(tmpdir(), 'magpielift-')), 'features.toml');
  const check = (text: string): ReturnType<typeof runCli> => {
    writeFileSync(file, text);
    return runCli('check', '--config', writeSettings(), '--features', file);
  };
  assert.equal(check('').status, 0);
  assert.equal(check('[recovery]\nenabled = true\n').status, 0);
  const wrong: Readonly<Record<string, RegExp>> = {
    '[recovery]\nenabled = "yes"\n': /features\.toml: recovery\.enabled: /,
    '[recovery]\nenabled = true\nlists_per_window = 0\n': /features\.toml: recovery\.lists_per_window: /,
    '[recovery]\nenabled = true\nsurprise = 1\n': /features\.toml: recovery\.surprise: /,
    '[recovery]\nlists_per_window = 3\n': /features\.toml: recovery\.enabled: /,
    '[recoverry]\nenabled = true\n': /features\.toml: recoverry: /,
  };
  for (const [text, said] of Object.entries(wrong)) {
    const refused = check(text);
    assert.equal(refused.status, 2, text);
    assert.match(refused.err, said);
    assert.equal(refused.err.trim().split('\n').length, 1);
  }
  assert.equal(runCli('check', '--config', writeSettings(), '--features', '/nonexistent').status, 2);
});

test('command line: a tuning key under its old name is refused with the new one', () => {
  const file = join(mkdtempSync(join(tmpdir(), 'magpielift-')), 'tuning.toml');
  const text = readFileSync(join(repositoryRoot, 'deploy/tuning.toml'), 'utf8');
  const renamed = { gpu_penalty_s: 'gpu_reluctance_s', future_discount: 'future_doubt' };
  for (const [newKey, oldKey] of Object.entries(renamed)) {
    writeFileSync(file, text.replace(newKey, oldKey));
    const refused = runCli('check', '--config', writeSettings(), '--tuning', file);
    assert.equal(refused.status, 2);
    assert.match(refused.err, new RegExp(`tuning\\.toml: scheduler\\.${oldKey}: is now named ${newKey}`));
    assert.equal(refused.err.trim().split('\n').length, 1);
  }
});

test('a node alone starts, says it is healthy, and answers 503 while it can’t reach the state service', async () => {
  const child = spawn(process.execPath, [mainModule, '--config', writeSettings()], {
    cwd: repositoryRoot,
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  try {
    await new Promise<void>((resolve, reject) => {
      child.stderr.on('data', (part: Buffer) => part.toString().includes('started') && resolve());
      child.on('exit', () => reject(new Error('ended by itself')));
    });
    const own = port;
    port = 18_080;
    const up = await sendRequest('GET', '/up');
    const submitted = await sendRequest('POST', '/v2/runs', encodeCbor(wireJob));
    port = own;
    assert.equal(up.status, 200);
    assert.equal(submitted.status, 503);
    assert.equal(submitted.headers['retry-after'], '1');
  } finally {
    child.kill();
  }
});
