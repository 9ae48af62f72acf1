import type { Fields } from './fields.js';

/** A request to an outside service, before its body is encoded. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: Fields;
}
