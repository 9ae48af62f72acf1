/** The HTTP server of a controller. It serves users, workers and load balancers, and limits their connections. */
import { createServer, type Server } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import { Hono } from 'hono';
import { USER_PATHS } from '../users/user_codec.js';
import { addUserRoutes, type UserHandlers } from '../users/user_routes.js';
import { addHeartbeatRoute, type HeartbeatHandlers } from '../workers/heartbeat_route.js';
import { HEARTBEAT_PATH } from '../workers/worker_codec.js';
import { cborResponse } from './cbor_response.js';
import type { Environment, Routes } from './routes.js';

/** Handles decoded requests. */
export interface RequestHandlers extends UserHandlers, HeartbeatHandlers {
  /** Returns whether load balancers may send requests to this controller. */
  isHealthy(): boolean;
}

const HEALTH_PATH = '/up';
/**
 * Time for which idle connections are kept open, in milliseconds. Users query every few seconds, and workers send
 * heartbeats even more often.
 */
const KEEP_ALIVE_MS = 120_000;
/**
 * Time limits for the headers and for the whole request, in milliseconds. They bound slow and half-open connections.
 */
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 15_000;
/** Share of the connection limit for inbound connections. The remainder is reserved for this controller's own calls. */
const INBOUND_SOCKET_SHARE = 0.85;
const MIN_INBOUND_SOCKETS = 16;
/** Share of the inbound sockets above which connections are closed after their response. */
const KEEP_ALIVE_SOCKET_SHARE = 0.8;

const isKnownPath = (path: string): boolean =>
  path === HEALTH_PATH || path === HEARTBEAT_PATH || USER_PATHS.some((pattern) => pattern.test(path));

/** Creates the routes for users, workers and load balancers, which share one address. */
function createRoutes(handlers: RequestHandlers): Routes {
  const routes = new Hono<Environment>();
  routes.get(HEALTH_PATH, () => new Response('', { status: handlers.isHealthy() ? 200 : 503 }));
  addHeartbeatRoute(routes, handlers);
  addUserRoutes(routes, handlers);
  // Only one handler may match each path and method. With a second one, hono would run every heartbeat through its
  // chain of handlers.
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

/** Returns the HTTP server, not yet listening. `maxConnections` is the limit for all connections of the controller. */
export function createHttpServer(handlers: RequestHandlers, maxConnections: number): Server {
  // The adapter replaces the global Response by its own lightweight class, whose body is sent in one write. Node's
  // Response uses a web stream, which would cost a quarter as much as processing a whole heartbeat.
  // Request bodies are read or drained here (body.ts) or discarded by Node's server. The adapter's own cleanup would
  // leave timers behind when the server is closed.
  const listener = getRequestListener(createRoutes(handlers).fetch, { autoCleanupIncoming: false });
  const inboundSockets = Math.max(MIN_INBOUND_SOCKETS, Math.floor(maxConnections * INBOUND_SOCKET_SHARE));
  const openConnections = { count: 0 };
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true }, (request, response) => {
    // If there are more machines than sockets, the machines share the sockets in turn. Otherwise the machines that
    // connected first would keep the others out.
    if (openConnections.count > inboundSockets * KEEP_ALIVE_SOCKET_SHARE) response.shouldKeepAlive = false;
    void listener(request, response);
  });
  countConnections(server, openConnections);
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.maxConnections = inboundSockets;
  return server;
}

/** Counts the server's connections in `open`. The server's own `getConnections` is asynchronous. */
function countConnections(server: Server, open: { count: number }): void {
  server.on('connection', (socket) => {
    open.count += 1;
    socket.once('close', () => {
      open.count -= 1;
    });
  });
}
