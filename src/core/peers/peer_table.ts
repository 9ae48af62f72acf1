import type { Context } from '../context.js';
import type { PeerStatus } from '../messages.js';
import type { NodeName, Steady } from '../types.js';

/** A peer that was heard within this time counts as alive. */
const PEER_ALIVE_MS = 3500;
/** Only a leader that was heard this recently is passed reports, or named to workers without asking the state service. */
const LINK_FRESH_MS = 2500;

/** What is known of a peer. */
export interface Peer {
  readonly name: NodeName;
  status: PeerStatus;
  heardAt: Steady;
  /** Since when it has been heard of without a gap. */
  heardSince: Steady;
  /** It left a forwarded report without an answer: until then it is given no others. */
  reportsPausedUntil: Steady;
}

/** The other controller nodes, by the status that each sends once a second. */
export class PeerTable {
  private readonly peers = new Map<NodeName, Peer>();

  constructor(private readonly ctx: Context) {}

  get(name: NodeName): Peer | undefined {
    return this.peers.get(name);
  }

  all(): Iterable<Peer> {
    return this.peers.values();
  }

  onStatus(name: NodeName, status: PeerStatus): void {
    const { steady } = this.ctx.now;
    const known = this.peers.get(name);
    if (!known) {
      this.peers.set(name, { name, status, heardAt: steady, heardSince: steady, reportsPausedUntil: steady });
      return;
    }
    if (!this.isAlive(known)) known.heardSince = steady;
    known.status = status;
    known.heardAt = steady;
  }

  isAlive(peer: Peer, now: Steady = this.ctx.now.steady): boolean {
    return now - peer.heardAt < PEER_ALIVE_MS;
  }

  /** Whether messages to it are likely to arrive and be answered now. */
  isLinkFresh(peer: Peer): boolean {
    return this.ctx.now.steady - peer.heardAt < LINK_FRESH_MS;
  }

  anyAlive(now: Steady): boolean {
    for (const peer of this.peers.values()) if (this.isAlive(peer, now)) return true;
    return false;
  }
}
