/** Sends messages on the connection that this controller opens to one peer. */
import { connect, type Socket } from 'node:net';
import type { PeerMessage } from '../../core/messages.js';
import type { ControllerName } from '../../core/types.js';
import { parseHostPort } from '../address.js';
import { encodeFrame } from './peer_codec.js';

const RECONNECT_MS = 500;
const CONNECT_TIMEOUT_MS = 1500;
/** Maximum number of unsent bytes in the socket's buffer. Above it the peer is considered unresponsive. */
const MAX_UNSENT_BYTES = 128 * 1024;

/**
 * A connection to one peer that is reopened whenever it ends, until `close`. Messages that can't be sent are dropped.
 */
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

  /** Connects to the peer, and reconnects until `close` whenever the connection fails or ends. */
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
    // Every error is followed by 'close'.
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(connectTimer);
      this.isConnected = false;
      this.scheduleReconnect();
    });
  }

  private scheduleReconnect(): void {
    if (!this.isClosed) this.reconnectTimer = setTimeout(() => this.open(), RECONNECT_MS);
  }

  /** Sends a message. Drops it if there is no connection or the peer is unresponsive. */
  send(message: PeerMessage): void {
    const { socket } = this;
    if (!socket || !this.isConnected) return;
    // Unsent messages are dropped together with the connection. They would be outdated on the next one.
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      socket.destroy();
      return;
    }
    // All messages of one event-loop turn are sent in a single write, because each write has a cost.
    if (socket.writableCorked === 0) {
      socket.cork();
      setImmediate(() => socket.uncork());
    }
    socket.write(encodeFrame(message));
  }

  /** Closes the connection permanently. */
  close(): void {
    this.isClosed = true;
    if (this.reconnectTimer) clearTimeout(this.reconnectTimer);
    this.socket?.destroy();
  }
}
