import type { PeerStatus } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { ControllerName, MonotonicTime } from '../types.js';

/** A peer that was heard within this time counts as alive. */
const PEER_ALIVE_MS = 3500;
/** Only a leader that was heard this recently is passed reports, or named to workers without asking the state service. */
const REACHABLE_MS = 2500;

/** What is known of a peer. */
export interface Peer {
  readonly name: ControllerName;
  status: PeerStatus;
  lastHeardAt: MonotonicTime;
  /** Since when it has been heard of without a gap. */
  reachableSince: MonotonicTime;
  /** It left a forwarded report without an answer: until then it is given no others. */
  heartbeatsPausedUntil: MonotonicTime;
}

/** The other controller nodes, by the status that each sends once a second. */
export class PeerTable {
  private readonly peers = new Map<ControllerName, Peer>();

  constructor(private readonly context: StepContext) {}

  get(name: ControllerName): Peer | undefined {
    return this.peers.get(name);
  }

  all(): Iterable<Peer> {
    return this.peers.values();
  }

  onStatus(name: ControllerName, status: PeerStatus): void {
    const { monotonic } = this.context.now;
    const known = this.peers.get(name);
    if (!known) {
      this.peers.set(name, {
        name,
        status,
        lastHeardAt: monotonic,
        reachableSince: monotonic,
        heartbeatsPausedUntil: monotonic,
      });
      return;
    }
    if (!this.isAlive(known)) known.reachableSince = monotonic;
    known.status = status;
    known.lastHeardAt = monotonic;
  }

  isAlive(peer: Peer, now: MonotonicTime = this.context.now.monotonic): boolean {
    return now - peer.lastHeardAt < PEER_ALIVE_MS;
  }

  /** Whether messages to it are likely to arrive and be answered now. */
  isReachable(peer: Peer): boolean {
    return this.context.now.monotonic - peer.lastHeardAt < REACHABLE_MS;
  }

  isAnyAlive(now: MonotonicTime): boolean {
    for (const peer of this.peers.values()) if (this.isAlive(peer, now)) return true;
    return false;
  }
}
