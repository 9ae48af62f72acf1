import { connect, createServer, type Server, type Socket } from 'node:net';
import type { PeerMessage } from '../core/messages.js';
import type { NodeName } from '../core/types.js';
import { hostPort } from './address.js';
import type { Log } from './log.js';
import { encodeFrame, FrameSplitter, type PeerFrame } from './peer_codec.js';

const RETRY_MS = 500;
const CONNECT_MS = 1500;
const BACKLOG_MAX = 128 * 1024;
const QUIET_MS = 10_000;
const INBOUND_MAX = 32;

/** One connection out to each peer for what we say, and one in from each for what it says. */
export class PeerLink {
  private readonly out = new Map<NodeName, Outbound>();
  private readonly server: Server;
  private readonly names: ReadonlySet<string>;

  constructor(
    private readonly me: NodeName,
    peers: readonly { readonly name: NodeName; readonly addr: string }[],
    private readonly receive: (from: NodeName, message: PeerMessage) => void,
    private readonly log: Log,
  ) {
    this.names = new Set(peers.map((p) => p.name));
    for (const p of peers) this.out.set(p.name, new Outbound(me, p.addr));
    this.server = createServer((socket) => this.accept(socket));
    this.server.maxConnections = INBOUND_MAX;
  }

  listen(addr: string): void {
    const { host, port } = hostPort(addr);
    this.server.on('error', (e) => this.log('error', 'peer listener failed', { error: e.message }));
    this.server.listen(port, host);
    for (const o of this.out.values()) o.open();
  }

  send(to: NodeName, message: PeerMessage): void {
    this.out.get(to)?.send(message);
  }

  close(): void {
    this.server.close();
    for (const o of this.out.values()) o.close();
  }

  private accept(socket: Socket): void {
    const splitter = new FrameSplitter();
    let from: NodeName | null = null;
    let told = 0;
    socket.setNoDelay(true);
    socket.setTimeout(QUIET_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('data', (part) => {
      let frames: PeerFrame[];
      try {
        frames = splitter.push(part);
      } catch (e) {
        this.log('info', 'peer connection dropped', { peer: from, why: (e as Error).message });
        socket.destroy();
        return;
      }
      // Told at growing distances, as a flood of them must not become a flood of lines.
      if (splitter.skipped > told) {
        told = Math.max(1, told) * 2;
        this.log('info', 'peer frames of unknown kind or version passed over', { peer: from, count: splitter.skipped });
      }
      for (const frame of frames) {
        if (frame.kind === 'hello') {
          if (!this.names.has(frame.node) || frame.node === this.me) return void socket.destroy();
          from = frame.node;
        } else if (from !== null) this.receive(from, frame);
      }
    });
  }
}

class Outbound {
  private socket: Socket | null = null;
  private ready = false;
  private closed = false;
  private readonly host: string;
  private readonly port: number;

  constructor(
    private readonly me: NodeName,
    addr: string,
  ) {
    const { host, port } = hostPort(addr);
    this.host = host;
    this.port = port;
  }

  open(): void {
    if (this.closed) return;
    const socket = connect({ host: this.host, port: this.port, noDelay: true });
    this.socket = socket;
    this.ready = false;
    const giveUp = setTimeout(() => socket.destroy(), CONNECT_MS);
    socket.on('connect', () => {
      clearTimeout(giveUp);
      this.ready = true;
      socket.write(encodeFrame({ kind: 'hello', node: this.me }));
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(giveUp);
      this.ready = false;
      if (!this.closed) setTimeout(() => this.open(), RETRY_MS);
    });
  }

  send(message: PeerMessage): void {
    const { socket } = this;
    if (!socket || !this.ready) return;
    // What a peer doesn't take in is dropped with the connection, not kept: the messages are of the moment.
    if (socket.writableLength > BACKLOG_MAX) return void socket.destroy();
    // What one turn of the loop has to say goes out in one write: reports come in crowds, and each write has its price.
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
