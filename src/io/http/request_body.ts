import type { HttpBindings } from '@hono/node-server';
import { decodeCbor } from '../wire/cbor.js';
import { expectMap, type WireMap } from '../wire/fields.js';
import { WireError } from '../wire/wire_error.js';

const MAX_BODY_BYTES = 64 * 1024;

/**
 * The body as Node gives it. Going through a web stream costs two thirds of what a whole report costs, and reports are most
 * of what comes in.
 */
function readBody(incoming: HttpBindings['incoming']): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let size = 0;
    incoming.on('data', (part: Buffer) => {
      size += part.length;
      if (size <= MAX_BODY_BYTES) parts.push(part);
    });
    incoming.on('end', () => {
      if (size > MAX_BODY_BYTES) reject(new WireError('body over 64 KiB'));
      else resolve(parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts));
    });
    incoming.on('error', reject);
    incoming.on('close', () => {
      // It closes after every request: an error made each time, with its stack, is a sixth of what a report costs.
      if (!incoming.complete) reject(new WireError('body cut short'));
    });
  });
}

/** Reads a request's body as a CBOR map; throws `WireError` on anything else. */
export async function readCborMap(incoming: HttpBindings['incoming']): Promise<WireMap> {
  const bytes = await readBody(incoming);
  let value: unknown;
  try {
    value = decodeCbor(bytes);
  } catch (cause) {
    throw new WireError('not CBOR', cause);
  }
  return expectMap(value, 'the body');
}
