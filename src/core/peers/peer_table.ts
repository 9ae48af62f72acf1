/** What is known of the other controllers. */
import type { PeerStatus } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { ControllerName, MonotonicTime } from '../types.js';

/** A peer that was heard within this time counts as alive. */
const PEER_ALIVE_MS = 3500;
/** Only a leader heard this recently is passed heartbeats, or named to workers without asking the state store. */
const REACHABLE_MS = 2500;

/** What is known of a peer. */
export interface Peer {
  readonly name: ControllerName;
  /** As the peer last told it. */
  readonly status: PeerStatus;
  readonly lastHeardAt: MonotonicTime;
  /** Since when it has been heard without a gap. */
  readonly reachableSince: MonotonicTime;
  /** It left a forwarded heartbeat without a response: until then it is given no others. */
  readonly heartbeatsPausedUntil: MonotonicTime;
}

/** The peers that were heard at least once, by the status that each sends once a second. */
export class PeerTable {
  private readonly peers = new Map<ControllerName, Peer>();

  constructor(private readonly context: StepContext) {}

  /** Undefined where the peer was never heard. */
  get(name: ControllerName): Peer | undefined {
    return this.peers.get(name);
  }

  /** The peers that were heard at least once, alive or not. */
  all(): Iterable<Peer> {
    return this.peers.values();
  }

  /** A peer has told how it is. */
  onStatus(name: ControllerName, status: PeerStatus): void {
    const { monotonic } = this.context.now;
    const known = this.peers.get(name);
    const reachableSince = known && this.isAlive(known) ? known.reachableSince : monotonic;
    const heartbeatsPausedUntil = known?.heartbeatsPausedUntil ?? monotonic;
    this.peers.set(name, { name, status, lastHeardAt: monotonic, reachableSince, heartbeatsPausedUntil });
  }

  /** No heartbeats are forwarded to the peer for so many milliseconds. */
  pauseHeartbeats(name: ControllerName, ms: number): void {
    const peer = this.peers.get(name);
    if (peer) this.peers.set(name, { ...peer, heartbeatsPausedUntil: this.context.after(ms) });
  }

  /** Whether heartbeats may be forwarded to the peer again. */
  takesHeartbeats({ heartbeatsPausedUntil }: Peer): boolean {
    return heartbeatsPausedUntil <= this.context.now.monotonic;
  }

  /** Whether the peer was heard lately enough to count on. */
  isAlive(peer: Peer, now: MonotonicTime = this.context.now.monotonic): boolean {
    return now - peer.lastHeardAt < PEER_ALIVE_MS;
  }

  /** Whether messages to it are likely to arrive and be answered now. */
  isReachable(peer: Peer): boolean {
    return this.context.now.monotonic - peer.lastHeardAt < REACHABLE_MS;
  }

  /** Whether any peer was heard lately enough to count on. */
  isAnyAlive(now: MonotonicTime): boolean {
    for (const peer of this.peers.values()) if (this.isAlive(peer, now)) return true;
    return false;
  }
}
