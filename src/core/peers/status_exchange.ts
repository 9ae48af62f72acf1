import type { Election } from '../leadership/election.js';
import type { PeerStatus } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { HeartbeatRouter } from '../workers/heartbeat_router.js';
import type { PeerTable } from './peer_table.js';

/** What a peer is told where no worker was ever heard. */
const NO_HEARTBEAT_YET = -1;

/** Tells the peers how this node is, and lets go of the lead where they are better placed for it. */
export class StatusExchange {
  constructor(
    private readonly context: StepContext,
    private readonly election: Election,
    private readonly peers: PeerTable,
    private readonly router: HeartbeatRouter,
  ) {}

  sendStatus(): void {
    this.router.updateRate();
    const heardMs = this.router.sinceLastHeartbeatMs;
    const status: PeerStatus = {
      isLeader: this.election.isLeaseValid(),
      stateStoreReachable: this.context.stateStore.failingSince === null,
      sinceLastHeartbeatMs: heardMs === null ? NO_HEARTBEAT_YET : Math.round(heardMs),
      heartbeatsPerSecond: this.router.heartbeatsPerSecond,
      prefersDirectHeartbeats: this.router.prefersDirectHeartbeats(),
      acknowledgesCancellations: true,
    };
    for (const peer of this.context.settings.peers)
      this.context.outbox.sendToPeer(peer.name, { kind: 'status', status });
  }

  /** A leader that no worker reaches, while they reach a peer, keeps the lead from being of use: it resigns. */
  resignIfIsolated(): void {
    if (!this.election.leadership) return;
    const { monotonic } = this.context.now;
    const limitMs = this.context.tuning.leadership.resign_after_ms;
    const ledMs = monotonic - this.election.electedAt;
    const heardMs = this.router.sinceLastHeartbeatMs ?? monotonic;
    if (Math.min(heardMs, ledMs) < limitMs) return;
    for (const peer of this.peers.all()) {
      const { sinceLastHeartbeatMs } = peer.status;
      // A peer that has just come back heard its workers without us; now it passes their reports on.
      if (monotonic - peer.reachableSince < limitMs) continue;
      if (this.peers.isReachable(peer) && sinceLastHeartbeatMs >= 0 && sinceLastHeartbeatMs < limitMs / 2) {
        this.election.stepDown('isolated from workers');
        return;
      }
    }
  }
}
