/** The connection that this controller opens to one peer: what goes out on it. */
import { connect, type Socket } from 'node:net';
import type { PeerMessage } from '../../core/messages.js';
import type { ControllerName } from '../../core/types.js';
import { parseHostPort } from '../address.js';
import { encodeFrame } from './peer_codec.js';

const RECONNECT_MS = 500;
const CONNECT_TIMEOUT_MS = 1500;
/** What the socket may hold unsent before the peer counts as one that takes nothing in. */
const MAX_UNSENT_BYTES = 128 * 1024;

/** Opened again whenever it ends, until it is closed. What can't be sent now is dropped. */
export class OutboundConnection {
  private socket: Socket | null = null;
  private isConnected = false;
  private isClosed = false;
  private reconnectTimer: NodeJS.Timeout | null = null;
  private readonly host: string;
  private readonly port: number;

  /** `self` is this controller's name, `address` the peer's `host:port`. */
  constructor(
    private readonly self: ControllerName,
    address: string,
  ) {
    const { host, port } = parseHostPort(address);
    this.host = host;
    this.port = port;
  }

  /** Connects, and goes on trying until `close`. */
  open(): void {
    if (this.isClosed) return;
    const socket = connect({ host: this.host, port: this.port, noDelay: true });
    this.socket = socket;
    this.isConnected = false;
    const connectTimer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(connectTimer);
      this.isConnected = true;
      socket.write(encodeFrame({ kind: 'hello', sender: this.self }));
    });
    // 'close' follows every error.
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(connectTimer);
      this.isConnected = false;
      this.reconnectLater();
    });
  }

  private reconnectLater(): void {
    if (!this.isClosed) this.reconnectTimer = setTimeout(() => this.open(), RECONNECT_MS);
  }

  /** Sends a message, or drops it if there is no connection or the peer takes nothing in. */
  send(message: PeerMessage): void {
    const { socket } = this;
    if (!socket || !this.isConnected) return;
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

  /** Ends the connection for good. */
  close(): void {
    this.isClosed = true;
    if (this.reconnectTimer) clearTimeout(this.reconnectTimer);
    this.socket?.destroy();
  }
}
