import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import type { Platform } from '../config/platform.js';
import { Controller } from '../core/controller.js';
import type { Features } from '../core/features.js';
import type {
  HeartbeatResponse,
  Input,
  Output,
  RequestId,
  Result,
  StateStoreOperation,
  UserResponse,
} from '../core/messages.js';
import type { Tuning } from '../core/settings.js';
import type { ClockReading, MonotonicTime, WallClockTime } from '../core/types.js';
import { hostPort } from './address.js';
import { decodeCloudAnswer, encodeCloudCall } from './codecs/cloud_codec.js';
import { decodeStoreAnswer, encodeStoreCall } from './codecs/store_codec.js';
import { COMMANDS_PATH, decodeCommandsAnswer, encodeCommands } from './codecs/worker_codec.js';
import { checkExpiry } from './expired_outputs.js';
import { type HttpAnswer, HttpClient } from './http_client.js';
import { makeHttpServer } from './http_server.js';
import type { Log } from './log.js';
import { PeerLink } from './peer/peer_link.js';
import { WorkerClients } from './worker_clients.js';

const CLOUD_TIMEOUT_MS = 4000;
const WORKER_TIMEOUT_MS = 2500;
const STORE_SOCKETS = 24;
const WATCH_SOCKETS = 4;
const CLOUD_SOCKETS = 4;
const INCARNATION_BYTES = 8;

/** Sockets and timers round the core: inputs go in one at a time, outputs are carried out at once. */
export class Runtime {
  private readonly node: Controller;
  private readonly store: HttpClient;
  private readonly watches: HttpClient;
  private readonly cloud: HttpClient;
  private readonly workers = new WorkerClients();
  private readonly peers: PeerLink;
  private readonly httpServer: Server;
  private readonly userCallbacks = new Map<RequestId, (answer: UserResponse) => void>();
  private readonly workerCallbacks = new Map<RequestId, (answer: HeartbeatResponse) => void>();
  private lastRequest: RequestId = 0;
  private timer: NodeJS.Timeout | null = null;
  private timerAt: MonotonicTime | null = null;
  private malformedCount = 0;

  constructor(
    private readonly platform: Platform,
    tuning: Tuning,
    features: Features,
    private readonly log: Log,
  ) {
    const { settings } = platform;
    const seed = randomBytes(4).readInt32BE(0);
    const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
    this.node = new Controller(settings, tuning, incarnation, seed, this.now(), features);
    this.store = new HttpClient(platform.storeAddr, STORE_SOCKETS);
    this.watches = new HttpClient(platform.storeAddr, WATCH_SOCKETS);
    this.cloud = new HttpClient(platform.cloudAddr, CLOUD_SOCKETS);
    this.peers = new PeerLink(
      settings.controller,
      platform.peers,
      (sender, message) => this.step({ kind: 'peer', sender, message }),
      log,
    );
    this.httpServer = this.makeServer();
  }

  private makeServer(): Server {
    return makeHttpServer(
      {
        user: (request) =>
          new Promise((resolve) => {
            const requestId = ++this.lastRequest;
            this.userCallbacks.set(requestId, resolve);
            this.step({ kind: 'user', requestId, request });
          }),
        report: (heartbeat) =>
          new Promise((resolve) => {
            const requestId = ++this.lastRequest;
            this.workerCallbacks.set(requestId, resolve);
            this.step({ kind: 'report', requestId, heartbeat });
          }),
        healthy: () => this.node.isHealthy(this.now().monotonic),
        malformed: (what) => this.countMalformed(what),
      },
      this.platform.settings.limits.maxConnections,
    );
  }

  start(): void {
    const { listen } = this.platform;
    const { host, port } = hostPort(listen);
    this.httpServer.on('error', (error) => {
      this.log('error', 'cannot listen', { listen, error: error.message });
      process.exit(1);
    });
    this.httpServer.listen(port, host, () => {
      this.log('info', 'started', { listen, peers: this.platform.peers.length });
    });
    this.peers.listen(this.platform.peerListen);
    this.step({ kind: 'start' });
  }

