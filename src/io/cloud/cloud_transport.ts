/** Carries calls to the cloud over HTTP. When they are made, core/clients decides. */
import type { CloudOperation, CloudResult } from '../../core/messages.js';
import { HttpClient } from '../http/http_client.js';
import type { OnMalformedMessage } from '../malformed_messages.js';
import { callService } from '../service_call.js';
import { decodeCloudResponse, encodeCloudRequest } from './cloud_codec.js';

const TIMEOUT_MS = 4000;
const SOCKETS = 4;

/** Connections to the cloud, until it is closed. */
export class CloudTransport {
  private readonly client: HttpClient;

  /** `address` is `host:port`. */
  constructor(
    address: string,
    private readonly onMalformedMessage: OnMalformedMessage,
  ) {
    this.client = new HttpClient(address, SOCKETS);
  }

  /** Resolves with the outcome, within 4 s; never rejects. */
  call(operation: CloudOperation): Promise<CloudResult> {
    const call = {
      service: 'cloud',
      request: encodeCloudRequest(operation),
      timeoutMs: TIMEOUT_MS,
      decode: (status: number, body: unknown) => decodeCloudResponse(operation, status, body),
    };
    return callService(this.client, call, this.onMalformedMessage);
  }

  /** Ends all open calls with an unknown outcome, and all connections. */
  close(): void {
    this.client.close();
  }
}
