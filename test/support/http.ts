import { request } from 'node:http';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';

/* HTTP requests with CBOR bodies, as users and workers send them. */

/** A response that was received completely. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  /** The decoded body, or an empty object if the response has none. */
  readonly body: Record<string, unknown>;
}

/** The HTTP methods that tests use. */
export type HttpMethod = 'GET' | 'POST' | 'DELETE';

interface ExchangeOptions {
  readonly body?: Uint8Array;
  /** Time limit in milliseconds. There is no limit if it is missing. */
  readonly timeoutMs?: number;
  /** Whether the request opens a connection that no other request uses. */
  readonly ownConnection?: boolean;
}

/** Sends one request to 127.0.0.1. Rejects if the connection fails or the response takes too long. */
export function exchange(
  port: number,
  method: HttpMethod,
  path: string,
  { body, timeoutMs, ownConnection }: ExchangeOptions = {},
): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    const agent = ownConnection ? { agent: false } : {};
    const outgoing = request({ port, host: '127.0.0.1', method, path, ...agent }, (incoming) => {
      const parts: Buffer[] = [];
      incoming.on('data', (part: Buffer) => parts.push(part));
      incoming.on('error', reject);
      incoming.on('end', () => {
        const bytes = Buffer.concat(parts);
        const decoded = bytes.length > 0 ? (decodeCbor(bytes) as Record<string, unknown>) : {};
        resolve({ status: incoming.statusCode ?? 0, headers: incoming.headers, body: decoded });
      });
    });
    outgoing.on('error', reject);
    if (timeoutMs !== undefined) outgoing.setTimeout(timeoutMs, () => outgoing.destroy(new Error('timed out')));
    outgoing.end(body);
  });
}

/** Sends one request on its own connection. Returns null if the connection fails or the response takes too long. */
export async function sendRequest(
  port: number,
  method: 'GET' | 'POST',
  path: string,
  message: unknown,
  timeoutMs: number,
): Promise<HttpResponse | null> {
  const body = message === undefined ? {} : { body: encodeCbor(message) };
  try {
    return await exchange(port, method, path, { ...body, timeoutMs, ownConnection: true });
  } catch {
    return null;
  }
}
