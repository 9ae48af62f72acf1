/** Reads the bodies of HTTP messages, within bounds. */
import type { IncomingMessage } from 'node:http';
import { decodeCbor } from '../wire/cbor.js';
import { expectMap, type WireMap } from '../wire/fields.js';
import { WireError } from '../wire/wire_error.js';

const BYTES_PER_KIB = 1024;
/** The protocol's bound on requests of users and workers. */
const MAX_REQUEST_BYTES = 64 * BYTES_PER_KIB;

/** What is done with a body that is too long: read to its end, so that it can be answered, or cut off with its connection. */
export type OnExcess = 'drain' | 'destroy';

/**
 * Resolves with the body as Node gives it: going through a web stream costs two thirds of what a whole heartbeat costs, and
 * heartbeats are most of what comes in. Rejects with `WireError` if it is longer than `maxBytes` or ends too soon, and with
 * the stream's own error if that fails.
 */
export function readBody(incoming: IncomingMessage, maxBytes: number, onExcess: OnExcess): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let size = 0;
    const rejectTooLong = (): void => reject(new WireError(`body over ${maxBytes / BYTES_PER_KIB} KiB`));
    incoming.on('data', (part: Buffer) => {
      size += part.length;
      if (size <= maxBytes) {
        parts.push(part);
      } else if (onExcess === 'destroy') {
        rejectTooLong();
        incoming.destroy();
      }
    });
    incoming.on('end', () => {
      if (size > maxBytes) rejectTooLong();
      else resolve(parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts));
    });
    incoming.on('error', reject);
    incoming.on('close', () => {
      // It closes after every message: an error made each time, with its stack, is a sixth of what a heartbeat costs.
      if (!incoming.complete) reject(new WireError('body cut short'));
    });
  });
}

/** Returns what a body holds; throws `WireError` if it isn't CBOR. */
export function decodeBody(bytes: Buffer): unknown {
  try {
    return decodeCbor(bytes);
  } catch (cause) {
    throw new WireError('not CBOR', cause);
  }
}

/** Reads a request's body as a CBOR map; throws `WireError` on anything else. */
export async function readCborMap(incoming: IncomingMessage): Promise<WireMap> {
  return expectMap(decodeBody(await readBody(incoming, MAX_REQUEST_BYTES, 'drain')), 'the body');
}
