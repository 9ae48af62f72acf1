import type { RecoverySummary } from '../recovery/index.js';
import { Context, type TimerName } from './context.js';
import { ALL_OFF, type Features } from './features.js';
import { JobCache } from './jobs/job_cache.js';
import { Election } from './leadership/election.js';
import { Leader } from './leadership/leader.js';
import { Catalog } from './machines/catalog.js';
import type { Input, Output, PeerMessage, RequestId, UserRequest } from './messages.js';
import { CancellationNotices } from './peers/cancellation_notices.js';
import { MessageIds } from './peers/message_ids.js';
import { PeerTable } from './peers/peer_table.js';
import { ReportForwarding } from './peers/report_forwarding.js';
import { RequestRelay } from './peers/request_relay.js';
import { StatusExchange } from './peers/status_exchange.js';
import { RequestHandler } from './requests/request_handler.js';
import type { Settings, Tuning } from './settings.js';
import type { NodeName, Now, Steady } from './types.js';
import { ReportRouter } from './workers/report_router.js';

const STATUS_MS = 1000;
const FIRST_STATUS_MS = 100;
/** The state service may fail for so long before load balancers hear of it. */
const UNHEALTHY_AFTER_MS = 3000;

/** Users wait 2 s for the answer to a poll, and 5 s for others: what isn't final is not said after that. */
const POLL_ANSWER_MS = 1900;
const ANSWER_MS = 4900;

/**
 * One controller node as a state machine: inputs in, outputs out; no clock, no sockets, no chance of its own. It hands each
 * input and each timer that is due to the part that deals with it.
 */
export class Node {
  private readonly ctx: Context;
  private readonly election: Election;
  private readonly requestHandler: RequestHandler;
  private readonly jobCache: JobCache;
  private readonly catalog: Catalog;
  private readonly peers: PeerTable;
  private readonly relay: RequestRelay;
  private readonly forwarding: ReportForwarding;
  private readonly notices: CancellationNotices;
  private readonly router: ReportRouter;
  private readonly statusExchange: StatusExchange;
  /** While this node leads. */
  private leader: Leader | null = null;
  /** Of the last time that it led. */
  private lastRecovery: RecoverySummary | null = null;

  /** `incarnation` names this process; `seed` is what all of its random choices come from. */
  constructor(
    settings: Settings,
    tuning: Tuning,
    incarnation: string,
    private readonly seed: number,
    start: Now,
    features: Features = ALL_OFF,
  ) {
    const ctx = new Context(settings, tuning, start, features);
    const ids = new MessageIds(seed);
    this.ctx = ctx;
    this.peers = new PeerTable(ctx);
    this.relay = new RequestRelay(ctx, this.peers, ids);
    this.forwarding = new ReportForwarding(ctx, this.peers, ids);
    this.notices = new CancellationNotices(ctx, this.peers, ids);
    this.jobCache = new JobCache(ctx, (job) => this.leader?.onJobRecord(job));
    this.catalog = new Catalog(ctx, (types) => this.leader?.setTypes(types));
    this.election = this.makeElection(incarnation);
    this.router = new ReportRouter(ctx, this.election, this.peers, this.forwarding, () => this.leader);
    this.statusExchange = new StatusExchange(ctx, this.election, this.peers, this.router);
    this.requestHandler = this.makeRequestHandler();
  }

  private makeElection(incarnation: string): Election {
    return new Election(this.ctx, incarnation, {
      onElected: (leadership) => {
        this.setLeading(true);
        this.leader = new Leader(this.ctx, this.election, this.jobCache, leadership, this.catalog.types, this.seed);
        this.statusExchange.send();
        this.catalog.refresh();
      },
      onLost: () => {
        this.lastRecovery = this.recoverySummary();
        this.leader?.stop();
        this.leader = null;
        this.setLeading(false);
        this.statusExchange.send();
      },
    });
  }

  private setLeading(leading: boolean): void {
    this.ctx.setLeading(leading);
    this.jobCache.setLeading(leading);
  }

  private makeRequestHandler(): RequestHandler {
    return new RequestHandler(this.ctx, this.jobCache, {
      machineTypes: () => this.catalog.types,
      taskCounts: (id) => this.leader?.taskCounts(id) ?? null,
      relay: (request, answer) => this.relay.relay(request, answer),
      notifyCancelled: (id, done) => {
        this.leader?.onCancellationNotice(id);
        this.notices.notify(id, done);
      },
    });
  }

  /**
   * Takes one input and returns what the outside has to carry out. Timers that are due have a step of their own: what an
   * input brings about doesn't wait for a planning round.
   */
  step(now: Now, input: Input): Output[] {
    this.ctx.beginStep(now);
    this.onInput(input);
    return this.ctx.endStep();
  }

