/**
 * Routes workers' heartbeats to the leader, which processes them. Every controller accepts heartbeats, because serving
 * all workers directly would use too many of the leader's sockets. The leader receives heartbeats from the workers or
 * through another controller.
 */
import type { RequestId } from '../messages.js';
import type { HeartbeatForwarding } from '../peers/heartbeat_forwarding.js';
import type { Peer, PeerTable } from '../peers/peer_table.js';
import type { StepContext } from '../step_context.js';
import type { ControllerName, Heartbeat, MachineId, MonotonicTime } from '../types.js';
import { HeartbeatRate } from './heartbeat_rate.js';
import { type HeartbeatResponder, UNAVAILABLE } from './heartbeat_response.js';

/** A leader redirects workers until its heartbeat rate is about this share of the other controllers' mean rate. */
const LEADER_HEARTBEAT_SHARE = 0.4;
/** Minimum heartbeat rate at which a leader redirects workers. */
const LEADER_MIN_HEARTBEATS_PER_SECOND = 4;
/**
 * Number of heartbeats that qualify for a redirect per redirect that is sent. Not all are redirected, because the rates
 * that the decision uses are a second old.
 */
const REDIRECT_ONE_IN = 4;
/** Time after its election in which a leader prefers direct heartbeats even if none has arrived, in milliseconds. */
const PREFERS_DIRECT_GRACE_MS = 4000;
/** After the grace period, a leader prefers direct heartbeats only if one arrived within this time, in milliseconds. */
const DIRECT_HEARTBEAT_FRESH_MS = 1500;
/**
 * Time after a redirect in which the worker is not redirected again, in milliseconds. A worker that returns within it
 * could not reach the leader, so this controller forwards its heartbeats.
 */
const REDIRECT_COOLDOWN_MS = 30_000;
/** Maximum number of remembered redirects. When it is reached, all are discarded. */
const MAX_REMEMBERED_REDIRECTS = 5000;
/** Share of a leader's sockets that workers may use. With more machines, it does not prefer direct heartbeats. */
const WORKER_SOCKET_SHARE = 0.5;

/** This controller's knowledge of the leader election. */
interface LeadershipView {
  /** When this controller last became leader, on the monotonic clock. */
  readonly electedAt: MonotonicTime;
  /** Returns whether this controller holds the leader lease at this moment. */
  isLeaseValid(): boolean;
  /** Returns whether the name that `leaderName` returns was confirmed recently. */
  isLeaderKnown(): boolean;
  /** Returns the leader as far as this controller knows, or null if it knows none. */
  leaderName(): ControllerName | null;
}

/** The part of the leader that receives heartbeats. It exists only on the controller that leads. */
interface HeartbeatReceiver {
  readonly machineCount: number;
  onHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder): void;
}

/** The decision on how a heartbeat is routed. */
type Route =
  | { readonly kind: 'process'; readonly leader: HeartbeatReceiver }
  | { readonly kind: 'forward'; readonly leaderName: ControllerName }
  /** The worker is told to send its heartbeats to another controller. */
  | { readonly kind: 'redirect'; readonly redirectTo: ControllerName }
  /** No leader is reachable. */
  | { readonly kind: 'refuse' };

const REFUSE: Route = { kind: 'refuse' };

/** Decides for each heartbeat whether it is processed, forwarded, redirected or refused. */
export class HeartbeatRouter {
  private readonly rate: HeartbeatRate;
  private redirectsConsidered = 0;
  /** When the last heartbeat arrived, directly or through a peer. Null before the first. */
  private lastHeartbeatAt: MonotonicTime | null = null;
  /** When the last heartbeat arrived directly from a worker. */
  private lastDirectHeartbeatAt = 0 as MonotonicTime;
  private readonly redirectedAt = new Map<MachineId, MonotonicTime>();

  /** `currentLeader` returns the leader if this controller leads, and null otherwise. */
  constructor(
    private readonly context: StepContext,
    private readonly election: LeadershipView,
    private readonly peers: PeerTable,
    private readonly forwarding: HeartbeatForwarding,
    private readonly currentLeader: () => HeartbeatReceiver | null,
  ) {
    this.rate = new HeartbeatRate(context.now.monotonic);
  }

  /** Heartbeats per second that this controller receives directly from workers. */
  get heartbeatsPerSecond(): number {
    return this.rate.perSecond;
  }

  /** Milliseconds since the last heartbeat arrived, directly or through a peer. Null before the first. */
  get sinceLastHeartbeatMs(): number | null {
    return this.lastHeartbeatAt === null ? null : this.context.now.monotonic - this.lastHeartbeatAt;
  }

  /** Updates `heartbeatsPerSecond`. Called about once per second. */
  updateRate(): void {
    this.rate.update(this.context.now.monotonic);
  }

