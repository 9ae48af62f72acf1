import { Context } from './context.js';
import { JobCache } from './jobs/job_cache.js';
import { Election } from './leadership/election.js';
import { Leader } from './leadership/leader.js';
import type {
  Input,
  Output,
  PeerMessage,
  PeerStatus,
  RequestId,
  UserAnswer,
  UserRequest,
  WorkerAnswer,
} from './messages.js';
import { RequestHandler } from './requests/request_handler.js';
import type { Settings, Tuning } from './settings.js';
import {
  type JobId,
  type MachineId,
  type MachineType,
  type NodeName,
  type Now,
  type Steady,
  steadyPlus,
  type TypeName,
  type WorkerReport,
} from './types.js';

const STATUS_MS = 1000;
const PEER_FRESH_MS = 3500;
const RELAY_MS = 1200;
/** So long a user's answer waits for the leader's word that it has heard of a cancellation; users wait 5 s. */
const ACKNOWLEDGEMENT_WAIT_MS = 300;
/** A report passed on to the leader is given up after this; workers wait 4 s, and the leader holds idle ones for 2.5 s. */
const FORWARD_MS = 3200;
/** Only a leader that was heard of this lately is passed reports, or named to workers without the store's word. */
const LINK_FRESH_MS = 2500;
/** The leader leaves workers' connections to the others, down to this part of their mean load. */
const LEADER_REPORT_SHARE = 0.4;
/** Workers are sent to a leader that takes reports only while some reach it: after taking the lead, and as long as ... */
const DIRECT_GRACE_MS = 4000;
const DIRECT_FRESH_MS = 1500;
/** One that came back from there within this time couldn't reach it, and is served through this node. */
const REDIRECT_AGAIN_MS = 30_000;
const MAX_REDIRECTS_KEPT = 5000;
/** The part of its sockets that a leader gives to workers. */
const DIRECT_SOCKETS = 0.5;
const CATALOG_RETRY_MS = 700;
const CATALOG_FRESH_MS = 60_000;

interface Peer {
  status: PeerStatus;
  heardAt: Steady;
  /** Since when it has been heard of without a gap. */
  heardSince: Steady;
  /** It gave no answer to a report passed on: others aren't for a while. */
  silentUntil: Steady;
}

interface ForwardedReport {
  readonly to: NodeName;
  readonly machine: MachineId;
  readonly answer: (a: WorkerAnswer) => void;
  readonly until: Steady;
}

interface PendingRelay {
  readonly answer: (a: UserAnswer) => void;
  readonly until: Steady;
}

/** A cancellation of which leaders were told, and who has yet to say that it heeds it. */
interface PendingNotice {
  readonly then: () => void;
  readonly left: Set<NodeName>;
  readonly until: Steady;
}

/** One controller node as a state machine: inputs in, outputs out; no clock, no sockets, no chance of its own. */
export class Node {
  readonly ctx: Context;
  private readonly election: Election;
  private readonly requestHandler: RequestHandler;
  private readonly jobCache: JobCache;
  private leader: Leader | null = null;
  private types: ReadonlyMap<TypeName, MachineType> = new Map();
  private readonly peers = new Map<NodeName, Peer>();
  private readonly relays = new Map<number, PendingRelay>();
  private readonly forwardedReports = new Map<number, ForwardedReport>();
  private readonly pendingNotices = new Map<number, PendingNotice>();
  private lastRelay = 0;
  private reportsCounted = 0;
  private reportsCountedSince: Steady;
  private reportsPerS = 0;
  private redirectsConsidered = 0;
  private workersHeardAt: Steady | null = null;
  /** The last report that came from the worker itself. */
  private lastDirectReportAt = 0 as Steady;
  /** Workers that were sent to a leader, and when. */
  private readonly redirectedAt = new Map<MachineId, Steady>();
  private ledSince: Steady;

  constructor(
    settings: Settings,
    tuning: Tuning,
    incarnation: string,
    private readonly seed: number,
    start: Now,
  ) {
    this.ctx = new Context(settings, tuning, start);
    this.ledSince = start.steady;
    this.reportsCountedSince = start.steady;
    // Peers may still answer what an earlier process of this node asked: its numbers must not come again.
    this.lastRelay = (seed >>> 0) * 2 ** 20;
    this.jobCache = new JobCache(this.ctx);
    this.jobCache.onRecord = (seen) => this.leader?.onRecord(seen);
    this.election = new Election(this.ctx, incarnation, {
      onElected: (leadership) => {
        this.ledSince = this.ctx.now.steady;
        this.ctx.leading(true);
        this.jobCache.setLeading(true);
        this.leader = new Leader(this.ctx, this.election, this.jobCache, leadership, this.types, this.seed);
        this.sendStatus();
      },
      onLost: () => {
        this.leader?.stop();
        this.leader = null;
        this.ctx.leading(false);
        this.jobCache.setLeading(false);
        this.sendStatus();
      },
    });
    this.requestHandler = new RequestHandler(this.ctx, this.jobCache, {
      machineTypes: () => this.types,
      taskCounts: (id) => this.leader?.taskCounts(id) ?? null,
      relay: (request, answer) => this.relay(request, answer),
      notifyCancelled: (id, then) => this.notifyCancelled(id, then),
    });
  }

