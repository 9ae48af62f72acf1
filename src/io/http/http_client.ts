import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http';
import { parseHostPort } from '../address.js';
import { decodeCbor, encodeCbor } from '../wire/cbor.js';
import type { HttpRequest } from './http_request.js';

/** An answer whose body, if it has one, was CBOR. */
export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Null: no usable answer; whether the request was carried out isn't known. */
export type OnHttpResponse = (answer: HttpResponse | null) => void;

const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** CBOR over HTTP/1.1 to one service, on connections that persist. */
export class HttpClient {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(addr: string, sockets: number) {
    const { host, port } = parseHostPort(addr);
    this.host = host;
    this.port = port;
    this.agent = new Agent({ keepAlive: true, maxSockets: sockets, maxFreeSockets: sockets, scheduling: 'lifo' });
  }

  /** `done` is called once, after `timeoutMs` at the latest. */
  send(call: HttpRequest, timeoutMs: number, done: OnHttpResponse): void {
    const payload = call.body === undefined ? null : encodeCbor(call.body);
    const outgoing = this.openRequest(call, payload);
    let open = true;
    const finish: OnHttpResponse = (answer) => {
      if (!open) return;
      open = false;
      clearTimeout(timer);
      done(answer);
    };
    const abandon = (): void => {
      finish(null);
      outgoing.destroy();
    };
    const timer = setTimeout(abandon, timeoutMs);
    outgoing.on('error', () => finish(null));
    outgoing.on('response', (response) => readResponse(response, finish, abandon));
    if (payload) outgoing.end(payload);
    else outgoing.end();
  }

  private openRequest(call: HttpRequest, payload: Buffer | null): ClientRequest {
    const headers = payload
      ? { 'content-type': 'application/cbor', 'content-length': payload.length }
      : { 'content-length': 0 };
    const { method, path } = call;
    return request({ host: this.host, port: this.port, method, path, agent: this.agent, headers });
  }

  close(): void {
    this.agent.destroy();
  }
}

function readResponse(response: IncomingMessage, finish: OnHttpResponse, abandon: () => void): void {
  const parts: Buffer[] = [];
  let size = 0;
  response.on('data', (part: Buffer) => {
    size += part.length;
    if (size > MAX_BODY_BYTES) abandon();
    else parts.push(part);
  });
  response.on('error', () => finish(null));
  response.on('close', () => finish(null));
  response.on('end', () => {
    let body: unknown = null;
    try {
      const bytes = parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts);
      if (bytes.length > 0) body = decodeCbor(bytes);
    } catch {
      return finish(null);
    }
    finish({ status: response.statusCode ?? 0, body });
  });
}
