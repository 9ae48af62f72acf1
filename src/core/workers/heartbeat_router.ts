import type { HeartbeatResponse, RequestId } from '../messages.js';
import type { HeartbeatForwarding } from '../peers/heartbeat_forwarding.js';
import type { Peer, PeerTable } from '../peers/peer_table.js';
import type { StepContext } from '../step_context.js';
import type { ControllerName, Heartbeat, MachineId, MonotonicTime } from '../types.js';
import type { HeartbeatResponder } from './heartbeat_response.js';

/** A leader sends workers to other nodes down to this part of their mean load. */
const LEADER_HEARTBEAT_SHARE = 0.4;
const LEADER_MIN_HEARTBEATS_PER_SECOND = 4;
/** One report in so many may be redirected: the rates that decide are a second old. */
const REDIRECT_ONE_IN = 4;
/** A leader takes reports itself only while workers reach it: after taking the lead, and as long as ... */
const PREFERS_DIRECT_GRACE_MS = 4000;
const DIRECT_HEARTBEAT_FRESH_MS = 1500;
/** A worker that comes back from the leader within this time couldn't reach it, and is served through this node. */
const REDIRECT_AGAIN_MS = 30_000;
const MAX_REMEMBERED_REDIRECTS = 5000;
/** The part of its sockets that a leader gives to workers. */
const WORKER_SOCKET_SHARE = 0.5;
const RATE_WINDOW_SECONDS = 0.9;
const RATE_SMOOTHING = 0.5;

/** What this controller knows of the election. */
export interface LeadershipView {
  /** When this controller last became leader, on the monotonic clock. */
  readonly electedAt: MonotonicTime;
  /** Whether this controller holds the leader lease at this moment. */
  isLeaseValid(): boolean;
  /** Whether the leader that `leaderName` names is known to lead now, and not only the last one heard of. */
  isLeaderKnown(): boolean;
  /** The leader as far as this controller knows; null where it knows none. */
  leaderName(): ControllerName | null;
}

/** The leader, where this controller is it. */
export interface HeartbeatReceiver {
  readonly machineCount: number;
  onHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder): void;
}

/**
 * Decides who takes a worker's report: the leader, by itself or through this node, or another node that the worker is sent
 * to. Any node takes reports, as a leader's own sockets are too dear for all of them.
 */
export class HeartbeatRouter {
  private heartbeatsCounted = 0;
  private countedSince: MonotonicTime;
  private smoothedRate = 0;
  private redirectsConsidered = 0;
  /** When a worker was last heard, by whatever way; null: never. */
  private lastHeartbeatAt: MonotonicTime | null = null;
  /** The last report that came from the worker itself. */
  private lastDirectHeartbeatAt = 0 as MonotonicTime;
  private readonly redirectedAt = new Map<MachineId, MonotonicTime>();

  constructor(
    private readonly context: StepContext,
    private readonly election: LeadershipView,
    private readonly peers: PeerTable,
    private readonly forwarding: HeartbeatForwarding,
    private readonly currentLeader: () => HeartbeatReceiver | null,
  ) {
    this.countedSince = context.now.monotonic;
  }

  /** Workers' reports a second that reach this node itself. */
  get heartbeatsPerSecond(): number {
    return this.smoothedRate;
  }

  /** Milliseconds since a worker last reached this node; null: never. */
  get sinceLastHeartbeatMs(): number | null {
    return this.lastHeartbeatAt === null ? null : this.context.now.monotonic - this.lastHeartbeatAt;
  }

  /** A report from the worker itself. */
  onHeartbeat(req: RequestId, report: Heartbeat): void {
    this.lastHeartbeatAt = this.context.now.monotonic;
    this.lastDirectHeartbeatAt = this.context.now.monotonic;
    this.heartbeatsCounted += 1;
    const answer = (given: HeartbeatResponse): void => this.context.outbox.respondToWorker(req, given);
    const leader = this.currentLeader();
    if (!leader) {
      this.forwardToLeader(report, answer);
      return;
    }
    const other = this.redirectTarget();
    if (other !== null) answer({ status: 421, redirectTo: other });
    else leader.onHeartbeat(report, answer);
  }

