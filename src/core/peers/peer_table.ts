/** The known state of the other controllers. */
import type { PeerStatus } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { ControllerName, MonotonicTime } from '../types.js';

/** Maximum age of the last status of a peer that counts as alive. */
const PEER_ALIVE_MS = 3500;
/**
 * Maximum age of a leader's last status at which heartbeats are forwarded to it, or workers redirected to it without
 * confirmation from the state store.
 */
const REACHABLE_MS = 2500;

/** The known state of a peer. */
export interface Peer {
  readonly name: ControllerName;
  /** The last status that the peer sent. */
  readonly status: PeerStatus;
  readonly lastStatusAt: MonotonicTime;
  /** The time since which the peer has been alive without interruption. */
  readonly aliveSince: MonotonicTime;
  /** The time until which no heartbeats are forwarded to the peer, because it did not respond to one. */
  readonly heartbeatsPausedUntil: MonotonicTime;
}

/** The peers that have sent at least one status. Each controller sends its status once a second. */
export class PeerTable {
  private readonly peers = new Map<ControllerName, Peer>();

  constructor(private readonly context: StepContext) {}

  /** Returns undefined if the peer has never sent a status. */
  get(name: ControllerName): Peer | undefined {
    return this.peers.get(name);
  }

  /** Returns the peers that have sent at least one status, alive or not. */
  all(): Iterable<Peer> {
    return this.peers.values();
  }

  /** Handles a status message of a peer. */
  onStatus(name: ControllerName, status: PeerStatus): void {
    const { monotonic } = this.context.now;
    const known = this.peers.get(name);
    const aliveSince = known && this.isAlive(known) ? known.aliveSince : monotonic;
    const heartbeatsPausedUntil = known?.heartbeatsPausedUntil ?? monotonic;
    this.peers.set(name, { name, status, lastStatusAt: monotonic, aliveSince, heartbeatsPausedUntil });
  }

  /** Stops forwarding heartbeats to the peer for `ms` milliseconds. */
  pauseHeartbeats(name: ControllerName, ms: number): void {
    const peer = this.peers.get(name);
    if (peer) this.peers.set(name, { ...peer, heartbeatsPausedUntil: this.context.after(ms) });
  }

  /** Returns whether the forwarding of heartbeats to the peer is not paused. */
  acceptsHeartbeats({ heartbeatsPausedUntil }: Peer): boolean {
    return heartbeatsPausedUntil <= this.context.now.monotonic;
  }

  /** Returns whether the peer's last status is recent enough for it to count as alive. */
  isAlive(peer: Peer, now: MonotonicTime = this.context.now.monotonic): boolean {
    return now - peer.lastStatusAt < PEER_ALIVE_MS;
  }

  /** Returns whether the peer's last status is so recent that it is likely to receive messages and respond to them. */
  isReachable(peer: Peer): boolean {
    return this.context.now.monotonic - peer.lastStatusAt < REACHABLE_MS;
  }

  isAnyAlive(now: MonotonicTime): boolean {
    for (const peer of this.peers.values()) if (this.isAlive(peer, now)) return true;
    return false;
  }

  /** Returns whether any peer is alive and reaches the state store, so that it could be elected. */
  isAnyAbleToLead(): boolean {
    for (const peer of this.peers.values()) if (this.isAlive(peer) && peer.status.stateStoreReachable) return true;
    return false;
  }
}
