import { createServer, type Server } from 'node:http';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import { Hono, type Context as HonoContext } from 'hono';
import type { UserAnswer, UserRequest, WorkerAnswer } from '../core/messages.js';
import type { JobId, WorkerReport } from '../core/types.js';
import { decode, encode } from './cbor.js';
import { type Fields, fields, WireError } from './fields.js';
import { decodeJob, decodeReport, encodeUserAnswer, encodeWorkerAnswer, jobId } from './wire.js';

export interface HttpHandlers {
  user(request: UserRequest): Promise<UserAnswer>;
  report(report: WorkerReport): Promise<WorkerAnswer>;
  healthy(): boolean;
  malformed(what: string): void;
}

const BODY_MAX = 64 * 1024;

const PATHS = [/^\/up$/, /^\/agent\/beat$/, /^\/v2\/runs(\/[^/]+(\/withdraw)?)?$/];

type Env = { Bindings: HttpBindings };
type C = HonoContext<Env>;

function reply(status: number, body: Fields, retryAfterS = 0): Response {
  const headers: Record<string, string> = { 'content-type': 'application/cbor' };
  if (retryAfterS > 0) headers['retry-after'] = String(retryAfterS);
  return new Response(encode(body) as Uint8Array<ArrayBuffer>, { status, headers });
}

const replyUser = (answer: UserAnswer): Response =>
  reply(answer.status, encodeUserAnswer(answer), 'retryAfterS' in answer ? answer.retryAfterS : 0);

/**
 * The body as Node gives it. Going through a web stream costs two thirds of what a whole report costs, and reports are most
 * of what comes in.
 */
function readBytes(incoming: HttpBindings['incoming']): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let size = 0;
    incoming.on('data', (part: Buffer) => {
      size += part.length;
      if (size <= BODY_MAX) parts.push(part);
    });
    incoming.on('end', () => {
      if (size > BODY_MAX) reject(new WireError('body over 64 KiB'));
      else resolve(parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts));
    });
    incoming.on('error', reject);
    incoming.on('close', () => {
      // It closes after every request: an error made each time, with its stack, is a sixth of what a report costs.
      if (!incoming.complete) reject(new WireError('body cut short'));
    });
  });
}

async function readMap(c: C): Promise<Fields> {
  const bytes = await readBytes(c.env.incoming);
  let value: unknown;
  try {
    value = decode(bytes);
  } catch {
    throw new WireError('not CBOR');
  }
  return fields(value, 'the body');
}

function submission(fields: Fields, refused: (what: string) => void): UserRequest | string {
  const id = jobId(fields.ref);
  if (!id) return 'ref is not a job id';
  try {
    return { op: 'submit', id, spec: decodeJob(fields), problem: '' };
  } catch (e) {
    if (!(e instanceof WireError)) throw e;
    // A known job is answered with its state whatever the repeat's body: the desk decides.
    refused(`submission ${id}: ${e.message}`);
    return { op: 'submit', id, spec: null, problem: e.message };
  }
}

/** Users, workers and load balancers, all on one address. */
export function makeHttpServer(handlers: HttpHandlers, maxConnections: number): Server {
  const app = new Hono<Env>();

  const onJob = async (c: C, make: (id: JobId) => UserRequest): Promise<Response> => {
    const id = jobId(c.req.param('id'));
    // An id that no job can have needs no look-up.
    if (!id) return reply(404, { error: 'no such job' });
    return replyUser(await handlers.user(make(id)));
  };

  app.get('/up', () => new Response('', { status: handlers.healthy() ? 200 : 503 }));
  app.post('/agent/beat', async (c) => {
    let report: WorkerReport;
    try {
      report = decodeReport(await readMap(c));
    } catch (e) {
      if (!(e instanceof WireError)) throw e;
      handlers.malformed(`report: ${e.message}`);
      return reply(400, { error: e.message });
    }
    const answer = await handlers.report(report);
    return reply(answer.status, encodeWorkerAnswer(answer));
  });
  app.post('/v2/runs', async (c) => {
    let request: UserRequest | string;
    try {
      request = submission(await readMap(c), handlers.malformed);
    } catch (e) {
      if (!(e instanceof WireError)) throw e;
      request = e.message;
    }
    if (typeof request === 'string') return reply(400, { error: request });
    return replyUser(await handlers.user(request));
  });
  app.get('/v2/runs/:id', (c) => onJob(c, (id) => ({ op: 'poll', id })));
  app.post('/v2/runs/:id/withdraw', (c) => onJob(c, (id) => ({ op: 'cancel', id })));
  // One handler a path and method: a second that matches would send every report through hono's chain of handlers.
  app.notFound((c) => {
    if (PATHS.some((p) => p.test(c.req.path))) return reply(405, { error: 'method not allowed' });
    return reply(404, { error: 'no such path' });
  });
  app.onError((e) => {
    handlers.malformed(`request: ${e.message}`);
    return reply(500, { error: 'internal error' });
  });

  // The adapter's own light Response (it stands for the global one) goes out in one write: Node's, a web stream, costs a
  // quarter of what a whole report does.
  const listener = getRequestListener(app.fetch);
  const server = createServer({ keepAliveTimeout: 120_000, noDelay: true }, (req, res) => {
    void listener(req, res);
  });
  // Slow and half-open connections are bounded in time and number; some sockets stay free for our own calls.
  server.headersTimeout = 10_000;
  server.requestTimeout = 15_000;
  server.maxConnections = Math.max(16, Math.floor(maxConnections * 0.85));
  return server;
}
