/**
 * Connections between this controller and its peers. Messages to a peer are sent on a connection that this controller
 * opens. Messages from a peer arrive on a connection that the peer opens.
 */
import { createServer, type Server, type Socket } from 'node:net';
import type { PeerAddress } from '../../config/platform.js';
import { logEntry } from '../../core/log_events.js';
import type { PeerMessage } from '../../core/messages.js';
import type { ControllerName } from '../../core/types.js';
import { parseHostPort } from '../address.js';
import type { Log } from '../log.js';
import { InboundConnection, type OnPeerMessage } from './inbound_connection.js';
import { OutboundConnection } from './outbound_connection.js';

const MAX_INBOUND_CONNECTIONS = 32;

/** Owns the listener for peers and all connections with peers, until `close`. */
export class PeerConnections {
  private readonly outbound = new Map<ControllerName, OutboundConnection>();
  private readonly inbound = new Set<Socket>();
  private readonly server: Server;

  /**
   * `self` is this controller's name, and `peers` are the other controllers. No connection is opened before `listen`.
   */
  constructor(
    private readonly self: ControllerName,
    peers: readonly PeerAddress[],
    private readonly onMessage: OnPeerMessage,
    private readonly log: Log,
  ) {
    for (const { name, address } of peers) this.outbound.set(name, new OutboundConnection(self, address));
    this.server = createServer((socket) => this.accept(socket));
    this.server.maxConnections = MAX_INBOUND_CONNECTIONS;
  }

  /**
   * Listens on `address` (`host:port`) and connects to all peers. A failure to listen is only logged, because messages
   * can still be sent to the peers.
   */
  listen(address: string): void {
    const { host, port } = parseHostPort(address);
    this.server.on('error', (error) => this.log(logEntry('peer listener failed', { error: error.message })));
    this.server.listen(port, host);
    for (const connection of this.outbound.values()) connection.open();
  }

  /** Sends a message to a peer. Drops it if the peer is unknown, not connected or unresponsive. */
  send(recipient: ControllerName, message: PeerMessage): void {
    this.outbound.get(recipient)?.send(message);
  }

  /** Closes the listener and all connections in both directions. */
  close(): void {
    this.server.close();
    for (const socket of this.inbound) socket.destroy();
    for (const connection of this.outbound.values()) connection.close();
  }

  private accept(socket: Socket): void {
    this.inbound.add(socket);
    socket.once('close', () => this.inbound.delete(socket));
    new InboundConnection(socket, (name) => this.isPeer(name), this.onMessage, this.log);
  }

  private isPeer(name: ControllerName): boolean {
    return this.outbound.has(name) && name !== this.self;
  }
}
