import { Agent, request } from 'node:http';
import { hostPort } from './address.js';
import { decode, encode } from './cbor.js';

export interface Reply {
  readonly status: number;
  readonly body: unknown;
}

const BODY_MAX = 8 * 1024 * 1024;

/** CBOR over HTTP/1.1 to one service, on connections that persist. */
export class HttpClient {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(addr: string, sockets: number) {
    const { host, port } = hostPort(addr);
    this.host = host;
    this.port = port;
    this.agent = new Agent({ keepAlive: true, maxSockets: sockets, maxFreeSockets: sockets, scheduling: 'lifo' });
  }

  /** `done(null)`: no usable answer; whether the request was carried out isn't known. */
  call(method: string, path: string, body: unknown, timeoutMs: number, done: (reply: Reply | null) => void): void {
    let open = true;
    const finish = (reply: Reply | null): void => {
      if (!open) return;
      open = false;
      clearTimeout(timer);
      done(reply);
    };
    const payload = body === undefined ? null : encode(body);
    const req = request({
      host: this.host,
      port: this.port,
      method,
      path,
      agent: this.agent,
      headers: payload
        ? { 'content-type': 'application/cbor', 'content-length': payload.length }
        : { 'content-length': 0 },
    });
    const timer = setTimeout(() => {
      finish(null);
      req.destroy();
    }, timeoutMs);
    req.on('error', () => finish(null));
    req.on('response', (res) => {
      const parts: Buffer[] = [];
      let size = 0;
      res.on('data', (part: Buffer) => {
        size += part.length;
        if (size > BODY_MAX) {
          finish(null);
          req.destroy();
          return;
        }
        parts.push(part);
      });
      res.on('error', () => finish(null));
      res.on('close', () => finish(null));
      res.on('end', () => {
        let value: unknown = null;
        try {
          const bytes = parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts);
          if (bytes.length > 0) value = decode(bytes);
        } catch {
          return finish(null);
        }
        finish({ status: res.statusCode ?? 0, body: value });
      });
    });
    if (payload) req.end(payload);
    else req.end();
  }

  close(): void {
    this.agent.destroy();
  }
}
