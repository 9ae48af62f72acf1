/** Tells the peers how this controller is, and steps down where a peer is better placed to lead. */
import type { PeerStatus } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { MonotonicTime } from '../types.js';
import type { Peer, PeerTable } from './peer_table.js';

/** What peers are told where no worker was ever heard. */
const NO_HEARTBEAT_YET = -1;

/** What is asked of the election. */
interface LeadershipControl {
  /** Null while this controller is not the leader. */
  readonly leadership: object | null;
  /** When this controller was last elected, or began. */
  readonly electedAt: MonotonicTime;
  /** Whether this controller is the leader, and no other can be at this moment. */
  isLeaseValid(): boolean;
  stepDown(reason: 'isolated from workers'): void;
}

/** What is asked of the heartbeats that reach this controller. */
interface HeartbeatTraffic {
  readonly heartbeatsPerSecond: number;
  /** Milliseconds since a worker last reached this controller; null: never. */
  readonly sinceLastHeartbeatMs: number | null;
  /** Takes in the rate since the last time. */
  updateRate(): void;
  prefersDirectHeartbeats(): boolean;
}

/** Sends this controller's status, and compares it with what the peers say. */
export class StatusExchange {
  constructor(
    private readonly context: StepContext,
    private readonly election: LeadershipControl,
    private readonly peers: PeerTable,
    private readonly traffic: HeartbeatTraffic,
  ) {}

  /** Sends this controller's status to all peers. */
  sendStatus(): void {
    this.traffic.updateRate();
    const status = this.currentStatus();
    for (const { name } of this.context.settings.peers)
      this.context.outbox.sendToPeer(name, { kind: 'status', status });
  }

  private currentStatus(): PeerStatus {
    const { sinceLastHeartbeatMs, heartbeatsPerSecond } = this.traffic;
    return {
      isLeader: this.election.isLeaseValid(),
      stateStoreReachable: this.context.stateStore.failingSince === null,
      sinceLastHeartbeatMs: sinceLastHeartbeatMs === null ? NO_HEARTBEAT_YET : Math.round(sinceLastHeartbeatMs),
      heartbeatsPerSecond,
      prefersDirectHeartbeats: this.traffic.prefersDirectHeartbeats(),
      acknowledgesCancellations: true,
    };
  }

  /** A leader that no worker reaches, while they reach a peer, keeps the role from being of use: it steps down. */
  stepDownIfIsolated(): void {
    if (!this.election.leadership || !this.isWithoutHeartbeats()) return;
    for (const peer of this.peers.all()) {
      if (!this.hearsWorkers(peer)) continue;
      this.election.stepDown('isolated from workers');
      return;
    }
  }

  private get isolationMs(): number {
    return this.context.tuning.leadership.resign_after_ms;
  }

  private isWithoutHeartbeats(): boolean {
    const { monotonic } = this.context.now;
    const leadingMs = monotonic - this.election.electedAt;
    return Math.min(this.traffic.sinceLastHeartbeatMs ?? monotonic, leadingMs) >= this.isolationMs;
  }

  private hearsWorkers(peer: Peer): boolean {
    // A peer that has just come back heard its workers without us; now it passes their heartbeats on.
    if (this.context.now.monotonic - peer.reachableSince < this.isolationMs) return false;
    const { sinceLastHeartbeatMs } = peer.status;
    return this.peers.isReachable(peer) && sinceLastHeartbeatMs >= 0 && sinceLastHeartbeatMs < this.isolationMs / 2;
  }
}