  /** A report that a peer passed on. */
  onForwardedHeartbeat(report: Heartbeat, answer: (answer: HeartbeatResponse) => void): void {
    const leader = this.currentLeader();
    if (!leader) {
      answer({ status: 503 });
      return;
    }
    this.lastHeartbeatAt = this.context.now.monotonic;
    leader.onHeartbeat(report, answer);
  }

  private forwardToLeader(report: Heartbeat, answer: (answer: HeartbeatResponse) => void): void {
    const holder = this.election.leaderName();
    if (holder === null || holder === this.context.settings.controller) {
      answer({ status: 503 });
      return;
    }
    const peer = this.peers.get(holder);
    if (peer && this.mayForwardTo(peer)) {
      if (peer.status.prefersDirectHeartbeats && this.mayRedirect(report.machine)) {
        answer({ status: 421, redirectTo: holder });
        return;
      }
      this.forwarding.forward(holder, report, answer);
      return;
    }
    // The way to the leader may be open to the worker: but only one known to lead now is named, so that no worker is
    // kept going round.
    answer(this.election.isLeaderKnown() ? { status: 421, redirectTo: holder } : { status: 503 });
  }

  private mayForwardTo(peer: Peer): boolean {
    return (
      peer.status.isLeader && this.peers.isReachable(peer) && peer.heartbeatsPausedUntil <= this.context.now.monotonic
    );
  }

  /**
   * Whether this leader would rather hear workers itself: passing a report on costs as much again as taking it. Not
   * while none reaches it, so that a leader cut off from workers isn't named to them.
   */
  prefersDirectHeartbeats(): boolean {
    const { settings, tuning, now } = this.context;
    const leader = this.currentLeader();
    if (!leader || !this.election.isLeaseValid()) return false;
    if (settings.limits.cpuShare < tuning.leadership.reports_cpu_share) return false;
    if (leader.machineCount > settings.limits.maxConnections * WORKER_SOCKET_SHARE) return false;
    return (
      now.monotonic - this.election.electedAt < PREFERS_DIRECT_GRACE_MS ||
      now.monotonic - this.lastDirectHeartbeatAt < DIRECT_HEARTBEAT_FRESH_MS
    );
  }

  private mayRedirect(machine: MachineId): boolean {
    const { monotonic } = this.context.now;
    const before = this.redirectedAt.get(machine);
    if (before !== undefined && monotonic - before < REDIRECT_AGAIN_MS) return false;
    if (this.redirectedAt.size >= MAX_REMEMBERED_REDIRECTS) this.redirectedAt.clear();
    this.redirectedAt.set(machine, monotonic);
    return true;
  }

  /** A node to which this leader sends a worker, to have its own share of the core for what only it can do. */
  private redirectTarget(): ControllerName | null {
    if (this.prefersDirectHeartbeats()) return null;
    let leastLoaded: Peer | null = null;
    let totalRate = 0;
    let candidates = 0;
    for (const peer of this.peers.all()) {
      const { status } = peer;
      if (!this.peers.isReachable(peer) || status.sinceLastHeartbeatMs < 0 || !status.stateStoreReachable) continue;
      candidates += 1;
      totalRate += status.heartbeatsPerSecond;
      if (leastLoaded === null || status.heartbeatsPerSecond < leastLoaded.status.heartbeatsPerSecond)
        leastLoaded = peer;
    }
    if (leastLoaded === null || this.smoothedRate < LEADER_MIN_HEARTBEATS_PER_SECOND) return null;
    if (this.smoothedRate < LEADER_HEARTBEAT_SHARE * (totalRate / candidates) + 1) return null;
    this.redirectsConsidered += 1;
    return this.redirectsConsidered % REDIRECT_ONE_IN === 0 ? leastLoaded.name : null;
  }

  /** Called about once a second. */
  updateRate(): void {
    const seconds = (this.context.now.monotonic - this.countedSince) / 1000;
    if (seconds < RATE_WINDOW_SECONDS) return;
    const rate = this.heartbeatsCounted / seconds;
    this.smoothedRate = (1 - RATE_SMOOTHING) * this.smoothedRate + RATE_SMOOTHING * rate;
    this.heartbeatsCounted = 0;
    this.countedSince = this.context.now.monotonic;
  }
}
