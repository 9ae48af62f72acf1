/** One controller as a state machine. Dispatches each input to the component that handles it. */
import type { RecoverySummary } from '../recovery/index.js';
import { ALL_OFF, type Features } from './features.js';
import { JobCache } from './jobs/job_cache.js';
import { Election } from './leadership/election.js';
import { Leader } from './leadership/leader.js';
import { MachineTypeCatalog } from './machines/machine_type_catalog.js';
import type { Input, Output, PeerMessage, RequestId, UserRequest } from './messages.js';
import { CancellationBroadcasts } from './peers/cancellation_broadcasts.js';
import { HeartbeatForwarding } from './peers/heartbeat_forwarding.js';
import { MessageIds } from './peers/message_ids.js';
import { PeerTable } from './peers/peer_table.js';
import { RequestForwarding } from './peers/request_forwarding.js';
import { StatusExchange } from './peers/status_exchange.js';
import { FinalResponses } from './requests/final_responses.js';
import { RequestHandler } from './requests/request_handler.js';
import type { Respond } from './requests/responses.js';
import type { Settings, Tuning } from './settings.js';
import { StepContext } from './step_context.js';
import type { Timer } from './timers.js';
import type { ClockReading, ControllerName, MonotonicTime } from './types.js';
import { HeartbeatRouter } from './workers/heartbeat_router.js';

const STATUS_INTERVAL_MS = 1000;
const FIRST_STATUS_DELAY_MS = 100;
/** How long the state store may fail before the controller may report itself as unhealthy to load balancers. */
const UNHEALTHY_AFTER_MS = 3000;

/**
 * How long after its arrival a request may still get a response with a state that is not final. Users wait 2 s for the
 * response to a status query, and 5 s for the responses to other requests.
 */
const STATUS_QUERY_TIMEOUT_MS = 1900;
const REQUEST_TIMEOUT_MS = 4900;

type PeerMessageOf<K extends PeerMessage['kind']> = Extract<PeerMessage, { readonly kind: K }>;

/**
 * Deterministic state machine of a controller. The caller passes in each input with the current time, and executes the
 * outputs. The controller reads no clock, opens no sockets, and draws all random numbers from a seed.
 */
export class Controller {
  private readonly context: StepContext;
  private readonly election: Election;
  private readonly requestHandler: RequestHandler;
  private readonly finalResponses: FinalResponses;
  private readonly jobCache: JobCache;
  private readonly catalog: MachineTypeCatalog;
  private readonly peers: PeerTable;
  private readonly requestForwarding: RequestForwarding;
  private readonly heartbeatForwarding: HeartbeatForwarding;
  private readonly cancellationBroadcasts: CancellationBroadcasts;
  private readonly heartbeatRouter: HeartbeatRouter;
  private readonly statusTimer: Timer;
  private readonly statusExchange: StatusExchange;
  /** Null while this controller doesn't lead. */
  private leader: Leader | null = null;
  /**
   * Recovery summary of the last term that this controller led. Null if it has led none, or if the recovery feature is
   * off.
   */
  private lastRecovery: RecoverySummary | null = null;

  /**
   * `incarnation` distinguishes this process from earlier processes of the controller. All random choices are drawn
   * from `seed`.
   */
  constructor(
    settings: Settings,
    tuning: Tuning,
    incarnation: string,
    private readonly seed: number,
    start: ClockReading,
    features: Features = ALL_OFF,
  ) {
    const context = new StepContext(settings, tuning, start, features);
    const ids = new MessageIds(seed);
    this.context = context;
    this.peers = new PeerTable(context);
    this.requestForwarding = new RequestForwarding(context, this.peers, ids);
    this.heartbeatForwarding = new HeartbeatForwarding(context, this.peers, ids);
    this.cancellationBroadcasts = new CancellationBroadcasts(context, this.peers, ids);
    this.jobCache = new JobCache(context, (record, version) => this.leader?.onJobRecord(record, version));
    this.catalog = new MachineTypeCatalog(context, (types) => this.leader?.setMachineTypes(types));
    this.election = this.makeElection(incarnation);
    this.heartbeatRouter = new HeartbeatRouter(
      context,
      this.election,
      this.peers,
      this.heartbeatForwarding,
      () => this.leader,
    );
    this.statusExchange = new StatusExchange(context, this.election, this.peers, this.heartbeatRouter);
    this.requestHandler = this.makeRequestHandler();
    this.finalResponses = new FinalResponses(context, this.jobCache);
    this.statusTimer = context.timers.create(() => this.exchangeStatus());
  }

  private makeElection(incarnation: string): Election {
    return new Election(this.context, incarnation, {
      onElected: (leadership) => {
        this.setIsLeader(true);
        this.leader = new Leader(this.context, this.election, this.jobCache, {
          leadership,
          types: this.catalog.types,
          seed: this.seed,
          isAnyPeerAbleToLead: () => this.peers.isAnyAbleToLead(),
        });
        this.statusExchange.sendStatus();
        this.catalog.refreshForLeader();
      },
      onLost: () => {
        this.lastRecovery = this.recoverySummary();
        this.leader?.stop();
        this.leader = null;
        this.setIsLeader(false);
        this.statusExchange.sendStatus();
      },
    });
  }

  private setIsLeader(isLeader: boolean): void {
    this.context.setIsLeader(isLeader);
    this.jobCache.setIsLeader(isLeader);
  }

