/** Reads the bodies of HTTP messages up to a maximum size. */
import type { IncomingMessage } from 'node:http';
import { decodeCbor } from '../wire/cbor.js';
import { expectMap, type WireMap } from '../wire/fields.js';
import { WireError } from '../wire/wire_error.js';

const BYTES_PER_KIB = 1024;
/** Maximum body size of requests from users and workers, in bytes, as set by the protocol. */
const MAX_REQUEST_BYTES = 64 * BYTES_PER_KIB;

/**
 * How a body that is too long is handled. `drain` reads it to its end, so that a response can be sent. `destroy` closes
 * the connection immediately.
 */
export type OversizeAction = 'drain' | 'destroy';

/**
 * Resolves with the body, read directly from Node's stream. Reading it through a web stream would cost two thirds as
 * much as processing a whole heartbeat, and most requests are heartbeats. Rejects with `WireError` if the body is
 * longer than `maxBytes` or incomplete, and with the stream's error if the stream fails.
 */
export function readBody(incoming: IncomingMessage, maxBytes: number, oversizeAction: OversizeAction): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const rejectTooLong = (): void => reject(new WireError(`body over ${maxBytes / BYTES_PER_KIB} KiB`));
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) {
        chunks.push(chunk);
      } else if (oversizeAction === 'destroy') {
        rejectTooLong();
        incoming.destroy();
      }
    });
    incoming.on('end', () => {
      if (size > maxBytes) rejectTooLong();
      else resolve(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks));
    });
    incoming.on('error', reject);
    incoming.on('close', () => {
      // 'close' follows every message. Creating an error with its stack each time would cost a sixth as much as
      // processing a whole heartbeat.
      if (!incoming.complete) reject(new WireError('body cut short'));
    });
  });
}

/** Returns the decoded body. Throws `WireError` if the body is not CBOR. */
export function decodeBody(bytes: Buffer): unknown {
  try {
    return decodeCbor(bytes);
  } catch (cause) {
    throw new WireError('not CBOR', cause);
  }
}

/** Reads the body of a request as a CBOR map. Rejects with `WireError` if it is anything else. */
export async function readCborMap(incoming: IncomingMessage): Promise<WireMap> {
  return expectMap(decodeBody(await readBody(incoming, MAX_REQUEST_BYTES, 'drain')), 'the body');
}
