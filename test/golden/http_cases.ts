/** Golden tests of the HTTP interface for users, load balancers and workers. */
import assert from 'node:assert/strict';
import { type IncomingMessage, request, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import type { HeartbeatResponse, JobStatus, UserRequest, UserResponse } from '../../src/core/messages.js';
import type { Attempt, Command, ControllerName, FencingToken, Heartbeat } from '../../src/core/types.js';
import { createHttpServer } from '../../src/io/http/http_server.js';
import { encodeFrame } from '../../src/io/peers/peer_codec.js';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';
import { wireHeartbeat, wireJob } from '../support/sample_messages.js';
import { cborWithText, GoldenFile, type GoldenValue, hex } from './golden_file.js';
import { gangSpec } from './samples.js';

const MAX_UINT64 = (1n << 64n) - 1n;
const MAX_CONNECTIONS = 100;
const HEADERS = ['content-type', 'retry-after', 'allow'];

/**
 * Handlers of the HTTP server that give preset responses. Each call is recorded as the frame in which a controller
 * would forward it to another controller.
 */
class StubHandlers {
  userResponse: UserResponse = { status: 404, problem: 'no such job' };
  heartbeatResponse: HeartbeatResponse = { status: 503 };
  healthy = true;
  forwardedFrame: string | null = null;

  handleUserRequest(userRequest: UserRequest): Promise<UserResponse> {
    this.forwardedFrame = hex(encodeFrame({ kind: 'request', id: 0, request: userRequest }));
    return Promise.resolve(this.userResponse);
  }

  handleHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatResponse> {
    this.forwardedFrame = hex(encodeFrame({ kind: 'heartbeat', id: 0, heartbeat }));
    return Promise.resolve(this.heartbeatResponse);
  }
}

class HttpClient {
  constructor(
    private readonly port: number,
    private readonly handlers: StubHandlers,
  ) {}

  /** Sends a request. Returns the response and the frame that the handlers recorded (`given`). */
  async call(method: string, path: string, body: Uint8Array | null): Promise<GoldenValue> {
    this.handlers.forwardedFrame = null;
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
    const answer = bytes.length === 0 ? '' : cborWithText(bytes);
    return { status: response.statusCode ?? 0, headers, answer, given: this.handlers.forwardedFrame };
  }

  private send(method: string, path: string, body: Uint8Array | null): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const outgoing = request({ host: '127.0.0.1', port: this.port, method, path, agent: false }, resolve);
      outgoing.on('error', reject);
      outgoing.end(body ?? undefined);
    });
  }
}

async function withServer(run: (client: HttpClient, handlers: StubHandlers) => Promise<void>): Promise<void> {
  const handlers = new StubHandlers();
  const server: Server = createHttpServer(
    {
      handleUserRequest: (userRequest) => handlers.handleUserRequest(userRequest),
      handleHeartbeat: (heartbeat) => handlers.handleHeartbeat(heartbeat),
      isHealthy: () => handlers.healthy,
      onMalformedMessage: () => {},
    },
    MAX_CONNECTIONS,
  );
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  try {
    await run(new HttpClient((server.address() as AddressInfo).port, handlers), handlers);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

type Fields = Readonly<Record<string, unknown>>;

/** Returns variants in which one field is missing, null, of another type or out of bounds. */
function malformedVariants(fields: Fields): Fields[] {
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
      MAX_UINT64 + 1n,
      Number.NaN,
      Number.POSITIVE_INFINITY,
    ];
    return [without, ...wrong.map((value) => ({ ...fields, [key]: value }))];
  });
}

const MALFORMED_BODIES: readonly Uint8Array[] = [
  Buffer.from(''),
  Buffer.from('ff', 'hex'),
  Buffer.from('not cbor'),
  encodeCbor(null),
  encodeCbor([]),
  encodeCbor('text'),
  encodeCbor({}),
];
const OVERSIZED_BODY = encodeCbor({ long: 'x'.repeat(65 * 1024) });

const submissions: readonly Fields[] = [
  wireJob,
  { ...wireJob, colour: 'green' },
  { ...wireJob, breeds: null, due_s: null, grove: 'a' },
  { ...wireJob, chicks: 100_000, cpus: 0, gpus: 0, mem_gb: 7n },
  ...['batch', 'ensemble', 'daemon', 'array', 'gang', 'service', 'toString'].map((shape) => ({ ...wireJob, shape })),
  ...['low', 'normal', 'urgent', 'critical', 'high'].map((rank) => ({ ...wireJob, rank })),
  ...['job-1', 'job-', 'job-x', 'JOB-1', '../job-1', `job-${'7'.repeat(32)}`, `job-${'7'.repeat(33)}`].map((ref) => ({
    ...wireJob,
    ref,
  })),
  ...[0, 1, 100_001].map((chicks) => ({ ...wireJob, chicks })),
  { ...wireJob, same_place: false, apart: true, loaners: false },
];

