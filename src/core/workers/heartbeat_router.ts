/**
 * Routes workers' heartbeats. Any controller takes them, as the leader's own sockets are too dear for all of them: they are
 * processed by the leader, which gets them itself or through another controller.
 */
import type { RequestId } from '../messages.js';
import type { HeartbeatForwarding } from '../peers/heartbeat_forwarding.js';
import type { Peer, PeerTable } from '../peers/peer_table.js';
import type { StepContext } from '../step_context.js';
import type { ControllerName, Heartbeat, MachineId, MonotonicTime } from '../types.js';
import { HeartbeatRate } from './heartbeat_rate.js';
import { type HeartbeatResponder, UNAVAILABLE } from './heartbeat_response.js';

/** A leader redirects workers to other controllers down to this part of their mean rate of heartbeats. */
const LEADER_HEARTBEAT_SHARE = 0.4;
/** With fewer heartbeats than these it redirects none. */
const LEADER_MIN_HEARTBEATS_PER_SECOND = 4;
/** One heartbeat in so many may be redirected: the rates that decide are a second old. */
const REDIRECT_ONE_IN = 4;
/** For so long after its election a leader prefers direct heartbeats without having got any. */
const PREFERS_DIRECT_GRACE_MS = 4000;
/** After that it prefers them only if one came within this time. */
const DIRECT_HEARTBEAT_FRESH_MS = 1500;
/** A worker that comes back from the leader within this time couldn't reach it, and is served through this controller. */
const REDIRECT_AGAIN_MS = 30_000;
/** With more redirects than these, all are forgotten at once. */
const MAX_REMEMBERED_REDIRECTS = 5000;
/** The part of its sockets that a leader gives to workers. */
const WORKER_SOCKET_SHARE = 0.5;

/** What this controller knows of the election. */
interface LeadershipView {
  /** When this controller last became leader, on the monotonic clock. */
  readonly electedAt: MonotonicTime;
  /** Whether this controller holds the leader lease at this moment. */
  isLeaseValid(): boolean;
  /** Whether what `leaderName` returns was confirmed lately. */
  isLeaderKnown(): boolean;
  /** The leader as far as this controller knows; null where it knows none. */
  leaderName(): ControllerName | null;
}

/** The leader, where this controller is it. */
interface HeartbeatReceiver {
  readonly machineCount: number;
  onHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder): void;
}

/** Where a heartbeat goes. */
type Route =
  | { readonly kind: 'process'; readonly leader: HeartbeatReceiver }
  | { readonly kind: 'forward'; readonly leaderName: ControllerName }
  /** The worker is told to send its heartbeats to another controller. */
  | { readonly kind: 'redirect'; readonly redirectTo: ControllerName }
  /** No leader can be reached. */
  | { readonly kind: 'refuse' };

const REFUSE: Route = { kind: 'refuse' };

/** Decides for each heartbeat whether it is processed, forwarded, redirected or refused. */
export class HeartbeatRouter {
  private readonly rate: HeartbeatRate;
  private redirectsConsidered = 0;
  /** When a worker was last heard, directly or through a peer; null: never. */
  private lastHeartbeatAt: MonotonicTime | null = null;
  /** When the last heartbeat came from the worker itself. */
  private lastDirectHeartbeatAt = 0 as MonotonicTime;
  private readonly redirectedAt = new Map<MachineId, MonotonicTime>();

  /** `currentLeader`: the leader, where this controller is it; null elsewhere. */
  constructor(
    private readonly context: StepContext,
    private readonly election: LeadershipView,
    private readonly peers: PeerTable,
    private readonly forwarding: HeartbeatForwarding,
    private readonly currentLeader: () => HeartbeatReceiver | null,
  ) {
    this.rate = new HeartbeatRate(context.now.monotonic);
  }

  /** Workers' heartbeats per second that reach this controller itself. */
  get heartbeatsPerSecond(): number {
    return this.rate.perSecond;
  }

  /** Milliseconds since a worker was last heard; null: never. */
  get sinceLastHeartbeatMs(): number | null {
    return this.lastHeartbeatAt === null ? null : this.context.now.monotonic - this.lastHeartbeatAt;
  }

  /** Brings `heartbeatsPerSecond` up to date; to be called about once a second. */
  updateRate(): void {
    this.rate.update(this.context.now.monotonic);
  }

  /** Takes a heartbeat from the worker itself. */
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

  /** Takes a heartbeat that a peer forwarded: only a leader processes it, as it must not go round. */
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
   * Whether this leader would rather get heartbeats from the workers themselves: forwarding one costs as much again as
   * processing it. Not while none comes, so that a leader that is cut off from workers isn't named to them.
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
      const isRedirected = peer.status.prefersDirectHeartbeats && this.mayRedirect(machine);
      return isRedirected ? { kind: 'redirect', redirectTo: leaderName } : { kind: 'forward', leaderName };
    }
    // The way to the leader may be open to the worker: but only one known to lead now is named, so that no worker is
    // kept going round.
    return this.election.isLeaderKnown() ? { kind: 'redirect', redirectTo: leaderName } : REFUSE;
  }

  private mayForwardTo(peer: Peer): boolean {
    return peer.status.isLeader && this.peers.isReachable(peer) && this.peers.takesHeartbeats(peer);
  }

  /** Whether the worker has not been redirected lately; if so, it counts as redirected now. */
  private mayRedirect(machine: MachineId): boolean {
    const { monotonic } = this.context.now;
    const before = this.redirectedAt.get(machine);
    if (before !== undefined && monotonic - before < REDIRECT_AGAIN_MS) return false;
    if (this.redirectedAt.size >= MAX_REMEMBERED_REDIRECTS) this.redirectedAt.clear();
    this.redirectedAt.set(machine, monotonic);
    return true;
  }

  /** The controller to which this leader redirects a worker, to keep its core for what only it can do; null: none. */
  private redirectTarget(): ControllerName | null {
    if (this.prefersDirectHeartbeats()) return null;
    const others = this.loadOfOthers();
    if (others === null || this.rate.perSecond < LEADER_MIN_HEARTBEATS_PER_SECOND) return null;
    if (this.rate.perSecond < LEADER_HEARTBEAT_SHARE * others.meanRate + 1) return null;
    this.redirectsConsidered += 1;
    return this.redirectsConsidered % REDIRECT_ONE_IN === 0 ? others.leastLoaded : null;
  }

  /** The peers that workers reach and that reach the state store; null where there is none. */
  private loadOfOthers(): { readonly leastLoaded: ControllerName; readonly meanRate: number } | null {
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
