/** Translates requests and responses to and from the wire names of the state store's protocol. */
import type {
  StateChange,
  StateStoreError,
  StateStoreOperation,
  StateStoreResponse,
  StateStoreResult,
  StoredEntry,
  WatchEvent,
} from '../../core/messages.js';
import { type LeaseId, type Revision, revision } from '../../core/types.js';
import type { HttpRequest } from '../http/http_request.js';
import { expectMap, listField, textField, uint64Field, type WireMap } from '../wire/fields.js';

function encodeChange(change: StateChange): WireMap {
  if ('drop' in change) return { drop: change.drop };
  const put = { put: change.put, data: change.value };
  return change.lease === undefined ? put : { ...put, tether: change.lease };
}

/** Returns the HTTP request for an operation. */
export function encodeStateStoreRequest(call: StateStoreOperation): HttpRequest {
  switch (call.op) {
    case 'get':
      return { method: 'GET', path: `/kv/${call.key}` };
    case 'list': {
      const after = call.after === null ? '' : `&after=${call.after}`;
      return { method: 'GET', path: `/kv?under=${call.prefix}${after}&most=${call.limit}` };
    }
    case 'compareAndSwap': {
      const conditions = call.conditions.map(({ key, version }) => ({ k: key, feather: version }));
      // biome-ignore lint/suspicious/noThenProperty: `then` is a wire name, and this object is never awaited.
      return { method: 'POST', path: '/multi', body: { if: conditions, then: call.changes.map(encodeChange) } };
    }
    case 'grant':
      return { method: 'POST', path: '/grants', body: { life_ms: call.ttlMs } };
    case 'renew':
      return { method: 'POST', path: `/grants/${call.lease}/renew` };
    case 'revoke':
      return { method: 'DELETE', path: `/grants/${call.lease}` };
    case 'watch':
      return { method: 'GET', path: `/follow?under=${call.prefix}&after=${call.after}&wait_ms=${call.waitMs}` };
  }
}

const decodeRevision = (fields: WireMap): Revision => revision(uint64Field(fields, 'molt'));

function decodeItem(raw: unknown): StoredEntry {
  const fields = expectMap(raw, 'item');
  return { key: textField(fields, 'k'), value: fields.data, version: revision(uint64Field(fields, 'feather')) };
}

function decodeEvent(raw: unknown): WatchEvent {
  const fields = expectMap(raw, 'event');
  const version = revision(uint64Field(fields, 'feather'));
  if (typeof fields.drop === 'string') return { drop: fields.drop, version };
  return { put: textField(fields, 'put'), value: fields.data, version };
}

function conflictingKeys(body: unknown): string[] {
  const failed = (body as { failed?: unknown } | null)?.failed;
  return Array.isArray(failed) ? failed.filter((key): key is string => typeof key === 'string') : [];
}

/** Returns the error that a response status stands for, or null if the call succeeded. */
function errorOfStatus(status: number, body: unknown): StateStoreError | null {
  if (status >= 200 && status <= 299) return null;
  switch (status) {
    case 429:
      return { code: 'throttled' };
    case 503:
      return { code: 'unavailable' };
    case 400:
      return { code: 'invalidRequest' };
    case 409:
      return { code: 'conflict', keys: conflictingKeys(body) };
    case 404:
    case 410:
      return { code: 'gone' };
    default:
      return { code: 'outcomeUnknown' };
  }
}

function decodeValue(call: StateStoreOperation, fields: WireMap): StateStoreResponse {
  switch (call.op) {
    case 'get':
      return { item: decodeItem(fields) };
    case 'list':
      return {
        items: listField(fields, 'entries').map(decodeItem),
        more: fields.has_next === true,
        revision: decodeRevision(fields),
      };
    case 'compareAndSwap':
      return { revision: decodeRevision(fields) };
    case 'grant':
      return { lease: uint64Field<LeaseId>(fields, 'tether') };
    case 'watch':
      return { events: listField(fields, 'news').map(decodeEvent), revision: decodeRevision(fields) };
    case 'renew':
    case 'revoke':
      return {};
  }
}

/**
 * Decodes the response to an operation. Throws `WireError` if the response reports a success, or a missing key for
 * `get`, and its body is malformed.
 */
export function decodeStateStoreResponse(call: StateStoreOperation, status: number, body: unknown): StateStoreResult {
  if (status === 404 && call.op === 'get') {
    return { ok: true, value: { item: null, revision: decodeRevision(expectMap(body, 'answer')) } };
  }
  const error = errorOfStatus(status, body);
  if (error) return { ok: false, error };
  // The body of these responses is not used, and some have none.
  if (call.op === 'renew' || call.op === 'revoke') return { ok: true, value: {} };
  return { ok: true, value: decodeValue(call, expectMap(body, 'answer')) };
}
