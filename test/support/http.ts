import { request } from 'node:http';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';

/* Requests over HTTP with CBOR bodies, as users and workers send them. */

/** A response that came in whole. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  /** The decoded body; empty where there is none. */
  readonly body: Record<string, unknown>;
}

/** The methods that are tried. */
export type HttpMethod = 'GET' | 'POST' | 'DELETE';

interface ExchangeOptions {
  readonly body?: Uint8Array;
  /** Without it there is no limit. */
  readonly timeoutMs?: number;
  /** Whether the connection is of this request alone. */
  readonly ownConnection?: boolean;
}

/** Sends one request to 127.0.0.1; rejects if the connection fails or the response takes too long. */
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

/** One request on a connection of its own; null: no response in time. */
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
