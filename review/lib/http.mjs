// HTTP/1.1 with CBOR bodies on loopback, as PROTOCOL-magpielift.md describes it: the server side of the stand-ins and
// the client side of users and workers.
import { createServer, request } from 'node:http';
import { Encoder } from 'cbor-x';

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
export const encode = (value) => Buffer.from(codec.encode(value));
export const decode = (bytes) => (bytes.length === 0 ? {} : codec.decode(bytes));

/** Length of a value as JSON text in bytes, the form in which the pages count sizes. */
export const jsonBytes = (value) =>
  Buffer.byteLength(JSON.stringify(value, (_, item) => (typeof item === 'bigint' ? Number(item) : item)));

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Starts a server on `port` of 127.0.0.1 (0: any free port). `handle(method, url, body, bytes)` returns
 * `{status, body}`, or null if the request gets no response.
 */
export async function serve(port, handle) {
  const server = createServer(async (incoming, response) => {
    try {
      const parts = [];
      for await (const part of incoming) parts.push(part);
      const bytes = Buffer.concat(parts);
      const url = new URL(incoming.url, 'http://stand-in');
      const answer = await handle(incoming.method, url, decode(bytes), bytes);
      if (answer === null) return;
      response.writeHead(answer.status, { 'content-type': 'application/cbor' });
      response.end(encode(answer.body ?? {}));
    } catch {
      response.destroy();
    }
  });
  server.keepAliveTimeout = 120_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  return server;
}

/** Sends one request on a connection of its own. Resolves with `{status, body, headers}`, or null without a response. */
export function call(port, method, path, message, timeoutMs) {
  return new Promise((resolve) => {
    const payload = message === undefined ? null : encode(message);
    const headers = payload ? { 'content-type': 'application/cbor', 'content-length': payload.length } : {};
    const outgoing = request({ host: '127.0.0.1', port, method, path, headers, agent: false }, (incoming) => {
      const parts = [];
      incoming.on('data', (part) => parts.push(part));
      incoming.on('error', () => finish(null));
      incoming.on('end', () => {
        try {
          finish({ status: incoming.statusCode, body: decode(Buffer.concat(parts)), headers: incoming.headers });
        } catch {
          finish({ status: incoming.statusCode, body: {}, headers: incoming.headers });
        }
      });
    });
    const timer = setTimeout(() => finish(null), timeoutMs);
    const finish = (answer) => {
      clearTimeout(timer);
      resolve(answer);
      outgoing.destroy();
    };
    outgoing.on('error', () => finish(null));
    outgoing.end(payload ?? undefined);
  });
}