  /** When the next step is due even if no input comes. */
  nextTimer(): Steady | null {
    return this.ctx.timers.next();
  }

  /** What load balancers are told. A node without the state service still serves while a peer can stand in. */
  healthy(now: Steady): boolean {
    const since = this.ctx.storeFailingSince;
    if (since === null || now - since < UNHEALTHY_AFTER_MS) return true;
    return this.peers.anyAlive(now);
  }

  /** What this node found when it last took the lead; null: it never did, or the feature is off. */
  recoverySummary(): RecoverySummary | null {
    return this.leader?.recoverySummary() ?? this.lastRecovery;
  }

  private start(): void {
    this.election.start();
    this.catalog.read();
    this.jobCache.read();
    this.ctx.timers.set('peerStatus', this.ctx.after(FIRST_STATUS_MS));
  }

  private onInput(input: Input): void {
    switch (input.kind) {
      case 'start':
        this.start();
        return;
      case 'timer':
        for (const timer of this.ctx.timers.takeDue(this.ctx.now.steady)) this.onTimer(timer);
        return;
      case 'user':
        this.onUserRequest(input.req, input.request);
        return;
      case 'report':
        this.router.onReport(input.req, input.report);
        return;
      case 'storeReply':
        this.ctx.onStoreReply(input.call, input.result);
        return;
      case 'cloudReply':
        this.ctx.onCloudReply(input.call, input.result);
        return;
      case 'workerReply':
        this.ctx.onWorkerReply(input.call, input.result);
        return;
      case 'peer':
        this.onPeerMessage(input.from, input.message);
        return;
    }
  }

  private onUserRequest(req: RequestId, request: UserRequest): void {
    const deadline = this.ctx.after(request.op === 'poll' ? POLL_ANSWER_MS : ANSWER_MS);
    this.requestHandler.handle(request, (answer) => this.ctx.answerUser(req, answer, deadline));
  }

  private onTimer(timer: TimerName): void {
    switch (timer) {
      case 'election':
        this.election.onTimer();
        return;
      case 'renew':
        this.election.renew();
        return;
      case 'peerStatus':
        this.onStatusTimer();
        return;
      case 'catalog':
        this.catalog.read();
        return;
      case 'jobCache':
        this.jobCache.onTimer();
        return;
      case 'pollConfirmation':
        this.requestHandler.confirmPolls();
        return;
      case 'cancellationNotices':
        this.notices.expire();
        return;
      case 'loadState':
        this.leader?.loadState();
        return;
      case 'round':
        this.leader?.runRound();
        return;
      case 'servicePlacement':
        this.leader?.placeServices();
        return;
      case 'reportBacklog':
        this.leader?.takeBacklog();
        return;
      case 'reconciliation':
        this.leader?.reconcileSilentMachines();
        return;
      case 'recordFlush':
        this.leader?.flushRecords();
        return;
      case 'heldReports':
        this.leader?.releaseHeldReports();
        return;
      case 'workerCommands':
        this.leader?.sendCommands();
        return;
      case 'healthChecks':
        this.leader?.runHealthChecks();
        return;
      // These two only bring a step about, in which queued calls go out.
      case 'storeQueue':
      case 'cloudQueue':
        return;
    }
  }

  private onStatusTimer(): void {
    this.ctx.timers.set('peerStatus', this.ctx.after(STATUS_MS));
    this.statusExchange.send();
    this.relay.expire();
    this.forwarding.expire(this.election.holderName());
    this.statusExchange.resignIfCutOff();
  }

  private onPeerMessage(from: NodeName, message: PeerMessage): void {
    switch (message.kind) {
      case 'status':
        this.peers.onStatus(from, message.status);
        return;
      case 'request':
        this.requestHandler.handle(
          message.request,
          (answer) => this.ctx.peer(from, { kind: 'requestAnswer', id: message.id, answer }),
          true,
        );
        return;
      case 'requestAnswer':
        this.relay.onAnswer(message.id, message.answer);
        return;
      case 'report': {
        const { id, report } = message;
        const { machine } = report;
        this.router.onForwardedReport(report, (answer) =>
          this.ctx.peer(from, { kind: 'reportAnswer', id, machine, answer }),
        );
        return;
      }
      case 'reportAnswer':
        this.forwarding.onAnswer(from, message.id, message.machine, message.answer);
        return;
      case 'cancellation':
        this.leader?.onCancellationNotice(message.job);
        this.ctx.peer(from, { kind: 'cancellationAck', id: message.id });
        return;
      case 'cancellationAck':
        this.notices.onAcknowledged(from, message.id);
        return;
    }
  }
}