  step(now: Now, input: Input): Output[] {
    this.ctx.now = now;
    this.ctx.outputs = [];
    this.take(input);
    this.runTimers();
    this.ctx.pump();
    return this.ctx.outputs;
  }

  nextTimer(): Steady | null {
    return this.ctx.timers.next();
  }

  /** What load balancers are told. A node without the state service still serves while a peer can stand in. */
  healthy(now: Steady): boolean {
    const since = this.ctx.storeFailingSince;
    if (since === null || now - since < 3000) return true;
    for (const p of this.peers.values()) if (now - p.heardAt < PEER_FRESH_MS) return true;
    return false;
  }

  private take(input: Input): void {
    switch (input.kind) {
      case 'start':
        this.election.start();
        this.readCatalog();
        this.jobCache.read();
        this.ctx.timers.set('peerStatus', this.at(100));
        break;
      case 'timer':
        break;
      case 'user':
        this.requestHandler.handle(input.request, (answer) => this.ctx.answerUser(input.req, answer));
        break;
      case 'report':
        this.onReport(input.req, input.report);
        break;
      case 'storeReply':
        this.ctx.onStoreReply(input.call, input.result);
        break;
      case 'cloudReply':
        this.ctx.onCloudReply(input.call, input.result);
        break;
      case 'workerReply':
        this.ctx.onWorkerReply(input.call, input.result);
        break;
      case 'peer':
        this.onPeer(input.from, input.message);
        break;
    }
  }

  private at(ms: number): Steady {
    return steadyPlus(this.ctx.now.steady, ms);
  }

  private runTimers(): void {
    for (const name of this.ctx.timers.takeDue(this.ctx.now.steady)) {
      switch (name) {
        case 'election':
          this.election.onTimer();
          break;
        case 'renew':
          this.election.renew();
          break;
        case 'peerStatus':
          this.onStatusTimer();
          break;
        case 'catalog':
          this.readCatalog();
          break;
        case 'round':
          this.leader?.round();
          break;
        case 'recordFlush':
          this.leader?.flush();
          break;
        case 'heldReports':
          this.leader?.releaseHeldReports();
          break;
        case 'healthChecks':
          this.leader?.runHealthChecks();
          break;
        case 'workerCommands':
          this.leader?.sendDirect();
          break;
        case 'jobCache':
          this.jobCache.onTimer();
          break;
        case 'pollConfirmation':
          this.requestHandler.confirm();
          break;
        case 'loadState':
          this.leader?.load();
          break;
        case 'servicePlacement':
          this.leader?.placeServices();
          break;
        case 'cancellationNotices':
          this.expireNotices();
          break;
        case 'storeQueue':
        case 'cloudQueue':
          break;
      }
    }
  }

  private readCatalog(): void {
    this.ctx.cloud({ op: 'types' }, this.types.size === 0 ? 0 : 3, (result) => {
      if (!result.ok || !result.value.types) {
        this.ctx.timers.set('catalog', this.at(CATALOG_RETRY_MS));
        return;
      }
      this.types = new Map(result.value.types.map((t) => [t.name, t]));
      this.leader?.setTypes(this.types);
      // Only the leader needs today's prices.
      this.ctx.timers.set('catalog', this.at(CATALOG_FRESH_MS));
    });
  }

  // ---- workers

  /**
   * Any node takes reports: a leader's own sockets are too dear for all of them. One that doesn't lead passes them on as
   * they are and hands back the leader's answer, which the leader gave while it was entitled to.
   */
  private onReport(req: RequestId, report: WorkerReport): void {
    const { steady } = this.ctx.now;
    const answer = (a: WorkerAnswer): void => this.ctx.answerWorker(req, a);
    this.workersHeardAt = steady;
    this.lastDirectReportAt = steady;
    this.reportsCounted += 1;
    if (this.leader) {
      const other = this.redirectTarget();
      if (other !== null) return answer({ status: 421, reportTo: other });
      return this.leader.onReport(report, answer);
    }
    const holder = this.election.holderName();
    if (holder === null || holder === this.ctx.settings.node) return answer({ status: 503 });
    const peer = this.peers.get(holder);
    if (peer?.status.leading && steady - peer.heardAt < LINK_FRESH_MS && peer.silentUntil <= steady) {
      if (peer.status.takesReports && this.mayRedirect(report.machine)) {
        return answer({ status: 421, reportTo: holder });
      }
      const id = ++this.lastRelay;
      this.forwardedReports.set(id, { to: holder, machine: report.machine, answer, until: this.at(FORWARD_MS) });
      this.ctx.peer(holder, { kind: 'report', id, report });
      return;
    }
    // The way to the leader may be open to the worker: but only one known to lead now is named, so that no worker is
    // kept going round.
    answer(this.election.knowsHolder() ? { status: 421, reportTo: holder } : { status: 503 });
  }

