/** The type of the requests that the codecs pass to the HTTP client. */
import type { WireMap } from '../wire/fields.js';

/** A request to an external service, before its body is encoded. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** The path, including the query string if there is one. */
  readonly path: string;
  /** Undefined if the request has no body. */
  readonly body?: WireMap;
}
