import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import type { PlatformSettings } from '../config/platform.js';
import { Controller } from '../core/controller.js';
import type { Features } from '../core/features.js';
import type {
  HeartbeatResponse,
  Input,
  OutcomeUnknown,
  Output,
  RequestId,
  Result,
  StateStoreOperation,
  UserResponse,
} from '../core/messages.js';
import type { Tuning } from '../core/settings.js';
import type { ClockReading, MonotonicTime, WallClockTime } from '../core/types.js';
import { parseHostPort } from './address.js';
import { decodeCloudResponse, encodeCloudRequest } from './cloud/cloud_codec.js';
import { HttpClient, type HttpResponse } from './http/http_client.js';
import { createHttpServer } from './http/http_server.js';
import type { Log } from './log.js';
import { checkExpiry } from './output_expiry.js';
import { PeerConnections } from './peers/peer_connections.js';
import { decodeStateStoreResponse, encodeStateStoreRequest } from './state_store/state_store_codec.js';
import { WorkerClients } from './workers/worker_clients.js';
import { COMMANDS_PATH, decodePushedCommandsResponse, encodePushedCommands } from './workers/worker_codec.js';

const CLOUD_TIMEOUT_MS = 4000;
const WORKER_TIMEOUT_MS = 2500;
const STATE_STORE_SOCKETS = 24;
const WATCH_SOCKETS = 4;
const CLOUD_SOCKETS = 4;
const INCARNATION_BYTES = 8;

/** Sockets and timers round the core: inputs go in one at a time, outputs are carried out at once. */
export class Runtime {
  private readonly controller: Controller;
  private readonly stateStoreClient: HttpClient;
  private readonly watchClient: HttpClient;
  private readonly cloudClient: HttpClient;
  private readonly workerClients = new WorkerClients();
  private readonly peers: PeerConnections;
  private readonly httpServer: Server;
  private readonly pendingUserRequests = new Map<RequestId, (answer: UserResponse) => void>();
  private readonly pendingHeartbeats = new Map<RequestId, (answer: HeartbeatResponse) => void>();
  private lastRequestId: RequestId = 0;
  private timer: NodeJS.Timeout | null = null;
  private timerDueAt: MonotonicTime | null = null;
  private malformedCount = 0;

  constructor(
    private readonly platform: PlatformSettings,
    tuning: Tuning,
    features: Features,
    private readonly log: Log,
  ) {
    const { settings } = platform;
    const seed = randomBytes(4).readInt32BE(0);
    const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
    this.controller = new Controller(settings, tuning, incarnation, seed, this.now(), features);
    this.stateStoreClient = new HttpClient(platform.stateStoreAddress, STATE_STORE_SOCKETS);
    this.watchClient = new HttpClient(platform.stateStoreAddress, WATCH_SOCKETS);
    this.cloudClient = new HttpClient(platform.cloudAddress, CLOUD_SOCKETS);
    this.peers = new PeerConnections(
      settings.controller,
      platform.peers,
      (sender, message) => this.step({ kind: 'peerMessage', sender, message }),
      log,
    );
    this.httpServer = this.createServer();
  }

  private createServer(): Server {
    return createHttpServer(
      {
        handleUserRequest: (request) =>
          new Promise((resolve) => {
            const requestId = ++this.lastRequestId;
            this.pendingUserRequests.set(requestId, resolve);
            this.step({ kind: 'userRequest', requestId, request });
          }),
        handleHeartbeat: (heartbeat) =>
          new Promise((resolve) => {
            const requestId = ++this.lastRequestId;
            this.pendingHeartbeats.set(requestId, resolve);
            this.step({ kind: 'heartbeat', requestId, heartbeat });
          }),
        isHealthy: () => this.controller.isHealthy(this.now().monotonic),
        onMalformedMessage: (what) => this.countMalformedMessage(what),
      },
      this.platform.settings.limits.maxConnections,
    );
  }