const chick = { chick: 'job-000412/3', hop: 2, mood: 'running' };
const moods = ['pulling', 'gathering', 'running', 'flushing', 'fetching', 'waiting', 'saving', 'toString'];
const causes = ['done', 'stopped', 'mates_gone', 'alone', 'error', 'full', 'in_use', 'no_such', 'busy', 'no_room'];
const heartbeats: readonly Fields[] = [
  wireHeartbeat,
  {
    ...wireHeartbeat,
    mystery: [1, 2],
    loaners: false,
    warning_s: 7.5,
    roost: MAX_UINT64,
    chirp: MAX_UINT64,
    crest: MAX_UINT64,
  },
  ...moods.map((mood) => ({ ...wireHeartbeat, chicks: [{ ...chick, mood, kept: true, more: 1 }] })),
  ...causes.map((cause) => ({ ...wireHeartbeat, chicks: [{ ...chick, mood: 'exited', cause }] })),
  { ...wireHeartbeat, chicks: [{ ...chick, mood: 'exited' }] },
  { ...wireHeartbeat, chicks: [chick, chick] },
  { ...wireHeartbeat, chicks: [chick, { ...chick, hop: 3 }] },
  ...['job-1', 'job-1/', 'job-1/x', 'job-1/1234567', 'job-x/1', '/1', 'job-1/2/3'].map((name) => ({
    ...wireHeartbeat,
    chicks: [{ ...chick, chick: name }],
  })),
  ...malformedVariants(chick).map((wrong) => ({ ...wireHeartbeat, chicks: [wrong] })),
];

const { id: job } = gangSpec;
const statuses: JobStatus[] = ['queued', 'running', 'done', 'cancelled'];
const userResponses: readonly UserResponse[] = [
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
  { op: 'stop', job, index: 4, attempt: MAX_UINT64 as Attempt, gracePeriodSeconds: 2.5 },
  { op: 'acknowledge', job, index: 99_999, attempt: 7n as Attempt },
];
const heartbeatResponses: readonly HeartbeatResponse[] = [
  { status: 200, fencingToken: 41n as FencingToken, commands: [] },
  { status: 200, fencingToken: MAX_UINT64 as FencingToken, commands },
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

/** Tests for all requests from users and load balancers, and for the responses. */
export function userTests(): void {
  const golden = new GoldenFile('users');

  test('golden: submissions are accepted or rejected as before', () =>
    withServer(async (client) => {
      const all = [...submissions, ...malformedVariants(wireJob)].map((fields) => encodeCbor(fields));
      for (const [i, body] of [...all, ...MALFORMED_BODIES, OVERSIZED_BODY].entries()) {
        const shown = body.length > 10_000 ? `of ${body.length} bytes` : hex(body);
        golden.check(`submission ${i}`, { body: shown, ...((await client.call('POST', '/v2/runs', body)) as object) });
      }
    }));

  test('golden: responses to users are unchanged', () =>
    withServer(async (client, handlers) => {
      for (const [i, response] of userResponses.entries()) {
        handlers.userResponse = response;
        golden.check(`answer ${i}`, await client.call('POST', '/v2/runs', encodeCbor(wireJob)));
      }
    }));

  test('golden: paths and methods get the same responses as before', () =>
    withServer(async (client, handlers) => {
      for (const [method, path] of PATHS) golden.check(`${method} ${path}`, await client.call(method, path, null));
      handlers.healthy = false;
      golden.check('GET /up, not healthy', await client.call('GET', '/up', null));
    }));

  golden.checkComplete();
}

/** Tests for all heartbeats of workers, and for the responses. */
export function heartbeatTests(): void {
  const golden = new GoldenFile('worker_reports');

  test('golden: heartbeats are accepted or rejected as before', () =>
    withServer(async (client) => {
      const all = [...heartbeats, ...malformedVariants(wireHeartbeat)].map((fields) => encodeCbor(fields));
      for (const [i, body] of [...all, ...MALFORMED_BODIES].entries()) {
        golden.check(`report ${i}`, {
          body: hex(body),
          ...((await client.call('POST', '/agent/beat', body)) as object),
        });
      }
      assert.equal(decodeCbor(all[0] as Buffer) !== null, true);
    }));

  test('golden: heartbeat responses are unchanged', () =>
    withServer(async (client, handlers) => {
      for (const [i, response] of heartbeatResponses.entries()) {
        handlers.heartbeatResponse = response;
        golden.check(`answer ${i}`, await client.call('POST', '/agent/beat', encodeCbor(wireHeartbeat)));
      }
    }));

  golden.checkComplete();
}
