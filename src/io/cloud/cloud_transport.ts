/** Sends calls to the cloud over HTTP. The clients in core/clients decide when a call is made. */
import type { CloudOperation, CloudResult } from '../../core/messages.js';
import { HttpClient } from '../http/http_client.js';
import type { OnMalformedMessage } from '../malformed_messages.js';
import { callService } from '../service_call.js';
import { decodeCloudResponse, encodeCloudRequest } from './cloud_codec.js';

const TIMEOUT_MS = 4000;
const MAX_SOCKETS = 4;

/** Owns the connections to the cloud, until `close`. */
export class CloudTransport {
  private readonly client: HttpClient;

  /** `address` is `host:port`. */
  constructor(
    address: string,
    private readonly onMalformedMessage: OnMalformedMessage,
  ) {
    this.client = new HttpClient(address, MAX_SOCKETS);
  }

  /** Resolves with the result within 4 s. Does not reject if the call fails. */
  call(operation: CloudOperation): Promise<CloudResult> {
    const call = {
      service: 'cloud',
      request: encodeCloudRequest(operation),
      timeoutMs: TIMEOUT_MS,
      decode: (status: number, body: unknown) => decodeCloudResponse(operation, status, body),
    };
    return callService(this.client, call, this.onMalformedMessage);
  }

  /** Closes all connections. Calls that are still open end with `outcomeUnknown`. */
  close(): void {
    this.client.close();
  }
}
