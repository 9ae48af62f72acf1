/** Sends this controller's status to the peers, and steps down if workers reach a peer but not this leader. */
import type { PeerStatus } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { MonotonicTime } from '../types.js';
import type { Peer, PeerTable } from './peer_table.js';

/** The value of `sinceLastHeartbeatMs` in the status of a controller that has never received a heartbeat. */
const NO_HEARTBEAT_YET = -1;

/** The parts of the election that the status exchange uses. */
interface LeadershipControl {
  /** Null while this controller is not the leader. */
  readonly leadership: object | null;
  /** The time at which this controller was last elected, or was started. */
  readonly electedAt: MonotonicTime;
  /** Returns whether this controller is the leader, and no other controller can be at this moment. */
  isLeaseValid(): boolean;
  stepDown(reason: 'isolated from workers'): void;
}

/** Statistics of the heartbeats that this controller receives. */
interface HeartbeatTraffic {
  readonly heartbeatsPerSecond: number;
  /** Milliseconds since a heartbeat last reached this controller, directly or through a peer. Null if none ever did. */
  readonly sinceLastHeartbeatMs: number | null;
  /** Updates `heartbeatsPerSecond` with the heartbeats since the previous call. */
  updateRate(): void;
  prefersDirectHeartbeats(): boolean;
}

/** Sends this controller's status, and compares its heartbeat traffic with the status of the peers. */
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

  /**
   * Steps down if no worker's heartbeats reach this leader while they reach a peer. Such a leader cannot do its work,
   * and keeps the peer from being elected.
   */
  stepDownIfIsolated(): void {
    if (!this.election.leadership || !this.receivesNoHeartbeats()) return;
    for (const peer of this.peers.all()) {
      if (!this.receivesHeartbeats(peer)) continue;
      this.election.stepDown('isolated from workers');
      return;
    }
  }

  private get isolationMs(): number {
    return this.context.tuning.leadership.resign_after_ms;
  }

  private receivesNoHeartbeats(): boolean {
    const { monotonic } = this.context.now;
    const leadingMs = monotonic - this.election.electedAt;
    return Math.min(this.traffic.sinceLastHeartbeatMs ?? monotonic, leadingMs) >= this.isolationMs;
  }

  private receivesHeartbeats(peer: Peer): boolean {
    // A peer that has just become alive again received its heartbeats while it could not forward them. It forwards
    // heartbeats from now on, so the earlier ones don't show that this leader is isolated.
    if (this.context.now.monotonic - peer.aliveSince < this.isolationMs) return false;
    const { sinceLastHeartbeatMs } = peer.status;
    return this.peers.isReachable(peer) && sinceLastHeartbeatMs >= 0 && sinceLastHeartbeatMs < this.isolationMs / 2;
  }
}
