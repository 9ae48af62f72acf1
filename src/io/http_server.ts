import { createServer, type Server } from 'node:http';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import { Hono, type Context as HonoContext } from 'hono';
import type { HeartbeatResponse, UserRequest, UserResponse } from '../core/messages.js';
import type { Heartbeat, JobId } from '../core/types.js';
import { encode } from './codecs/cbor.js';
import { type Fields, WireError } from './codecs/fields.js';
import { parseJobId } from './codecs/job_id.js';
import { decodeJob, encodeUserAnswer } from './codecs/user_codec.js';
import { decodeReport, encodeWorkerAnswer } from './codecs/worker_codec.js';
import { readMap } from './http_body.js';

/** What takes the requests, once they are read. */
export interface HttpHandlers {
  user(request: UserRequest): Promise<UserResponse>;
  report(report: Heartbeat): Promise<HeartbeatResponse>;
  /** What load balancers are told. */
  healthy(): boolean;
  /** Counts a message that was dropped or refused for its form. */
  malformed(what: string): void;
}

const PATHS = [/^\/up$/, /^\/agent\/beat$/, /^\/v2\/runs(\/[^/]+(\/withdraw)?)?$/];
const KEEP_ALIVE_MS = 120_000;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 15_000;
/** Some sockets stay free for calls of our own. */
const INBOUND_SOCKET_SHARE = 0.85;
const MIN_INBOUND_SOCKETS = 16;
/** Beyond this part of them connections end with their answer. */
const KEEP_ALIVE_SOCKET_SHARE = 0.8;

// biome-ignore lint/style/useNamingConvention: hono's own name.
type Environment = { Bindings: HttpBindings };
type RequestContext = HonoContext<Environment>;

function reply(status: number, body: Fields, retryAfterS = 0): Response {
  const headers: Record<string, string> = { 'content-type': 'application/cbor' };
  if (retryAfterS > 0) headers['retry-after'] = String(retryAfterS);
  return new Response(encode(body) as Uint8Array<ArrayBuffer>, { status, headers });
}

const replyUser = (answer: UserResponse): Response =>
  reply(answer.status, encodeUserAnswer(answer), 'retryAfterSeconds' in answer ? answer.retryAfterSeconds : 0);

/** The message of a `WireError`; anything else is thrown on. */
function wireProblem(error: unknown): string {
  if (!(error instanceof WireError)) throw error;
  return error.message;
}

/** The submission that a body holds, or why it can't even be looked up. */
function readSubmission(fields: Fields, malformed: (what: string) => void): UserRequest | string {
  const id = parseJobId(fields.ref);
  if (!id) return 'ref is not a job id';
  try {
    return { op: 'submit', id, spec: decodeJob(fields), problem: '' };
  } catch (error) {
    const problem = wireProblem(error);
    // A known job is answered with its state whatever the body of the repeat: the request handler decides.
    malformed(`submission ${id}: ${problem}`);
    return { op: 'submit', id, spec: null, problem };
  }
}

/** Routes of users, workers and load balancers, all on one address. */
function makeApp(handlers: HttpHandlers): Hono<Environment> {
  const app = new Hono<Environment>();

  const onJob = async (context: RequestContext, request: (id: JobId) => UserRequest): Promise<Response> => {
    const id = parseJobId(context.req.param('id'));
    // An id that no job can have needs no look-up.
    if (!id) return reply(404, { error: 'no such job' });
    return replyUser(await handlers.user(request(id)));
  };

  app.get('/up', () => new Response('', { status: handlers.healthy() ? 200 : 503 }));

  app.post('/agent/beat', async (context) => {
    let report: Heartbeat;
    try {
      report = decodeReport(await readMap(context.env.incoming));
    } catch (error) {
      const problem = wireProblem(error);
      handlers.malformed(`report: ${problem}`);
      return reply(400, { error: problem });
    }
    const answer = await handlers.report(report);
    return reply(answer.status, encodeWorkerAnswer(answer));
  });

  app.post('/v2/runs', async (context) => {
    let request: UserRequest | string;
    try {
      request = readSubmission(await readMap(context.env.incoming), handlers.malformed);
    } catch (error) {
      request = wireProblem(error);
    }
    if (typeof request === 'string') return reply(400, { error: request });
    return replyUser(await handlers.user(request));
  });

  app.get('/v2/runs/:id', (context) => onJob(context, (id) => ({ op: 'poll', id })));
  app.post('/v2/runs/:id/withdraw', (context) => onJob(context, (id) => ({ op: 'cancel', id })));

  // One handler a path and method: a second that matches would send every report through hono's chain of handlers.
  app.notFound((context) => {
    if (PATHS.some((path) => path.test(context.req.path))) return reply(405, { error: 'method not allowed' });
    return reply(404, { error: 'no such path' });
  });
  app.onError((error) => {
    handlers.malformed(`request: ${error.message}`);
    return reply(500, { error: 'internal error' });
  });
  return app;
}

/** The HTTP server of a node; it has yet to listen. */
export function makeHttpServer(handlers: HttpHandlers, maxConnections: number): Server {
  // The adapter's own light Response (it stands for the global one) goes out in one write: Node's, a web stream, costs a
  // quarter of what a whole report does.
  const listener = getRequestListener(makeApp(handlers).fetch);
  const inboundSockets = Math.max(MIN_INBOUND_SOCKETS, Math.floor(maxConnections * INBOUND_SOCKET_SHARE));
  let openConnections = 0;
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true }, (request, response) => {
    // More machines than sockets take turns, instead of the first ones keeping the others out.
    if (openConnections > inboundSockets * KEEP_ALIVE_SOCKET_SHARE) response.shouldKeepAlive = false;
    void listener(request, response);
  });
  server.on('connection', (socket) => {
    openConnections += 1;
    socket.once('close', () => {
      openConnections -= 1;
    });
  });
  // Slow and half-open connections are bounded in time and number.
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.maxConnections = inboundSockets;
  return server;
}
