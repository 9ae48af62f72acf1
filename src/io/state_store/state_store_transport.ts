/** Carries calls to the state store over HTTP. When they are made, core/clients decides. */
import type { StateStoreOperation, StateStoreResult } from '../../core/messages.js';
import { HttpClient } from '../http/http_client.js';
import type { OnMalformedMessage } from '../malformed_messages.js';
import { callService } from '../service_call.js';
import { decodeStateStoreResponse, encodeStateStoreRequest } from './state_store_codec.js';

const SOCKETS = 24;
/** Watches have connections of their own: each holds one for as long as nothing changes. */
const WATCH_SOCKETS = 4;

/** Connections to the state store, until it is closed. */
export class StateStoreTransport {
  private readonly client: HttpClient;
  private readonly watchClient: HttpClient;

  /** `address` is `host:port`. */
  constructor(
    address: string,
    private readonly onMalformedMessage: OnMalformedMessage,
  ) {
    this.client = new HttpClient(address, SOCKETS);
    this.watchClient = new HttpClient(address, WATCH_SOCKETS);
  }

  /** Resolves with the outcome, after `timeoutMs` at the latest; never rejects. */
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

  /** Ends all open calls with an unknown outcome, and all connections. */
  close(): void {
    this.client.close();
    this.watchClient.close();
  }
}