  private makeRequestHandler(): RequestHandler {
    return new RequestHandler(this.context, this.jobCache, {
      machineTypes: () => this.catalog.types,
      taskCounts: (id) => this.leader?.taskCounts(id) ?? null,
      forward: (request, respond) => this.requestForwarding.forward(request, respond),
      broadcastCancellation: (id, onDone) => {
        this.leader?.onCancellationBroadcast(id);
        this.cancellationBroadcasts.broadcast(id, onDone);
      },
    });
  }

  /**
   * Processes one input and returns the outputs that the caller has to execute. Due timers run only in a step with a
   * `timer` input, so that the outputs for other inputs do not wait for a planning round.
   */
  step(now: ClockReading, input: Input): Output[] {
    this.context.beginStep(now);
    this.onInput(input);
    return this.context.endStep();
  }

  /** The time at which the next timer is due and a `timer` input must be passed in. Null if no timer is set. */
  nextTimerAt(): MonotonicTime | null {
    return this.context.timers.nextDueAt();
  }

  /**
   * Returns the health status for load balancers. A controller that cannot reach the state store still counts as
   * healthy while a peer is alive, since it forwards requests to peers.
   */
  isHealthy(now: MonotonicTime): boolean {
    const since = this.context.stateStore.failingSince;
    if (since === null || now - since < UNHEALTHY_AFTER_MS) return true;
    return this.peers.isAnyAlive(now);
  }

  /**
   * The recovery summary of the current term, or of the last term that this controller led. Null if it was never
   * elected, or if the recovery feature is off.
   */
  recoverySummary(): RecoverySummary | null {
    return this.leader?.recoverySummary() ?? this.lastRecovery;
  }

  private start(): void {
    this.election.start();
    this.catalog.read();
    this.jobCache.read();
    this.statusTimer.set(this.context.after(FIRST_STATUS_DELAY_MS));
  }

  private onInput(input: Input): void {
    switch (input.kind) {
      case 'start':
        this.start();
        return;
      case 'timer':
        this.context.timers.runDue(this.context.now.monotonic);
        return;
      case 'userRequest':
        this.onUserRequest(input.requestId, input.request);
        return;
      case 'heartbeat':
        this.heartbeatRouter.onHeartbeat(input.requestId, input.heartbeat);
        return;
      case 'stateStoreReply':
        this.context.stateStore.onReply(input.callId, input.result);
        return;
      case 'cloudReply':
        this.context.cloud.onReply(input.callId, input.result);
        return;
      case 'commandPushReply':
        this.context.commandPushes.onReply(input.callId, input.result);
        return;
      case 'peerMessage':
        this.onPeerMessage(input.sender, input.message);
        return;
    }
  }

  private onUserRequest(requestId: RequestId, request: UserRequest): void {
    const deadline = this.context.after(request.op === 'query' ? STATUS_QUERY_TIMEOUT_MS : REQUEST_TIMEOUT_MS);
    const respond: Respond = (response, asOf) =>
      this.finalResponses.sendWhenFinal(response, () =>
        this.context.outbox.respondToUser(requestId, response, deadline, asOf),
      );
    this.requestHandler.handle(request, respond, 'user');
  }

  /**
   * Runs once a second. Sends this controller's status to the peers, times out forwarded requests and heartbeats that
   * got no response, and steps down if this leader is isolated from workers.
   */
  private exchangeStatus(): void {
    this.statusTimer.set(this.context.after(STATUS_INTERVAL_MS));
    this.statusExchange.sendStatus();
    this.requestForwarding.expire();
    this.heartbeatForwarding.expire(this.election.leaderName());
    this.statusExchange.stepDownIfIsolated();
  }

  private onPeerMessage(sender: ControllerName, message: PeerMessage): void {
    switch (message.kind) {
      case 'status':
        this.peers.onStatus(sender, message.status);
        return;
      case 'request':
        this.onForwardedRequest(sender, message);
        return;
      case 'requestResponse':
        this.requestForwarding.onResponse(message.id, message.response);
        return;
      case 'heartbeat':
        this.onForwardedHeartbeat(sender, message);
        return;
      case 'heartbeatResponse':
        this.heartbeatForwarding.onResponse(sender, message.id, message.machine, message.response);
        return;
      case 'cancellation':
        this.leader?.onCancellationBroadcast(message.job);
        this.context.outbox.sendToPeer(sender, { kind: 'cancellationAck', id: message.id });
        return;
      case 'cancellationAck':
        this.cancellationBroadcasts.onAcknowledged(sender, message.id);
        return;
    }
  }

  private onForwardedRequest(sender: ControllerName, { id, request }: PeerMessageOf<'request'>): void {
    const respond: Respond = (response, asOf) =>
      this.finalResponses.sendWhenFinal(response, () =>
        this.context.outbox.sendToPeer(sender, { kind: 'requestResponse', id, response }, asOf),
      );
    this.requestHandler.handle(request, respond, 'peer');
  }

  private onForwardedHeartbeat(sender: ControllerName, { id, heartbeat }: PeerMessageOf<'heartbeat'>): void {
    const { machine } = heartbeat;
    this.heartbeatRouter.onForwardedHeartbeat(heartbeat, (response) =>
      this.context.outbox.sendToPeer(sender, { kind: 'heartbeatResponse', id, machine, response }),
    );
  }
}
