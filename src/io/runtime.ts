import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import type { Platform } from '../config/platform.js';
import type { Input, Output, Result, UserAnswer, WorkerAnswer } from '../core/messages.js';
import { Node } from '../core/node.js';
import type { Tuning } from '../core/settings.js';
import type { Now, Steady, Wall } from '../core/types.js';
import { hostPort } from './address.js';
import { HttpClient, type Reply } from './http_client.js';
import { makeHttpServer } from './http_server.js';
import type { Log } from './log.js';
import { PeerLink } from './peer_link.js';
import {
  COMMANDS_PATH,
  decodeCloud,
  decodeDirect,
  decodeStore,
  encodeCloud,
  encodeDirect,
  encodeStore,
} from './wire.js';

const CLOUD_TIMEOUT_MS = 4000;
const WORKER_TIMEOUT_MS = 2500;
const WORKER_SOCKETS = 1;

/** Sockets and timers round the core: inputs go in one at a time, outputs are carried out at once. */
export class Runtime {
  private readonly node: Node;
  private readonly store: HttpClient;
  private readonly watches: HttpClient;
  private readonly cloud: HttpClient;
  private readonly workers = new Map<string, HttpClient>();
  private readonly peers: PeerLink;
  private readonly httpServer: Server;
  private readonly userWaits = new Map<number, (a: UserAnswer) => void>();
  private readonly workerWaits = new Map<number, (a: WorkerAnswer) => void>();
  private lastRequest = 0;
  private timer: NodeJS.Timeout | null = null;
  private timerAt = Number.POSITIVE_INFINITY;
  private malformedCount = 0;

  constructor(
    private readonly platform: Platform,
    tuning: Tuning,
    private readonly log: Log,
  ) {
    const seed = randomBytes(4).readInt32BE(0);
    const incarnation = randomBytes(8).toString('hex');
    this.node = new Node(platform.settings, tuning, incarnation, seed, this.now());
    this.store = new HttpClient(platform.storeAddr, 24);
    this.watches = new HttpClient(platform.storeAddr, 4);
    this.cloud = new HttpClient(platform.cloudAddr, 4);
    this.peers = new PeerLink(
      platform.settings.node,
      platform.peers,
      (from, message) => this.step({ kind: 'peer', from, message }),
      log,
    );
    this.httpServer = makeHttpServer(
      {
        user: (request) =>
          new Promise((resolve) => {
            const req = ++this.lastRequest;
            this.userWaits.set(req, resolve);
            this.step({ kind: 'user', req, request });
          }),
        report: (report) =>
          new Promise((resolve) => {
            const req = ++this.lastRequest;
            this.workerWaits.set(req, resolve);
            this.step({ kind: 'report', req, report });
          }),
        healthy: () => this.node.healthy(this.now().steady),
        malformed: (what) => this.malformed(what),
      },
      platform.settings.limits.connections,
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

  private now(): Now {
    return { steady: performance.now() as Steady, wall: Date.now() as Wall };
  }

  private malformed(what: string): void {
    this.malformedCount += 1;
    // Counted always, told at growing distances: a flood of bad messages must not become a flood of lines.
    if ((this.malformedCount & (this.malformedCount - 1)) === 0) {
      this.log('info', 'malformed message dropped', { what, count: this.malformedCount });
    }
  }

  private step(input: Input): void {
    for (const o of this.node.step(this.now(), input)) this.carryOut(o);
    this.setTimer();
  }

  private setTimer(): void {
    const next = this.node.nextTimer();
    if (next === null) return;
    if (this.timer && this.timerAt === next) return;
    if (this.timer) clearTimeout(this.timer);
    this.timerAt = next;
    this.timer = setTimeout(
      () => {
        this.timer = null;
        this.step({ kind: 'timer' });
      },
      Math.max(0, Math.ceil(next - performance.now())),
    );
  }

  private carryOut(output: Output): void {
    switch (output.kind) {
      case 'answerUser': {
        this.userWaits.get(output.req)?.(output.answer);
        this.userWaits.delete(output.req);
        break;
      }
      case 'answerWorker': {
        this.workerWaits.get(output.req)?.(output.answer);
        this.workerWaits.delete(output.req);
        break;
      }
      case 'store': {
        const client = output.op.op === 'watch' ? this.watches : this.store;
        const { method, path, body } = encodeStore(output.op);
        client.call(method, path, body, output.timeoutMs, (reply) => {
          const result = this.read(reply, 'state service', (r) => decodeStore(output.op, r.status, r.body));
          this.step({ kind: 'storeReply', call: output.call, result });
        });
        break;
      }
      case 'cloud': {
        const { method, path, body } = encodeCloud(output.op);
        this.cloud.call(method, path, body, CLOUD_TIMEOUT_MS, (reply) => {
          const result = this.read(reply, 'cloud', (r) => decodeCloud(output.op, r.status, r.body));
          this.step({ kind: 'cloudReply', call: output.call, result });
        });
        break;
      }
      case 'worker': {
        const client = this.workerClient(output.op.addr);
        client.call('POST', COMMANDS_PATH, encodeDirect(output.op), WORKER_TIMEOUT_MS, (reply) => {
          const result = this.read(reply, 'worker', (r) => decodeDirect(r.status, r.body));
          this.step({ kind: 'workerReply', call: output.call, result });
        });
        break;
      }
      case 'peer':
        this.peers.send(output.to, output.message);
        break;
      case 'log':
        this.log(output.level, output.text, output.fields);
        break;
    }
  }

  private workerClient(addr: string): HttpClient {
    let client = this.workers.get(addr);
    if (!client) {
      // Machines come and go: only the most recently used addresses keep a connection.
      if (this.workers.size >= 128) {
        const [oldest, old] = this.workers.entries().next().value as [string, HttpClient];
        old.close();
        this.workers.delete(oldest);
      }
      client = new HttpClient(addr, WORKER_SOCKETS);
      this.workers.set(addr, client);
    }
    return client;
  }

  private read<T>(reply: Reply | null, from: string, decode: (r: Reply) => Result<T>): Result<T> {
    if (!reply) return { ok: false, why: 'unknown' };
    try {
      return decode(reply);
    } catch (e) {
      this.malformed(`${from}: ${(e as Error).message}`);
      return { ok: false, why: 'unknown' };
    }
  }
}
