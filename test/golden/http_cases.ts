import assert from 'node:assert/strict';
import { type IncomingMessage, request, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import type { HeartbeatResponse, JobStatus, UserRequest, UserResponse } from '../../src/core/messages.js';
import type { Attempt, Command, ControllerName, FencingToken, Heartbeat } from '../../src/core/types.js';
import { createHttpServer } from '../../src/io/http/http_server.js';
import { encodeFrame } from '../../src/io/peers/peer_codec.js';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';
import { wireJob as submission, wireHeartbeat as workerReport } from '../support/sample_messages.js';
import { cborEntry, type Golden, GoldenFile, hex } from './golden_file.js';
import { gangSpec } from './samples.js';

const MAX = (1n << 64n) - 1n;
const MAX_CONNECTIONS = 100;
const HEADERS = ['content-type', 'retry-after', 'allow'];

/** What the server is asked here: answered as set, and noted in the form in which it is passed on between nodes. */
class Asked {
  userAnswer: UserResponse = { status: 404, problem: 'no such job' };
  workerAnswer: HeartbeatResponse = { status: 503 };
  healthy = true;
  passedOn: string | null = null;

  user(asked: UserRequest): Promise<UserResponse> {
    this.passedOn = hex(encodeFrame({ kind: 'request', id: 0, request: asked }));
    return Promise.resolve(this.userAnswer);
  }

  report(heartbeat: Heartbeat): Promise<HeartbeatResponse> {
    this.passedOn = hex(encodeFrame({ kind: 'heartbeat', id: 0, heartbeat }));
    return Promise.resolve(this.workerAnswer);
  }
}

class Caller {
  constructor(
    private readonly port: number,
    private readonly asked: Asked,
  ) {}

  /** A request, its answer, and what of it the node was given. */
  async call(method: string, path: string, body: Uint8Array | null): Promise<Golden> {
    this.asked.passedOn = null;
    const response = await this.send(method, path, body);
    const parts: Buffer[] = [];
    for await (const part of response) parts.push(part as Buffer);
    const bytes = Buffer.concat(parts);
    const headers = Object.fromEntries(
      HEADERS.filter((name) => response.headers[name] !== undefined).map((name) => [
        name,
        String(response.headers[name]),
      ]),
    );
    const answer = bytes.length === 0 ? '' : cborEntry(bytes);
    return { status: response.statusCode ?? 0, headers, answer, given: this.asked.passedOn };
  }

  private send(method: string, path: string, body: Uint8Array | null): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const outgoing = request({ host: '127.0.0.1', port: this.port, method, path, agent: false }, resolve);
      outgoing.on('error', reject);
      outgoing.end(body ?? undefined);
    });
  }
}