  /**
   * Whether this leader would rather hear workers themselves: passing a report on costs as much again as taking it. Not
   * while none reaches it, so that a leader cut off from workers isn't named to them.
   */
  private takesReports(): boolean {
    const { limits } = this.ctx.settings;
    if (!this.leader || !this.election.isValid()) return false;
    if (limits.cpuShare < this.ctx.tuning.leadership.reports_cpu_share) return false;
    if (this.leader.cluster.machines.size > limits.connections * DIRECT_SOCKETS) return false;
    const { steady } = this.ctx.now;
    return steady - this.ledSince < DIRECT_GRACE_MS || steady - this.lastDirectReportAt < DIRECT_FRESH_MS;
  }

  private mayRedirect(machine: MachineId): boolean {
    const { steady } = this.ctx.now;
    const before = this.redirectedAt.get(machine);
    if (before !== undefined && steady - before < REDIRECT_AGAIN_MS) return false;
    if (this.redirectedAt.size >= MAX_REDIRECTS_KEPT) this.redirectedAt.clear();
    this.redirectedAt.set(machine, steady);
    return true;
  }

  /** A node to which the leader sends a worker, to have its own share of the core for what only it can do. */
  private redirectTarget(): NodeName | null {
    const { steady } = this.ctx.now;
    if (this.takesReports()) return null;
    let best: { name: NodeName; peer: Peer } | null = null;
    let sum = 0;
    let n = 0;
    for (const [name, peer] of this.peers) {
      if (steady - peer.heardAt > LINK_FRESH_MS || peer.status.workersHeardMs < 0 || !peer.status.storeOk) continue;
      n += 1;
      sum += peer.status.reportsPerS;
      if (best === null || peer.status.reportsPerS < best.peer.status.reportsPerS) best = { name, peer };
    }
    if (best === null || this.reportsPerS < 4 || this.reportsPerS < LEADER_REPORT_SHARE * (sum / n) + 1) return null;
    // Some at a time: the rates are a second old.
    this.redirectsConsidered += 1;
    return this.redirectsConsidered % 4 === 0 ? best.name : null;
  }

  private expireForwardedReports(): void {
    const { steady } = this.ctx.now;
    const holder = this.election.holderName();
    for (const [id, forwarded] of this.forwardedReports) {
      if (forwarded.until > steady && forwarded.to === holder) continue;
      this.forwardedReports.delete(id);
      const peer = this.peers.get(forwarded.to);
      if (peer && forwarded.until <= steady) peer.silentUntil = this.at(FORWARD_MS);
      forwarded.answer({ status: 503 });
    }
  }

  // ---- peers

  private onStatusTimer(): void {
    this.ctx.timers.set('peerStatus', this.at(STATUS_MS));
    this.sendStatus();
    for (const [id, pending] of this.relays) {
      if (pending.until > this.ctx.now.steady) continue;
      this.relays.delete(id);
      pending.answer({ status: 503, problem: 'no node could take the request', retryAfterS: 1 });
    }
    this.expireForwardedReports();
    this.resignIfCutOff();
  }

  private sendStatus(): void {
    const heard = this.workersHeardAt;
    const seconds = (this.ctx.now.steady - this.reportsCountedSince) / 1000;
    if (seconds >= 0.9) {
      this.reportsPerS = 0.5 * this.reportsPerS + 0.5 * (this.reportsCounted / seconds);
      this.reportsCounted = 0;
      this.reportsCountedSince = this.ctx.now.steady;
    }
    const status: PeerStatus = {
      leading: this.election.isValid(),
      storeOk: this.ctx.storeFailingSince === null,
      workersHeardMs: heard === null ? -1 : Math.round(this.ctx.now.steady - heard),
      reportsPerS: this.reportsPerS,
      takesReports: this.takesReports(),
      acknowledgesCancellations: true,
    };
    for (const p of this.ctx.settings.peers) this.ctx.peer(p.name, { kind: 'status', status });
  }

