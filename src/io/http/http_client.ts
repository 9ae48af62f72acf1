/** Calls one outside service: CBOR over HTTP/1.1, on connections that persist. */
import { Agent, type ClientRequest, request } from 'node:http';
import { ApplicationError } from '../../errors.js';
import { parseHostPort } from '../address.js';
import { encodeCbor } from '../wire/cbor.js';
import { WireError } from '../wire/wire_error.js';
import { decodeBody, readBody } from './body.js';
import type { HttpRequest } from './http_request.js';

/** A response whose body, if it has one, was CBOR. */
export interface HttpResponse {
  readonly status: number;
  /** Null: the response had no body. */
  readonly body: unknown;
}

/** How a call ends without a usable response. In every case the request may have been carried out. */
export type HttpCallErrorCode =
  /** No whole response came within the call's time. */
  | 'timedOut'
  /** The connection was refused, or broke before the response was whole. */
  | 'connectionFailed'
  /** The body was too long or not CBOR. */
  | 'unusableBody'
  /** The client was closed meanwhile. */
  | 'clientClosed';

/** A call without a usable response; `cause` is the error from below, if there was one. */
export class HttpCallError extends ApplicationError<HttpCallErrorCode> {
  constructor(code: HttpCallErrorCode, cause?: unknown) {
    super(code, `call to an outside service: ${code}`, cause);
  }
}

interface RawResponse {
  readonly status: number;
  readonly bytes: Buffer;
}

const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/**
 * One call that has been started. Handing an `AbortSignal` to Node's request instead costs half as much again as the whole
 * call.
 */
class OpenCall {
  readonly response: Promise<RawResponse>;
  private reject: (error: unknown) => void = () => {};

  /** Listens to everything before anything can happen: an event that is missed would leave the call open. */
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

  /** Ends the call with an error, and its connection if it has one. Not for a call that has ended: that connection is kept. */
  abort(error: HttpCallError): void {
    this.reject(error);
    this.outgoing.destroy();
  }
}

/** Connections to one service. Its owner closes it; until then idle connections are kept for the next call. */
export class HttpClient {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;
  /** The calls that have not ended, also those that wait for a connection. */
  private readonly openCalls = new Set<OpenCall>();

  /** `address` is `host:port`; calls beyond `sockets` wait for a connection, within their own time. */
  constructor(address: string, sockets: number) {
    const { host, port } = parseHostPort(address);
    this.host = host;
    this.port = port;
    this.agent = new Agent({ keepAlive: true, maxSockets: sockets, maxFreeSockets: sockets, scheduling: 'lifo' });
  }

  /**
   * Sends a request and resolves with its response, whatever its status. Rejects with `HttpCallError` after `timeoutMs`, if
   * no usable response came by then, or sooner. Either way nothing of the call is left open.
   */
  async send(httpRequest: HttpRequest, timeoutMs: number): Promise<HttpResponse> {
    const call = new OpenCall(this.open(httpRequest));
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

  private open({ method, path, body }: HttpRequest): ClientRequest {
    const payload = body === undefined ? null : encodeCbor(body);
    const headers = payload
      ? { 'content-type': 'application/cbor', 'content-length': payload.length }
      : { 'content-length': 0 };
    const outgoing = request({ host: this.host, port: this.port, method, path, agent: this.agent, headers });
    if (payload) outgoing.end(payload);
    else outgoing.end();
    return outgoing;
  }

  /** Ends all connections, with the calls on them. Calls that wait for a connection get a new one, within their own time. */
  closeConnections(): void {
    this.agent.destroy();
  }

  /** Ends all calls that are open, with `clientClosed`, and all connections. */
  close(): void {
    for (const call of this.openCalls) call.abort(new HttpCallError('clientClosed'));
    this.agent.destroy();
  }
}

function toCallError(error: unknown): HttpCallError {
  if (error instanceof HttpCallError) return error;
  return new HttpCallError(error instanceof WireError ? 'unusableBody' : 'connectionFailed', error);
}
