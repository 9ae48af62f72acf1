import type { WireMap } from '../wire/fields.js';

/** A request to an outside service, before its body is encoded. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: WireMap;
}