  private now(): ClockReading {
    return { monotonic: performance.now() as MonotonicTime, wallClock: Date.now() as WallClockTime };
  }

  /** Counted always, logged at growing distances: a flood of bad messages must not become a flood of lines. */
  private countMalformed(what: string): void {
    this.malformedCount += 1;
    const isPowerOfTwo = (this.malformedCount & (this.malformedCount - 1)) === 0;
    if (isPowerOfTwo) this.log('info', 'malformed message dropped', { what, count: this.malformedCount });
  }

  private step(input: Input): void {
    for (const output of this.node.step(this.now(), input)) this.carryOutIfDue(output);
    this.setTimer();
  }

  private carryOutIfDue(output: Output): void {
    const { output: due, reply } = checkExpiry(output, this.now().monotonic);
    if (due) this.carryOut(due);
    if (reply) setImmediate(() => this.step(reply));
  }

  private setTimer(): void {
    const next = this.node.nextTimerAt();
    if (next === null) return;
    if (this.timer && this.timerAt === next) return;
    if (this.timer) clearTimeout(this.timer);
    this.timerAt = next;
    const delayMs = Math.max(0, Math.ceil(next - performance.now()));
    this.timer = setTimeout(() => {
      this.timer = null;
      this.step({ kind: 'timer' });
    }, delayMs);
  }

  private carryOut(output: Output): void {
    switch (output.kind) {
      case 'answerUser':
        this.userCallbacks.get(output.requestId)?.(output.response);
        this.userCallbacks.delete(output.requestId);
        break;
      case 'answerWorker':
        this.workerCallbacks.get(output.requestId)?.(output.response);
        this.workerCallbacks.delete(output.requestId);
        break;
      case 'store':
        this.callStore(output);
        break;
      case 'cloud':
        this.callCloud(output);
        break;
      case 'worker':
        this.callWorker(output);
        break;
      case 'peer':
        this.peers.send(output.recipient, output.message);
        break;
      case 'log':
        this.log(output.level, output.event, output.fields);
        break;
    }
  }

  private callStore({ callId, operation, timeoutMs }: Extract<Output, { kind: 'store' }>): void {
    const client = isWatch(operation) ? this.watches : this.store;
    client.call(encodeStoreCall(operation), timeoutMs, (answer) => {
      const result = this.read(answer, 'state service', ({ status, body }) =>
        decodeStoreAnswer(operation, status, body),
      );
      this.step({ kind: 'storeReply', callId, result });
    });
  }

  private callCloud({ callId, operation }: Extract<Output, { kind: 'cloud' }>): void {
    this.cloud.call(encodeCloudCall(operation), CLOUD_TIMEOUT_MS, (answer) => {
      const result = this.read(answer, 'cloud', ({ status, body }) => decodeCloudAnswer(operation, status, body));
      this.step({ kind: 'cloudReply', callId, result });
    });
  }

  private callWorker({ callId, operation }: Extract<Output, { kind: 'worker' }>): void {
    const request = { method: 'POST', path: COMMANDS_PATH, body: encodeCommands(operation) } as const;
    this.workers.to(operation.address).call(request, WORKER_TIMEOUT_MS, (answer) => {
      const result = this.read(answer, 'worker', ({ status, body }) => decodeCommandsAnswer(status, body));
      this.step({ kind: 'workerReply', callId, result });
    });
  }

  /** What an answer says; one that is missing or malformed leaves it unknown whether the call was carried out. */
  private read<T>(answer: HttpAnswer | null, from: string, decode: (answer: HttpAnswer) => Result<T>): Result<T> {
    if (!answer) return { ok: false, why: 'unknown' };
    try {
      return decode(answer);
    } catch (error) {
      this.countMalformed(`${from}: ${(error as Error).message}`);
      return { ok: false, why: 'unknown' };
    }
  }
}

const isWatch = (op: StateStoreOperation): boolean => op.op === 'watch';