async function withServer(run: (caller: Caller, asked: Asked) => Promise<void>): Promise<void> {
  const asked = new Asked();
  const server: Server = createHttpServer(
    {
      handleUserRequest: (what) => asked.user(what),
      handleHeartbeat: (what) => asked.report(what),
      isHealthy: () => asked.healthy,
      onMalformedMessage: () => {},
    },
    MAX_CONNECTIONS,
  );
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  try {
    await run(new Caller((server.address() as AddressInfo).port, asked), asked);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

type Fields = Readonly<Record<string, unknown>>;

/** Each field missing, null, of another type, and out of bounds. */
function spoiled(fields: Fields): Fields[] {
  return Object.keys(fields).flatMap((key) => {
    const { [key]: _, ...without } = fields;
    const wrong = [
      null,
      -1,
      1.5,
      '',
      'x'.repeat(201),
      [],
      {},
      [1],
      true,
      MAX + 1n,
      Number.NaN,
      Number.POSITIVE_INFINITY,
    ];
    return [without, ...wrong.map((value) => ({ ...fields, [key]: value }))];
  });
}

const NOT_MAPS: readonly Uint8Array[] = [
  Buffer.from(''),
  Buffer.from('ff', 'hex'),
  Buffer.from('not cbor'),
  encodeCbor(null),
  encodeCbor([]),
  encodeCbor('text'),
  encodeCbor({}),
];
const TOO_LONG = encodeCbor({ long: 'x'.repeat(65 * 1024) });

const submissions: readonly Fields[] = [
  submission,
  { ...submission, colour: 'green' },
  { ...submission, breeds: null, due_s: null, grove: 'a' },
  { ...submission, chicks: 100_000, cpus: 0, gpus: 0, mem_gb: 7n },
  ...['batch', 'ensemble', 'daemon', 'array', 'gang', 'service', 'toString'].map((shape) => ({ ...submission, shape })),
  ...['low', 'normal', 'urgent', 'critical', 'high'].map((rank) => ({ ...submission, rank })),
  ...['job-1', 'job-', 'job-x', 'JOB-1', '../job-1', `job-${'7'.repeat(32)}`, `job-${'7'.repeat(33)}`].map((ref) => ({
    ...submission,
    ref,
  })),
  ...[0, 1, 100_001].map((chicks) => ({ ...submission, chicks })),
  { ...submission, same_place: false, apart: true, loaners: false },
];

const chick = { chick: 'job-000412/3', hop: 2, mood: 'running' };
const moods = ['pulling', 'gathering', 'running', 'flushing', 'fetching', 'waiting', 'saving', 'toString'];
const causes = ['done', 'stopped', 'mates_gone', 'alone', 'error', 'full', 'in_use', 'no_such', 'busy', 'no_room'];
const reports: readonly Fields[] = [
  workerReport,
  { ...workerReport, mystery: [1, 2], loaners: false, warning_s: 7.5, roost: MAX, chirp: MAX, crest: MAX },
  ...moods.map((mood) => ({ ...workerReport, chicks: [{ ...chick, mood, kept: true, more: 1 }] })),
  ...causes.map((cause) => ({ ...workerReport, chicks: [{ ...chick, mood: 'exited', cause }] })),
  { ...workerReport, chicks: [{ ...chick, mood: 'exited' }] },
  { ...workerReport, chicks: [chick, chick] },
  { ...workerReport, chicks: [chick, { ...chick, hop: 3 }] },
  ...['job-1', 'job-1/', 'job-1/x', 'job-1/1234567', 'job-x/1', '/1', 'job-1/2/3'].map((name) => ({
    ...workerReport,
    chicks: [{ ...chick, chick: name }],
  })),
  ...spoiled(chick).map((wrong) => ({ ...workerReport, chicks: [wrong] })),
];

const { id: job } = gangSpec;
const statuses: JobStatus[] = ['queued', 'running', 'done', 'cancelled'];
const userAnswers: readonly UserResponse[] = [
  ...statuses.map((jobStatus): UserResponse => ({ status: 200, id: job, jobStatus, done: 3, running: 2 })),
  { status: 201, id: job, jobStatus: 'queued', done: 0, running: 0 },
  { status: 400, problem: 'plumage is not a text' },
  { status: 404, problem: 'no such job' },
  { status: 422, problem: 'unknown team' },
  { status: 503, problem: 'later' },
  { status: 503, problem: 'later', retryAfterSeconds: 7 },
];
const commands: readonly Command[] = [
  { op: 'start', job, index: 3, attempt: 5n as Attempt },
  { op: 'stop', job, index: 4, attempt: MAX as Attempt, gracePeriodSeconds: 2.5 },
  { op: 'acknowledge', job, index: 99_999, attempt: 7n as Attempt },
];
const workerAnswers: readonly HeartbeatResponse[] = [
  { status: 200, fencingToken: 41n as FencingToken, commands: [] },
  { status: 200, fencingToken: MAX as FencingToken, commands },
  { status: 421, redirectTo: 'perch-2' as ControllerName },
  { status: 421, redirectTo: null },
  { status: 503 },
];

const PATHS: readonly (readonly [string, string])[] = [
  ['GET', '/up'],
  ['POST', '/up'],
  ['GET', '/agent/beat'],
  ['GET', '/v2/runs'],
  ['PUT', '/v2/runs/job-17'],
  ['DELETE', '/v2/runs/job-17'],
  ['POST', '/v2/runs/job-17'],
  ['GET', '/v2/runs/job-17/withdraw'],
  ['GET', '/v2/runs/'],
  ['GET', '/v2/runs/job-x'],
  ['GET', '/v2/runs/job-17'],
  ['GET', '/v2/runs/job-17?x=1'],
  ['POST', '/v2/runs/job-x/withdraw'],
  ['POST', '/v2/runs/job-17/withdraw'],
  ['POST', '/v2/runs/job-17/other'],
  ['GET', '/'],
  ['GET', '/v1/runs'],
  ['GET', '/UP'],
];

/** Every request and answer of users and load balancers. */
export function userTests(): void {
  const golden = new GoldenFile('users');

  test('golden: submissions are read or refused as they were', () =>
    withServer(async (caller) => {
      const all = [...submissions, ...spoiled(submission)].map((fields) => encodeCbor(fields));
      for (const [i, body] of [...all, ...NOT_MAPS, TOO_LONG].entries()) {
        const shown = body.length > 10_000 ? `of ${body.length} bytes` : hex(body);
        golden.check(`submission ${i}`, { body: shown, ...((await caller.call('POST', '/v2/runs', body)) as object) });
      }
    }));

  test('golden: answers to users are what they were', () =>
    withServer(async (caller, asked) => {
      for (const [i, answer] of userAnswers.entries()) {
        asked.userAnswer = answer;
        golden.check(`answer ${i}`, await caller.call('POST', '/v2/runs', encodeCbor(submission)));
      }
    }));

  test('golden: paths and methods are answered as they were', () =>
    withServer(async (caller, asked) => {
      for (const [method, path] of PATHS) golden.check(`${method} ${path}`, await caller.call(method, path, null));
      asked.healthy = false;
      golden.check('GET /up, not healthy', await caller.call('GET', '/up', null));
    }));

  golden.checkComplete();
}

/** Every report of workers, and every answer to one. */
export function reportTests(): void {
  const golden = new GoldenFile('worker_reports');

  test('golden: reports are read or refused as they were', () =>
    withServer(async (caller) => {
      const all = [...reports, ...spoiled(workerReport)].map((fields) => encodeCbor(fields));
      for (const [i, body] of [...all, ...NOT_MAPS].entries()) {
        golden.check(`report ${i}`, {
          body: hex(body),
          ...((await caller.call('POST', '/agent/beat', body)) as object),
        });
      }
      assert.equal(decodeCbor(all[0] as Buffer) !== null, true);
    }));

  test('golden: answers to reports are what they were', () =>
    withServer(async (caller, asked) => {
      for (const [i, answer] of workerAnswers.entries()) {
        asked.workerAnswer = answer;
        golden.check(`answer ${i}`, await caller.call('POST', '/agent/beat', encodeCbor(workerReport)));
      }
    }));

  golden.checkComplete();
}
