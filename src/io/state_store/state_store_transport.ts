/** Sends calls to the state store over HTTP. The clients in core/clients decide when a call is made. */
import type { StateStoreOperation, StateStoreResult } from '../../core/messages.js';
import { HttpClient } from '../http/http_client.js';
import type { OnMalformedMessage } from '../malformed_messages.js';
import { callService } from '../service_call.js';
import { decodeStateStoreResponse, encodeStateStoreRequest } from './state_store_codec.js';

const MAX_SOCKETS = 24;
/** Watches have separate connections, because each of them occupies a connection until something changes. */
const MAX_WATCH_SOCKETS = 4;

/** Owns the connections to the state store, until `close`. */
export class StateStoreTransport {
  private readonly client: HttpClient;
  private readonly watchClient: HttpClient;

  /** `address` is `host:port`. */
  constructor(
    address: string,
    private readonly onMalformedMessage: OnMalformedMessage,
  ) {
    this.client = new HttpClient(address, MAX_SOCKETS);
    this.watchClient = new HttpClient(address, MAX_WATCH_SOCKETS);
  }

  /** Resolves with the result after at most `timeoutMs`. Does not reject if the call fails. */
  call(operation: StateStoreOperation, timeoutMs: number): Promise<StateStoreResult> {
    const client = operation.op === 'watch' ? this.watchClient : this.client;
    const call = {
      service: 'state store',
      request: encodeStateStoreRequest(operation),
      timeoutMs,
      decode: (status: number, body: unknown) => decodeStateStoreResponse(operation, status, body),
    };
    return callService(client, call, this.onMalformedMessage);
  }

  /** Closes all connections. Calls that are still open end with `outcomeUnknown`. */
  close(): void {
    this.client.close();
    this.watchClient.close();
  }
}
