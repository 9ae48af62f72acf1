/** Sends requests to one external service, as CBOR over HTTP/1.1 on persistent connections. */
import { Agent, type ClientRequest, request } from 'node:http';
import { ApplicationError } from '../../errors.js';
import { parseHostPort } from '../address.js';
import { encodeCbor } from '../wire/cbor.js';
import { WireError } from '../wire/wire_error.js';
import { decodeBody, readBody } from './body.js';
import type { HttpRequest } from './http_request.js';

/** A response with its decoded body. */
export interface HttpResponse {
  readonly status: number;
  /** The value that was decoded from CBOR, or null if the response had no body. */
  readonly body: unknown;
}

/**
 * Why a call ended without a usable response. In each case callers must assume that the request may have been executed.
 */
export type HttpCallErrorCode =
  /** No complete response arrived within the call's timeout. */
  | 'timedOut'
  /** The connection was refused, or failed before the response was complete. */
  | 'connectionFailed'
  /** The body was too long or was not CBOR. */
  | 'unusableBody'
  /** The client was closed during the call. */
  | 'clientClosed';

/** Thrown for a call that ended without a usable response. `cause` is the underlying error, if there is one. */
export class HttpCallError extends ApplicationError<HttpCallErrorCode> {
  constructor(code: HttpCallErrorCode, cause?: unknown) {
    super(code, `call to an external service ended without a usable response: ${code}`, cause);
  }
}

interface RawResponse {
  readonly status: number;
  readonly bytes: Buffer;
}

const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/**
 * One call that has been started and can be aborted. Passing an `AbortSignal` to Node's `request` instead would
 * increase the cost of a call by half.
 */
class OpenCall {
  readonly response: Promise<RawResponse>;
  private reject: (error: unknown) => void = () => {};

  /** Registers all event listeners before any event can be emitted. A missed event would leave the call open. */
  constructor(private readonly outgoing: ClientRequest) {
    this.response = new Promise((resolve, reject) => {
      this.reject = reject;
      outgoing.on('error', reject);
      outgoing.on('response', (response) => {
        const status = response.statusCode ?? 0;
        readBody(response, MAX_RESPONSE_BYTES, 'destroy').then((bytes) => resolve({ status, bytes }), reject);
      });
    });
  }

  /**
   * Ends the call with an error and closes its connection, if it has one. Must not be used on a call that has ended,
   * because its connection is kept for later calls.
   */
  abort(error: HttpCallError): void {
    this.reject(error);
    this.outgoing.destroy();
  }
}

/** A client of one service. Idle connections are kept for later calls until the owner closes the client. */
export class HttpClient {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;
  /** The calls that have not ended, including those that wait for a connection. */
  private readonly openCalls = new Set<OpenCall>();

  /**
   * `address` is `host:port`. `sockets` is the maximum number of connections. Further calls wait for a connection, and
   * that wait counts towards their timeout.
   */
  constructor(address: string, sockets: number) {
    const { host, port } = parseHostPort(address);
    this.host = host;
    this.port = port;
    this.agent = new Agent({ keepAlive: true, maxSockets: sockets, maxFreeSockets: sockets, scheduling: 'lifo' });
  }

  /**
   * Sends a request and resolves with its response, regardless of the status. Rejects with `HttpCallError` if there is
   * no usable response within `timeoutMs`, or earlier if the call fails. No resources of the call remain open in either
   * case.
   */
  async send(httpRequest: HttpRequest, timeoutMs: number): Promise<HttpResponse> {
    const call = new OpenCall(this.startRequest(httpRequest));
    this.openCalls.add(call);
    const timer = setTimeout(() => call.abort(new HttpCallError('timedOut')), timeoutMs);
    try {
      const { status, bytes } = await call.response;
      return { status, body: bytes.length > 0 ? decodeBody(bytes) : null };
    } catch (error) {
      throw toCallError(error);
    } finally {
      clearTimeout(timer);
      this.openCalls.delete(call);
    }
  }

  private startRequest({ method, path, body }: HttpRequest): ClientRequest {
    const payload = body === undefined ? null : encodeCbor(body);
    const headers = payload
      ? { 'content-type': 'application/cbor', 'content-length': payload.length }
      : { 'content-length': 0 };
    const outgoing = request({ host: this.host, port: this.port, method, path, agent: this.agent, headers });
    if (payload) outgoing.end(payload);
    else outgoing.end();
    return outgoing;
  }

  /**
   * Closes all connections and ends the calls on them. Calls that wait for a connection get a new one if it is
   * available within their timeout.
   */
  closeConnections(): void {
    this.agent.destroy();
  }

  /** Ends all open calls with `clientClosed` and closes all connections. */
  close(): void {
    for (const call of this.openCalls) call.abort(new HttpCallError('clientClosed'));
    this.agent.destroy();
  }
}

function toCallError(error: unknown): HttpCallError {
  if (error instanceof HttpCallError) return error;
  return new HttpCallError(error instanceof WireError ? 'unusableBody' : 'connectionFailed', error);
}
