import { createServer, type Server, type Socket } from 'node:net';
import type { PeerAddress } from '../../config/platform.js';
import type { PeerMessage } from '../../core/messages.js';
import type { ControllerName } from '../../core/types.js';
import { parseHostPort } from '../address.js';
import type { Log } from '../log.js';
import { OutboundConnection } from './outbound_connection.js';
import { FrameSplitter, type PeerFrame } from './peer_codec.js';

const IDLE_TIMEOUT_MS = 10_000;
const MAX_INBOUND_CONNECTIONS = 32;

/** One connection out to each peer for what this node says, and one in from each for what the peer says. */
export class PeerConnections {
  private readonly outbound = new Map<ControllerName, OutboundConnection>();
  private readonly server: Server;
  private readonly peerNames: ReadonlySet<string>;

  constructor(
    private readonly self: ControllerName,
    peers: readonly PeerAddress[],
    private readonly onMessage: (from: ControllerName, message: PeerMessage) => void,
    private readonly log: Log,
  ) {
    this.peerNames = new Set(peers.map((peer) => peer.name));
    for (const { name, address } of peers) this.outbound.set(name, new OutboundConnection(self, address));
    this.server = createServer((socket) => this.accept(socket));
    this.server.maxConnections = MAX_INBOUND_CONNECTIONS;
  }

  listen(addr: string): void {
    const { host, port } = parseHostPort(addr);
    this.server.on('error', (error) => this.log('error', 'peer listener failed', { error: error.message }));
    this.server.listen(port, host);
    for (const connection of this.outbound.values()) connection.open();
  }

  send(to: ControllerName, message: PeerMessage): void {
    this.outbound.get(to)?.send(message);
  }

  close(): void {
    this.server.close();
    for (const connection of this.outbound.values()) connection.close();
  }

  private accept(socket: Socket): void {
    const inbound = new InboundConnection(socket, this.onMessage, this.log, (name) => this.isPeer(name));
    socket.setNoDelay(true);
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('data', (part) => inbound.onData(part));
  }

  private isPeer(name: ControllerName): boolean {
    return this.peerNames.has(name) && name !== this.self;
  }
}

/** What a peer says on one connection; nothing counts before it has said who it is. */
class InboundConnection {
  private readonly splitter = new FrameSplitter();
  private sender: ControllerName | null = null;
  private nextLoggedCount = 1;

  constructor(
    private readonly socket: Socket,
    private readonly onMessage: (from: ControllerName, message: PeerMessage) => void,
    private readonly log: Log,
    private readonly isPeer: (name: ControllerName) => boolean,
  ) {}

  onData(part: Buffer): void {
    let frames: PeerFrame[];
    try {
      frames = this.splitter.push(part);
    } catch (error) {
      this.log('info', 'peer connection dropped', { peer: this.sender, why: (error as Error).message });
      this.socket.destroy();
      return;
    }
    this.logSkipped();
    for (const frame of frames) {
      if (frame.kind !== 'hello') {
        if (this.sender !== null) this.onMessage(this.sender, frame);
      } else if (this.isPeer(frame.node)) {
        this.sender = frame.node;
      } else {
        this.socket.destroy();
        return;
      }
    }
  }

  /** Logged at growing distances: a flood of unknown frames must not become a flood of lines. */
  private logSkipped(): void {
    const { skipped } = this.splitter;
    if (skipped < this.nextLoggedCount) return;
    this.nextLoggedCount = 2 * skipped + 1;
    this.log('info', 'peer frames of unknown kind or version skipped', { peer: this.sender, count: skipped });
  }
}
