/** Receives messages on a connection that a peer opened. */
import type { Socket } from 'node:net';
import { logEntry } from '../../core/log_events.js';
import type { PeerMessage } from '../../core/messages.js';
import type { ControllerName } from '../../core/types.js';
import type { Log } from '../log.js';
import { FrameSplitter, type PeerFrame } from './peer_codec.js';

/** Called with each message from a peer. */
export type OnPeerMessage = (sender: ControllerName, message: PeerMessage) => void;

/** Time without data after which a connection is closed, in milliseconds. Peers send their status once a second. */
const IDLE_TIMEOUT_MS = 10_000;

/** Reads one connection until it ends. Messages that arrive before the peer's `hello` frame are discarded. */
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
    socket.on('data', (chunk) => this.onData(chunk));
  }

  private onData(chunk: Buffer): void {
    let frames: PeerFrame[];
    try {
      frames = this.splitter.push(chunk);
    } catch (error) {
      this.log(logEntry('peer connection dropped', { peer: this.sender, reason: (error as Error).message }));
      this.socket.destroy();
      return;
    }
    this.logSkipped();
    for (const frame of frames) if (!this.handleFrame(frame)) return;
  }

  /** Returns false if the frame caused the connection to be closed. */
  private handleFrame(frame: PeerFrame): boolean {
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

  /**
   * Logs the number of skipped frames each time it has more than doubled. This keeps a flood of unknown frames from
   * flooding the log.
   */
  private logSkipped(): void {
    const { skipped } = this.splitter;
    if (skipped < this.nextLoggedCount) return;
    this.nextLoggedCount = 2 * skipped + 1;
    this.log(logEntry('unknown peer frames skipped', { peer: this.sender, count: skipped }));
  }
}
