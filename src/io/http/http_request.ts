/** The form in which the codecs hand requests to the HTTP client. */
import type { WireMap } from '../wire/fields.js';

/** A request to an outside service, before its body is encoded. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** With its query, if there is one. */
  readonly path: string;
  /** Left out: the request has no body. */
  readonly body?: WireMap;
}