  /** Handles a heartbeat received directly from a worker. */
  onHeartbeat(requestId: RequestId, heartbeat: Heartbeat): void {
    this.lastHeartbeatAt = this.context.now.monotonic;
    this.lastDirectHeartbeatAt = this.context.now.monotonic;
    this.rate.count();
    const respond: HeartbeatResponder = (response) => this.context.outbox.respondToWorker(requestId, response);
    const route = this.route(heartbeat.machine);
    switch (route.kind) {
      case 'process':
        route.leader.onHeartbeat(heartbeat, respond);
        return;
      case 'forward':
        this.forwarding.forward(route.leaderName, heartbeat, respond);
        return;
      case 'redirect':
        respond({ status: 421, redirectTo: route.redirectTo });
        return;
      case 'refuse':
        respond(UNAVAILABLE);
    }
  }

  /**
   * Handles a heartbeat forwarded by a peer. Only a leader processes it. It is never forwarded again, to prevent loops.
   */
  onForwardedHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder): void {
    const leader = this.currentLeader();
    if (!leader) {
      respond(UNAVAILABLE);
      return;
    }
    this.lastHeartbeatAt = this.context.now.monotonic;
    leader.onHeartbeat(heartbeat, respond);
  }

  /**
   * Returns whether this leader prefers to receive heartbeats directly from workers, because forwarding one costs as
   * much again as processing it. It must have enough CPU and sockets. If no direct heartbeats arrive, it returns false,
   * so that workers are not redirected to a leader that is partitioned from them.
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

  private route(machine: MachineId): Route {
    const leader = this.currentLeader();
    if (!leader) return this.routeToLeader(machine);
    const redirectTo = this.redirectTarget();
    return redirectTo === null ? { kind: 'process', leader } : { kind: 'redirect', redirectTo };
  }

  private routeToLeader(machine: MachineId): Route {
    const leaderName = this.election.leaderName();
    if (leaderName === null || leaderName === this.context.settings.controller) return REFUSE;
    const peer = this.peers.get(leaderName);
    if (peer && this.mayForwardTo(peer)) {
      const isRedirected = peer.status.prefersDirectHeartbeats && this.tryRecordRedirect(machine);
      return isRedirected ? { kind: 'redirect', redirectTo: leaderName } : { kind: 'forward', leaderName };
    }
    // The worker may be able to reach the leader although this controller can't. It is redirected only to a controller
    // that is known to lead now, so that workers are not redirected in circles.
    return this.election.isLeaderKnown() ? { kind: 'redirect', redirectTo: leaderName } : REFUSE;
  }

  private mayForwardTo(peer: Peer): boolean {
    return peer.status.isLeader && this.peers.isReachable(peer) && this.peers.acceptsHeartbeats(peer);
  }

  /** Records a redirect of the worker. Returns false, and records nothing, if the worker was redirected recently. */
  private tryRecordRedirect(machine: MachineId): boolean {
    const { monotonic } = this.context.now;
    const before = this.redirectedAt.get(machine);
    if (before !== undefined && monotonic - before < REDIRECT_COOLDOWN_MS) return false;
    if (this.redirectedAt.size >= MAX_REMEMBERED_REDIRECTS) this.redirectedAt.clear();
    this.redirectedAt.set(machine, monotonic);
    return true;
  }

  /**
   * Returns the controller to which this leader redirects a worker, or null if it processes the heartbeat itself.
   * Redirects keep the leader's CPU core available for work that only the leader can do.
   */
  private redirectTarget(): ControllerName | null {
    if (this.prefersDirectHeartbeats()) return null;
    const peerLoad = this.loadOfPeers();
    if (peerLoad === null || this.rate.perSecond < LEADER_MIN_HEARTBEATS_PER_SECOND) return null;
    if (this.rate.perSecond < LEADER_HEARTBEAT_SHARE * peerLoad.meanRate + 1) return null;
    this.redirectsConsidered += 1;
    return this.redirectsConsidered % REDIRECT_ONE_IN === 0 ? peerLoad.leastLoaded : null;
  }

  /**
   * Returns the heartbeat load of the peers that workers reach and that reach the state store, or null if there are
   * none.
   */
  private loadOfPeers(): { readonly leastLoaded: ControllerName; readonly meanRate: number } | null {
    let leastLoaded: Peer | null = null;
    let totalRate = 0;
    let count = 0;
    for (const peer of this.peers.all()) {
      if (!this.servesWorkers(peer)) continue;
      const rate = peer.status.heartbeatsPerSecond;
      count += 1;
      totalRate += rate;
      if (leastLoaded === null || rate < leastLoaded.status.heartbeatsPerSecond) leastLoaded = peer;
    }
    return leastLoaded && { leastLoaded: leastLoaded.name, meanRate: totalRate / count };
  }

  private servesWorkers(peer: Peer): boolean {
    const { sinceLastHeartbeatMs, stateStoreReachable } = peer.status;
    return this.peers.isReachable(peer) && sinceLastHeartbeatMs >= 0 && stateStoreReachable;
  }
}
