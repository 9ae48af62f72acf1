/** The connection that one peer opened: what comes in on it. */
import type { Socket } from 'node:net';
import { logEntry } from '../../core/log_events.js';
import type { PeerMessage } from '../../core/messages.js';
import type { ControllerName } from '../../core/types.js';
import type { Log } from '../log.js';
import { FrameSplitter, type PeerFrame } from './peer_codec.js';

/** Takes what a peer says. */
export type OnPeerMessage = (sender: ControllerName, message: PeerMessage) => void;

/** A connection that says nothing for so long is closed: peers send their status once a second. */
const IDLE_TIMEOUT_MS = 10_000;

/** Reads one connection until it ends; nothing counts before the peer has said who it is. */
export class InboundConnection {
  private readonly splitter = new FrameSplitter();
  private sender: ControllerName | null = null;
  private nextLoggedCount = 1;

  constructor(
    private readonly socket: Socket,
    private readonly isPeer: (name: ControllerName) => boolean,
    private readonly onMessage: OnPeerMessage,
    private readonly log: Log,
  ) {
    socket.setNoDelay(true);
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('data', (part) => this.onData(part));
  }

  private onData(part: Buffer): void {
    let frames: PeerFrame[];
    try {
      frames = this.splitter.push(part);
    } catch (error) {
      this.log(logEntry('peer connection dropped', { peer: this.sender, reason: (error as Error).message }));
      this.socket.destroy();
      return;
    }
    this.logSkipped();
    for (const frame of frames) if (!this.accept(frame)) return;
  }

  /** Returns whether the connection goes on. */
  private accept(frame: PeerFrame): boolean {
    if (frame.kind !== 'hello') {
      if (this.sender !== null) this.onMessage(this.sender, frame);
      return true;
    }
    if (!this.isPeer(frame.sender)) {
      this.socket.destroy();
      return false;
    }
    this.sender = frame.sender;
    return true;
  }

  /** Logged at growing distances: a flood of unknown frames must not become a flood of lines. */
  private logSkipped(): void {
    const { skipped } = this.splitter;
    if (skipped < this.nextLoggedCount) return;
    this.nextLoggedCount = 2 * skipped + 1;
    this.log(logEntry('unknown peer frames skipped', { peer: this.sender, count: skipped }));
  }
}