  start(): void {
    const { listenAddress } = this.platform;
    const { host, port } = parseHostPort(listenAddress);
    this.httpServer.on('error', (error) => {
      this.log('error', 'cannot listen', { listen: listenAddress, error: error.message });
      process.exit(1);
    });
    this.httpServer.listen(port, host, () => {
      this.log('info', 'started', { listen: listenAddress, peers: this.platform.peers.length });
    });
    this.peers.listen(this.platform.peerListenAddress);
    this.step({ kind: 'start' });
  }

  private now(): ClockReading {
    return { monotonic: performance.now() as MonotonicTime, wallClock: Date.now() as WallClockTime };
  }

  /** Counted always, logged at growing distances: a flood of bad messages must not become a flood of lines. */
  private countMalformedMessage(what: string): void {
    this.malformedCount += 1;
    const isPowerOfTwo = (this.malformedCount & (this.malformedCount - 1)) === 0;
    if (isPowerOfTwo) this.log('info', 'malformed message dropped', { what, count: this.malformedCount });
  }

  private step(input: Input): void {
    for (const output of this.controller.step(this.now(), input)) this.dispatchUnlessExpired(output);
    this.scheduleTimer();
  }

  private dispatchUnlessExpired(output: Output): void {
    const { output: due, reply } = checkExpiry(output, this.now().monotonic);
    if (due) this.dispatch(due);
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
        this.pendingUserRequests.get(output.requestId)?.(output.response);
        this.pendingUserRequests.delete(output.requestId);
        break;
      case 'heartbeatResponse':
        this.pendingHeartbeats.get(output.requestId)?.(output.response);
        this.pendingHeartbeats.delete(output.requestId);
        break;
      case 'stateStoreCall':
        this.callStateStore(output);
        break;
      case 'cloudCall':
        this.callCloud(output);
        break;
      case 'commandPush':
        this.callWorker(output);
        break;
      case 'peerMessage':
        this.peers.send(output.recipient, output.message);
        break;
      case 'log':
        this.log(output.level, output.event, output.fields);
        break;
    }
  }

  private callStateStore({ callId, operation, timeoutMs }: Extract<Output, { kind: 'stateStoreCall' }>): void {
    const client = isWatch(operation) ? this.watchClient : this.stateStoreClient;
    client.send(encodeStateStoreRequest(operation), timeoutMs, (answer) => {
      const result = this.decodeResponse(answer, 'state service', ({ status, body }) =>
        decodeStateStoreResponse(operation, status, body),
      );
      this.step({ kind: 'stateStoreReply', callId, result });
    });
  }

  private callCloud({ callId, operation }: Extract<Output, { kind: 'cloudCall' }>): void {
    this.cloudClient.send(encodeCloudRequest(operation), CLOUD_TIMEOUT_MS, (answer) => {
      const result = this.decodeResponse(answer, 'cloud', ({ status, body }) =>
        decodeCloudResponse(operation, status, body),
      );
      this.step({ kind: 'cloudReply', callId, result });
    });
  }

  private callWorker({ callId, operation }: Extract<Output, { kind: 'commandPush' }>): void {
    const request = { method: 'POST', path: COMMANDS_PATH, body: encodePushedCommands(operation) } as const;
    this.workerClients.clientFor(operation.address).send(request, WORKER_TIMEOUT_MS, (answer) => {
      const result = this.decodeResponse(answer, 'worker', ({ status, body }) =>
        decodePushedCommandsResponse(status, body),
      );
      this.step({ kind: 'commandPushReply', callId, result });
    });
  }

  /** What an answer says; one that is missing or malformed leaves it unknown whether the call was carried out. */
  private decodeResponse<T, E>(
    answer: HttpResponse | null,
    from: string,
    decode: (answer: HttpResponse) => Result<T, E>,
  ): Result<T, E | OutcomeUnknown> {
    if (!answer) return { ok: false, error: { code: 'outcomeUnknown' } };
    try {
      return decode(answer);
    } catch (error) {
      this.countMalformedMessage(`${from}: ${(error as Error).message}`);
      return { ok: false, error: { code: 'outcomeUnknown' } };
    }
  }
}

const isWatch = (op: StateStoreOperation): boolean => op.op === 'watch';
