/** Connects the core of one controller to sockets, timers and clocks. */
import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import type { PlatformSettings } from '../config/platform.js';
import { Controller } from '../core/controller.js';
import type { Features } from '../core/features.js';
import { logEntry } from '../core/log_events.js';
import type { HeartbeatResponse, Input, Output, RequestId, UserResponse } from '../core/messages.js';
import type { Tuning } from '../core/settings.js';
import type { ClockReading, MonotonicTime, WallClockTime } from '../core/types.js';
import { parseHostPort } from './address.js';
import { CloudTransport } from './cloud/cloud_transport.js';
import { createHttpServer, type RequestHandlers } from './http/http_server.js';
import type { Log } from './log.js';
import { MalformedMessages } from './malformed_messages.js';
import { checkExpiry } from './output_expiry.js';
import type { OnPeerMessage } from './peers/inbound_connection.js';
import { PeerConnections } from './peers/peer_connections.js';
import { PendingRequests } from './pending_requests.js';
import { StateStoreTransport } from './state_store/state_store_transport.js';
import { CommandPushTransport } from './workers/command_push_transport.js';

const SEED_BYTES = 4;
const INCARNATION_BYTES = 8;

type OutputOf<Kind extends Output['kind']> = Extract<Output, { kind: Kind }>;

const readClocks = (): ClockReading => ({
  monotonic: performance.now() as MonotonicTime,
  wallClock: Date.now() as WallClockTime,
});

/**
 * Runs one controller. Inputs are passed to the core one at a time, and the outputs of each step are carried out
 * immediately. The runtime owns all listeners, connections and timers from its construction until `close`.
 */
export class ControllerRuntime {
  private readonly controller: Controller;
  private readonly stateStore: StateStoreTransport;
  private readonly cloud: CloudTransport;
  private readonly workers: CommandPushTransport;
  private readonly peers: PeerConnections;
  private readonly httpServer: Server;
  private readonly malformedMessages: MalformedMessages;
  private readonly userRequests = new PendingRequests<UserResponse>(() => this.nextRequestId());
  private readonly heartbeats = new PendingRequests<HeartbeatResponse>(() => this.nextRequestId());
  private lastRequestId: RequestId = 0;
  private timer: NodeJS.Timeout | null = null;
  /** The time at which `timer` fires. Valid only while `timer` is set. */
  private timerDueAt: MonotonicTime | null = null;
  private isClosed = false;

  constructor(
    private readonly platform: PlatformSettings,
    tuning: Tuning,
    features: Features,
    private readonly log: Log,
  ) {
    const { settings } = platform;
    const seed = randomBytes(SEED_BYTES).readInt32BE(0);
    const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
    this.controller = new Controller(settings, tuning, incarnation, seed, readClocks(), features);
    this.malformedMessages = new MalformedMessages(log);
    this.stateStore = new StateStoreTransport(platform.stateStoreAddress, this.malformedMessages.add);
    this.cloud = new CloudTransport(platform.cloudAddress, this.malformedMessages.add);
    this.workers = new CommandPushTransport(this.malformedMessages.add);
    const onPeerMessage: OnPeerMessage = (sender, message) => this.step({ kind: 'peerMessage', sender, message });
    this.peers = new PeerConnections(settings.controller, platform.peers, onPeerMessage, log);
    this.httpServer = this.createServer();
  }

  private createServer(): Server {
    const handlers: RequestHandlers = {
      handleUserRequest: (request) =>
        this.userRequests.open((requestId) => this.step({ kind: 'userRequest', requestId, request })),
      handleHeartbeat: (heartbeat) =>
        this.heartbeats.open((requestId) => this.step({ kind: 'heartbeat', requestId, heartbeat })),
      isHealthy: () => this.controller.isHealthy(readClocks().monotonic),
      onMalformedMessage: this.malformedMessages.add,
    };
    return createHttpServer(handlers, this.platform.settings.limits.maxConnections);
  }

  private nextRequestId(): RequestId {
    this.lastRequestId += 1;
    return this.lastRequestId;
  }

  /**
   * Starts the listeners, connects to the peers and starts the core. Exits the process with code 1 if the HTTP server
   * can't listen.
   */
  start(): void {
    const { listenAddress, peerListenAddress, peers } = this.platform;
    const { host, port } = parseHostPort(listenAddress);
    this.httpServer.on('error', (error) => {
      this.log(logEntry('listener failed', { listenAddress, error: error.message }));
      process.exit(1);
    });
    this.httpServer.listen(port, host, () => {
      this.log(logEntry('started', { listenAddress, peers: peers.length }));
    });
    this.peers.listen(peerListenAddress);
    this.step({ kind: 'start' });
  }

  /** Closes all listeners and connections and cancels the timer. The core executes no further steps. */
  close(): void {
    this.isClosed = true;
    if (this.timer) clearTimeout(this.timer);
    this.httpServer.close();
    this.httpServer.closeAllConnections();
    this.peers.close();
    this.stateStore.close();
    this.cloud.close();
    this.workers.close();
  }

  private step(input: Input): void {
    if (this.isClosed) return;
    for (const output of this.controller.step(readClocks(), input)) this.dispatchUnlessExpired(output);
    this.scheduleTimer();
  }

  private dispatchUnlessExpired(output: Output): void {
    const { output: unexpired, reply } = checkExpiry(output, readClocks().monotonic);
    if (unexpired) this.dispatch(unexpired);
    if (reply) setImmediate(() => this.step(reply));
  }

  private scheduleTimer(): void {
    const next = this.controller.nextTimerAt();
    if (next === null) return;
    if (this.timer && this.timerDueAt === next) return;
    if (this.timer) clearTimeout(this.timer);
    this.timerDueAt = next;
    const delayMs = Math.max(0, Math.ceil(next - performance.now()));
    this.timer = setTimeout(() => {
      this.timer = null;
      this.step({ kind: 'timer' });
    }, delayMs);
  }

  private dispatch(output: Output): void {
    switch (output.kind) {
      case 'userResponse':
        this.userRequests.settle(output.requestId, output.response);
        break;
      case 'heartbeatResponse':
        this.heartbeats.settle(output.requestId, output.response);
        break;
      case 'stateStoreCall':
        void this.callStateStore(output);
        break;
      case 'cloudCall':
        void this.callCloud(output);
        break;
      case 'commandPush':
        void this.pushCommands(output);
        break;
      case 'peerMessage':
        this.peers.send(output.recipient, output.message);
        break;
      case 'log':
        this.log(output);
        break;
    }
  }

  private async callStateStore({ callId, operation, timeoutMs }: OutputOf<'stateStoreCall'>): Promise<void> {
    const result = await this.stateStore.call(operation, timeoutMs);
    this.step({ kind: 'stateStoreReply', callId, result });
  }

  private async callCloud({ callId, operation }: OutputOf<'cloudCall'>): Promise<void> {
    const result = await this.cloud.call(operation);
    this.step({ kind: 'cloudReply', callId, result });
  }

  private async pushCommands({ callId, operation }: OutputOf<'commandPush'>): Promise<void> {
    const result = await this.workers.push(operation);
    this.step({ kind: 'commandPushReply', callId, result });
  }
}
