import { connect, type Socket } from 'node:net';
import type { PeerMessage } from '../../core/messages.js';
import type { ControllerName } from '../../core/types.js';
import { parseHostPort } from '../address.js';
import { encodeFrame } from './peer_codec.js';

const RECONNECT_MS = 500;
const CONNECT_TIMEOUT_MS = 1500;
const MAX_UNSENT_BYTES = 128 * 1024;

/** The connection to one peer, opened again whenever it ends. What can't be sent now is dropped. */
export class OutboundConnection {
  private socket: Socket | null = null;
  private ready = false;
  private closed = false;
  private readonly host: string;
  private readonly port: number;

  constructor(
    private readonly self: ControllerName,
    addr: string,
  ) {
    const { host, port } = parseHostPort(addr);
    this.host = host;
    this.port = port;
  }

  open(): void {
    if (this.closed) return;
    const socket = connect({ host: this.host, port: this.port, noDelay: true });
    this.socket = socket;
    this.ready = false;
    const connectTimer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(connectTimer);
      this.ready = true;
      socket.write(encodeFrame({ kind: 'hello', node: this.self }));
    });
    // 'close' follows every error.
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(connectTimer);
      this.ready = false;
      if (!this.closed) setTimeout(() => this.open(), RECONNECT_MS);
    });
  }

  send(message: PeerMessage): void {
    const { socket } = this;
    if (!socket || !this.ready) return;
    // What a peer doesn't take in goes with the connection: messages are of the moment, and are not kept.
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      socket.destroy();
      return;
    }
    // All that one turn of the event loop has to say goes out in one write: each write has its price.
    if (socket.writableCorked === 0) {
      socket.cork();
      setImmediate(() => socket.uncork());
    }
    socket.write(encodeFrame(message));
  }

  close(): void {
    this.closed = true;
    this.socket?.destroy();
  }
}
