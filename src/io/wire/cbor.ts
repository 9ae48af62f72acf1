/** CBOR as the protocols use it: maps keyed by text, 64-bit integers as bigint, nothing binary. */
import type { Encoder as CborEncoder } from 'cbor-x';

// The optional native part only speeds up long texts, and loading it costs more than it brings here.
process.env.CBOR_NATIVE_ACCELERATION_DISABLED ??= 'true';
const { Encoder } = await import('cbor-x');

const codec: CborEncoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** Returns the value's bytes. */
export function encodeCbor(value: unknown): Buffer {
  return Buffer.from(codec.encode(value));
}

/** Returns the value that the bytes hold; throws if they hold none. */
export function decodeCbor(bytes: Uint8Array): unknown {
  return codec.decode(bytes);
}
