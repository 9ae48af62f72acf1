/** CBOR over HTTP/1.1 for the stand-ins: one server helper and one client helper. */
import http from 'node:http';
import { Encoder } from 'cbor-x';

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
export const encode = (value) => Buffer.from(codec.encode(value));
export const decode = (bytes) => (bytes.length > 0 ? codec.decode(bytes) : null);
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Starts a server on a free loopback port. `handle(request)` gets `{ method, path, query, body }` and returns
 * `{ status, body }`, or null for a request that is never answered.
 */
export async function serve(handle, port = 0) {
  const server = http.createServer({ keepAliveTimeout: 300_000, noDelay: true }, (incoming, outgoing) => {
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('error', () => {});
    outgoing.on('error', () => {});
    incoming.on('end', async () => {
      const { pathname, searchParams } = new URL(incoming.url, 'http://stand-in');
      let body = null;
      try {
        body = decode(Buffer.concat(chunks));
      } catch {
        // Stand-ins answer a body that is not CBOR as one that lacks its fields.
      }
      const answer = await handle({ method: incoming.method, path: pathname, query: searchParams, body, outgoing });
      if (!answer || outgoing.destroyed) return;
      const bytes = answer.body === undefined ? Buffer.alloc(0) : encode(answer.body);
      outgoing.writeHead(answer.status, { 'content-type': 'application/cbor', 'content-length': bytes.length });
      outgoing.end(bytes);
    });
  });
  server.requestTimeout = 0;
  server.headersTimeout = 0;
  await new Promise((resolve) => server.listen(port, '127.0.0.1', resolve));
  return { port: server.address().port, close: () => (server.closeAllConnections(), server.close()) };
}

const agents = new Map();
function agentFor(key) {
  if (!agents.has(key)) agents.set(key, new http.Agent({ keepAlive: true }));
  return agents.get(key);
}

/**
 * Sends one request and resolves with `{ status, body, retryAfter }`. Status 0 means no answer within the timeout, or a
 * failed connection. Callers with the same `agentKey` share connections.
 */
export function call(port, method, path, body, timeoutMs, agentKey = 'shared') {
  return new Promise((resolve) => {
    let settled = false;
    const settle = (value) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(value);
    };
    const payload = body instanceof Buffer ? body : body === undefined ? null : encode(body);
    const headers = payload ? { 'content-type': 'application/cbor', 'content-length': payload.length } : {};
    const outgoing = http.request(
      { host: '127.0.0.1', port, method, path, headers, agent: agentFor(agentKey) },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => settle({ status: 0, body: null, failure: 'reset' }));
        response.on('end', () => {
          let decoded = null;
          try {
            decoded = decode(Buffer.concat(chunks));
          } catch {
            // An answer without a CBOR body.
          }
          const retryAfter = Number(response.headers['retry-after'] ?? 0);
          settle({ status: response.statusCode, body: decoded, retryAfter });
        });
      },
    );
    const timer = setTimeout(() => {
      settle({ status: 0, body: null, failure: 'no answer' });
      outgoing.destroy();
    }, timeoutMs);
    outgoing.on('error', (error) => settle({ status: 0, body: null, failure: error.code ?? error.message }));
    outgoing.end(payload ?? undefined);
  });
}
