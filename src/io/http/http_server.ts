import { createServer, type Server } from 'node:http';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import { Hono, type Context as HonoContext } from 'hono';
import type { HeartbeatResponse, UserRequest, UserResponse } from '../../core/messages.js';
import type { Heartbeat, JobId } from '../../core/types.js';
import { decodeJobSpec, encodeUserResponse } from '../users/user_codec.js';
import { encodeCbor } from '../wire/cbor.js';
import type { WireMap } from '../wire/fields.js';
import { parseJobId } from '../wire/job_id.js';
import { WireError } from '../wire/wire_error.js';
import { decodeHeartbeat, encodeHeartbeatResponse } from '../workers/worker_codec.js';
import { readCborMap } from './request_body.js';

/** What takes the requests, once they are read. */
export interface RequestHandlers {
  handleUserRequest(request: UserRequest): Promise<UserResponse>;
  handleHeartbeat(report: Heartbeat): Promise<HeartbeatResponse>;
  /** What load balancers are told. */
  isHealthy(): boolean;
  /** Counts a message that was dropped or refused for its form. */
  onMalformedMessage(what: string): void;
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

function cborResponse(status: number, body: WireMap, retryAfterS = 0): Response {
  const headers: Record<string, string> = { 'content-type': 'application/cbor' };
  if (retryAfterS > 0) headers['retry-after'] = String(retryAfterS);
  return new Response(encodeCbor(body) as Uint8Array<ArrayBuffer>, { status, headers });
}

const userResponse = (answer: UserResponse): Response =>
  cborResponse(answer.status, encodeUserResponse(answer), 'retryAfterSeconds' in answer ? answer.retryAfterSeconds : 0);

/** The message of a `WireError`; anything else is thrown on. */
function wireErrorMessage(error: unknown): string {
  if (!(error instanceof WireError)) throw error;
  return error.message;
}

/** The submission that a body holds, or why it can't even be looked up. */
function decodeSubmission(fields: WireMap, malformed: (what: string) => void): UserRequest | string {
  const id = parseJobId(fields.ref);
  if (!id) return 'ref is not a job id';
  try {
    return { op: 'submit', id, spec: decodeJobSpec(fields), problem: '' };
  } catch (error) {
    const problem = wireErrorMessage(error);
    // A known job is answered with its state whatever the body of the repeat: the request handler decides.
    malformed(`submission ${id}: ${problem}`);
    return { op: 'submit', id, spec: null, problem };
  }
}

/** Routes of users, workers and load balancers, all on one address. */
function createRoutes(handlers: RequestHandlers): Hono<Environment> {
  const app = new Hono<Environment>();

  const onJob = async (context: RequestContext, request: (id: JobId) => UserRequest): Promise<Response> => {
    const id = parseJobId(context.req.param('id'));
    // An id that no job can have needs no look-up.
    if (!id) return cborResponse(404, { error: 'no such job' });
    return userResponse(await handlers.handleUserRequest(request(id)));
  };

  app.get('/up', () => new Response('', { status: handlers.isHealthy() ? 200 : 503 }));

  app.post('/agent/beat', async (context) => {
    let report: Heartbeat;
    try {
      report = decodeHeartbeat(await readCborMap(context.env.incoming));
    } catch (error) {
      const problem = wireErrorMessage(error);
      handlers.onMalformedMessage(`report: ${problem}`);
      return cborResponse(400, { error: problem });
    }
    const answer = await handlers.handleHeartbeat(report);
    return cborResponse(answer.status, encodeHeartbeatResponse(answer));
  });

  app.post('/v2/runs', async (context) => {
    let request: UserRequest | string;
    try {
      request = decodeSubmission(await readCborMap(context.env.incoming), handlers.onMalformedMessage);
    } catch (error) {
      request = wireErrorMessage(error);
    }
    if (typeof request === 'string') return cborResponse(400, { error: request });
    return userResponse(await handlers.handleUserRequest(request));
  });

  app.get('/v2/runs/:id', (context) => onJob(context, (id) => ({ op: 'query', id })));
  app.post('/v2/runs/:id/withdraw', (context) => onJob(context, (id) => ({ op: 'cancel', id })));

  // One handler a path and method: a second that matches would send every report through hono's chain of handlers.
  app.notFound((context) => {
    if (PATHS.some((path) => path.test(context.req.path))) return cborResponse(405, { error: 'method not allowed' });
    return cborResponse(404, { error: 'no such path' });
  });
  app.onError((error) => {
    handlers.onMalformedMessage(`request: ${error.message}`);
    return cborResponse(500, { error: 'internal error' });
  });
  return app;
}

/** The HTTP server of a node; it has yet to listen. */
export function createHttpServer(handlers: RequestHandlers, maxConnections: number): Server {
  // The adapter's own light Response (it stands for the global one) goes out in one write: Node's, a web stream, costs a
  // quarter of what a whole report does.
  const listener = getRequestListener(createRoutes(handlers).fetch);
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
