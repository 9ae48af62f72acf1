/**
 * Encodes and decodes CBOR as the protocols use it: maps with text keys, 64-bit integers as bigint and no binary data.
 */
import type { Encoder as CborEncoder } from 'cbor-x';

// The optional native module only speeds up long texts. Loading it costs more than it saves here.
process.env.CBOR_NATIVE_ACCELERATION_DISABLED ??= 'true';
const { Encoder } = await import('cbor-x');

const codec: CborEncoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

export function encodeCbor(value: unknown): Buffer {
  return Buffer.from(codec.encode(value));
}

/** Returns the decoded value. Throws if the bytes are not valid CBOR. */
export function decodeCbor(bytes: Uint8Array): unknown {
  return codec.decode(bytes);
}
