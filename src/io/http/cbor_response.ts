/** Creates HTTP responses with CBOR bodies. */
import { encodeCbor } from '../wire/cbor.js';
import type { WireMap } from '../wire/fields.js';

/** Returns a response with a CBOR body. If `retryAfterSeconds` is 0, it has no `Retry-After` header. */
export function cborResponse(status: number, body: WireMap, retryAfterSeconds = 0): Response {
  const headers: Record<string, string> = { 'content-type': 'application/cbor' };
  if (retryAfterSeconds > 0) headers['retry-after'] = String(retryAfterSeconds);
  return new Response(encodeCbor(body) as Uint8Array<ArrayBuffer>, { status, headers });
}
