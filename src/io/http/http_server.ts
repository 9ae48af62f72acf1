/** The HTTP server of a controller: all protocols that come in over HTTP, and bounds on their connections. */
import { createServer, type Server } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import { Hono } from 'hono';
import { USER_PATHS } from '../users/user_codec.js';
import { addUserRoutes, type UserHandlers } from '../users/user_routes.js';
import { addHeartbeatRoute, type HeartbeatHandlers } from '../workers/heartbeat_route.js';
import { HEARTBEAT_PATH } from '../workers/worker_codec.js';
import { cborResponse } from './cbor_response.js';
import type { Environment, Routes } from './routes.js';

/** What takes the requests, once they are read. */
export interface RequestHandlers extends UserHandlers, HeartbeatHandlers {
  /** What load balancers are told. */
  isHealthy(): boolean;
}

const HEALTH_PATH = '/up';
/** Idle connections are kept for so long: users query every few seconds, workers report more often still. */
const KEEP_ALIVE_MS = 120_000;
/** Bounds on slow and half-open connections. */
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 15_000;
/** Some sockets stay free for calls of our own. */
const INBOUND_SOCKET_SHARE = 0.85;
const MIN_INBOUND_SOCKETS = 16;
/** Beyond this part of them connections end with their response. */
const KEEP_ALIVE_SOCKET_SHARE = 0.8;

const isKnownPath = (path: string): boolean =>
  path === HEALTH_PATH || path === HEARTBEAT_PATH || USER_PATHS.some((pattern) => pattern.test(path));

/** Routes of users, workers and load balancers, all on one address. */
function createRoutes(handlers: RequestHandlers): Routes {
  const routes = new Hono<Environment>();
  routes.get(HEALTH_PATH, () => new Response('', { status: handlers.isHealthy() ? 200 : 503 }));
  addHeartbeatRoute(routes, handlers);
  addUserRoutes(routes, handlers);
  // One handler a path and method: a second that matches would send every heartbeat through hono's chain of handlers.
  routes.notFound((context) =>
    isKnownPath(context.req.path)
      ? cborResponse(405, { error: 'method not allowed' })
      : cborResponse(404, { error: 'no such path' }),
  );
  routes.onError((error) => {
    handlers.onMalformedMessage(`request: ${error.message}`);
    return cborResponse(500, { error: 'internal error' });
  });
  return routes;
}

/** Returns the HTTP server, which has yet to listen; `maxConnections` is what the controller may have open in all. */
export function createHttpServer(handlers: RequestHandlers, maxConnections: number): Server {
  // The adapter's own light Response (it stands for the global one) goes out in one write: Node's, a web stream, costs a
  // quarter of what a whole heartbeat does.
  const listener = getRequestListener(createRoutes(handlers).fetch);
  const inboundSockets = Math.max(MIN_INBOUND_SOCKETS, Math.floor(maxConnections * INBOUND_SOCKET_SHARE));
  const openConnections = { count: 0 };
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true }, (request, response) => {
    // More machines than sockets take turns, instead of the first ones keeping the others out.
    if (openConnections.count > inboundSockets * KEEP_ALIVE_SOCKET_SHARE) response.shouldKeepAlive = false;
    void listener(request, response);
  });
  countConnections(server, openConnections);
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.maxConnections = inboundSockets;
  return server;
}

/** Keeps count of the server's connections: its own `getConnections` answers only later. */
function countConnections(server: Server, open: { count: number }): void {
  server.on('connection', (socket) => {
    open.count += 1;
    socket.once('close', () => {
      open.count -= 1;
    });
  });
}
