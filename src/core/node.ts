import { Context } from './context.js';
import { Desk } from './desk.js';
import { Election } from './election.js';
import { Leader } from './leader.js';
import type { Input, Output, PeerMessage, PeerStatus, UserAnswer, UserRequest } from './messages.js';
import type { Settings, Tuning } from './settings.js';
import { type MachineType, type NodeName, type Now, type Steady, steadyPlus, type TypeName } from './types.js';

const STATUS_MS = 1000;
const PEER_FRESH_MS = 3500;
const RELAY_MS = 1200;
const CATALOG_RETRY_MS = 700;
const CATALOG_FRESH_MS = 60_000;

interface Peer {
  status: PeerStatus;
  heardAt: Steady;
}

interface PendingRelay {
  readonly answer: (a: UserAnswer) => void;
  readonly until: Steady;
}

/** One controller node as a state machine: inputs in, outputs out; no clock, no sockets, no chance of its own. */
export class Node {
  readonly ctx: Context;
  private readonly election: Election;
  private readonly desk: Desk;
  private leader: Leader | null = null;
  private types: ReadonlyMap<TypeName, MachineType> = new Map();
  private readonly peers = new Map<NodeName, Peer>();
  private readonly relays = new Map<number, PendingRelay>();
  private lastRelay = 0;
  private workersHeardAt: Steady | null = null;
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
    this.election = new Election(this.ctx, incarnation, {
      onElected: (leadership) => {
        this.ledSince = this.ctx.now.steady;
        this.leader = new Leader(this.ctx, this.election, leadership, this.types, this.seed);
        this.sendStatus();
      },
      onLost: () => {
        this.leader?.stop();
        this.leader = null;
      },
    });
    this.desk = new Desk(this.ctx, {
      types: () => this.types,
      counts: (id) => this.leader?.counts(id) ?? null,
      relay: (request, answer) => this.relay(request, answer),
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
        this.ctx.timers.set('status', this.at(100));
        break;
      case 'timer':
        break;
      case 'user':
        this.desk.handle(input.request, (answer) => this.ctx.answerUser(input.req, answer));
        break;
      case 'beat':
        this.workersHeardAt = this.ctx.now.steady;
        if (this.leader) this.leader.onBeat(input.req, input.report);
        else {
          const holder = this.election.holderName();
          const reportTo = holder === this.ctx.settings.node ? null : holder;
          this.ctx.answerWorker(input.req, reportTo ? { status: 421, reportTo } : { status: 503 });
        }
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
        case 'status':
          this.onStatusTimer();
          break;
        case 'catalog':
          this.readCatalog();
          break;
        case 'round':
          this.leader?.round();
          break;
        case 'flush':
          this.leader?.flush();
          break;
        case 'held':
          this.leader?.releaseHeld();
          break;
        case 'fleet':
          this.leader?.tend();
          break;
        case 'direct':
          this.leader?.sendDirect();
          break;
        case 'watch':
          this.leader?.watch();
          break;
        case 'load':
          this.leader?.load();
          break;
        case 'store':
        case 'cloud':
          break;
      }
    }
  }

  private readCatalog(): void {
    this.ctx.cloud({ op: 'types' }, this.types.size === 0 ? 0 : 3, (r) => {
      if (!r.ok || !r.value.types) {
        this.ctx.timers.set('catalog', this.at(CATALOG_RETRY_MS));
        return;
      }
      this.types = new Map(r.value.types.map((t) => [t.name, t]));
      this.leader?.setTypes(this.types);
      // Only the leader needs today's prices.
      this.ctx.timers.set('catalog', this.at(CATALOG_FRESH_MS));
    });
  }

  // ---- peers

  private onStatusTimer(): void {
    this.ctx.timers.set('status', this.at(STATUS_MS));
    this.sendStatus();
    for (const [id, pending] of this.relays) {
      if (pending.until > this.ctx.now.steady) continue;
      this.relays.delete(id);
      pending.answer({ status: 503, problem: 'no node could take the request', retryAfterS: 1 });
    }
    this.yieldIfCutOff();
  }

  private sendStatus(): void {
    const heard = this.workersHeardAt;
    const status: PeerStatus = {
      leading: this.election.valid(),
      storeOk: this.ctx.storeFailingSince === null,
      workersHeardMs: heard === null ? -1 : Math.round(this.ctx.now.steady - heard),
    };
    for (const p of this.ctx.settings.peers) this.ctx.peer(p.name, { kind: 'status', status });
  }

  /** A leader that no worker reaches, while they reach a peer, keeps the lead from being of use: it lets go. */
  private yieldIfCutOff(): void {
    if (!this.election.current) return;
    const now = this.ctx.now.steady;
    const after = this.ctx.tuning.leadership.resign_after_ms;
    const heard = Math.max(this.workersHeardAt ?? 0, this.ledSince);
    if (now - heard < after) return;
    for (const p of this.peers.values()) {
      const { workersHeardMs } = p.status;
      if (now - p.heardAt < 2500 && workersHeardMs >= 0 && workersHeardMs < after / 2) {
        return this.election.resign('workers reach a peer but not this node');
      }
    }
  }

  private onPeer(from: NodeName, message: PeerMessage): void {
    if (message.kind === 'status') {
      this.peers.set(from, { status: message.status, heardAt: this.ctx.now.steady });
    } else if (message.kind === 'relay') {
      this.desk.handle(
        message.request,
        (answer) => this.ctx.peer(from, { kind: 'relayed', id: message.id, answer }),
        true,
      );
    } else {
      const pending = this.relays.get(message.id);
      if (!pending) return;
      this.relays.delete(message.id);
      pending.answer(message.answer);
    }
  }

  private relay(request: UserRequest, answer: (a: UserAnswer) => void): boolean {
    const now = this.ctx.now.steady;
    for (const [name, p] of this.peers) {
      if (!p.status.storeOk || now - p.heardAt > PEER_FRESH_MS) continue;
      const id = ++this.lastRelay;
      this.relays.set(id, { answer, until: this.at(RELAY_MS) });
      this.ctx.peer(name, { kind: 'relay', id, request });
      return true;
    }
    return false;
  }
}