  /** A leader that no worker reaches, while they reach a peer, keeps the lead from being of use: it lets go. */
  private resignIfCutOff(): void {
    if (!this.election.current) return;
    const now = this.ctx.now.steady;
    const after = this.ctx.tuning.leadership.resign_after_ms;
    const heard = Math.max(this.workersHeardAt ?? 0, this.ledSince);
    if (now - heard < after) return;
    for (const peer of this.peers.values()) {
      const { workersHeardMs } = peer.status;
      // A peer that has just come back heard its workers without us; now it passes their reports on.
      if (now - peer.heardSince < after) continue;
      if (now - peer.heardAt < LINK_FRESH_MS && workersHeardMs >= 0 && workersHeardMs < after / 2) {
        return this.election.resign('workers reach a peer but not this node');
      }
    }
  }

  private onPeer(from: NodeName, message: PeerMessage): void {
    switch (message.kind) {
      case 'status': {
        const { steady } = this.ctx.now;
        const before = this.peers.get(from);
        const heardSince = before && steady - before.heardAt < PEER_FRESH_MS ? before.heardSince : steady;
        const silentUntil = before?.silentUntil ?? steady;
        this.peers.set(from, { status: message.status, heardAt: steady, heardSince, silentUntil });
        break;
      }
      case 'request':
        this.requestHandler.handle(
          message.request,
          (answer) => this.ctx.peer(from, { kind: 'requestAnswer', id: message.id, answer }),
          true,
        );
        break;
      case 'requestAnswer': {
        const pending = this.relays.get(message.id);
        this.relays.delete(message.id);
        pending?.answer(message.answer);
        break;
      }
      case 'report': {
        const { id, report } = message;
        const answer = (answer: WorkerAnswer): void =>
          this.ctx.peer(from, { kind: 'reportAnswer', id, machine: report.machine, answer: answer });
        if (!this.leader) return answer({ status: 503 });
        this.workersHeardAt = this.ctx.now.steady;
        this.leader.onReport(report, answer);
        break;
      }
      case 'reportAnswer': {
        const pending = this.forwardedReports.get(message.id);
        // An answer meant for another machine must never reach this one: its starts would run twice.
        if (pending?.to !== from || pending.machine !== message.machine) return;
        this.forwardedReports.delete(message.id);
        pending.answer(message.answer);
        break;
      }
      case 'cancellation':
        this.leader?.onCancellationNotice(message.job);
        this.ctx.peer(from, { kind: 'cancellationAck', id: message.id });
        break;
      case 'cancellationAck': {
        const pending = this.pendingNotices.get(message.id);
        if (!pending?.left.delete(from) || pending.left.size > 0) return;
        this.pendingNotices.delete(message.id);
        pending.then();
        break;
      }
    }
  }

  /**
   * Whoever leads hears of a cancellation from the node that wrote it, as the store's word may not reach it: one that the
   * state service refuses is entitled to start work until its validity ends (gap.txt). `then` follows when it has heeded
   * it, or soon after in any case.
   */
  private notifyCancelled(id: JobId, then: () => void): void {
    this.leader?.onCancellationNotice(id);
    const word = ++this.lastRelay;
    const left = new Set<NodeName>();
    for (const [name, { status, heardAt }] of this.peers) {
      if (!status.acknowledgesCancellations || this.ctx.now.steady - heardAt > PEER_FRESH_MS) continue;
      // One whose validity has lapsed may find its lease alive and lead on: it is told, but not waited for.
      if (status.leading) left.add(name);
      this.ctx.peer(name, { kind: 'cancellation', id: word, job: id });
    }
    if (left.size === 0) return then();
    this.pendingNotices.set(word, { then, left, until: this.at(ACKNOWLEDGEMENT_WAIT_MS) });
    if (this.ctx.timers.at('cancellationNotices') === null)
      this.ctx.timers.set('cancellationNotices', this.at(ACKNOWLEDGEMENT_WAIT_MS));
  }

  private expireNotices(): void {
    let next = Number.POSITIVE_INFINITY;
    for (const [id, notice] of this.pendingNotices) {
      if (notice.until > this.ctx.now.steady) {
        next = Math.min(next, notice.until);
        continue;
      }
      this.pendingNotices.delete(id);
      notice.then();
    }
    if (Number.isFinite(next)) this.ctx.timers.set('cancellationNotices', next as Steady);
  }

  private relay(request: UserRequest, answer: (a: UserAnswer) => void): boolean {
    const now = this.ctx.now.steady;
    for (const [name, peer] of this.peers) {
      if (!peer.status.storeOk || now - peer.heardAt > PEER_FRESH_MS) continue;
      const id = ++this.lastRelay;
      this.relays.set(id, { answer, until: this.at(RELAY_MS) });
      this.ctx.peer(name, { kind: 'request', id, request });
      return true;
    }
    return false;
  }
}
