import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';
import { call, type NodeAddress, pause } from './processes.js';

/* A stand-in worker in real time, by the names on the wire: reports, tokens, leases, sessions, commands, tasks that run. */

type Fields = Record<string, unknown>;

interface WireTask {
  readonly chick: string;
  readonly hop: bigint;
  mood: 'running' | 'exited';
  cause: string | null;
  end: NodeJS.Timeout | null;
}

/** What happened on all workers together, written down apart from any controller. */
export class WorkRecord {
  readonly orders = { run: 0, stop: 0, reap: 0 };
  /** Starts that had an effect, by task. */
  readonly begun = new Map<string, number>();
  readonly completed = new Map<string, number>();
  readonly leasesLost: string[] = [];
  readonly ranTwice: string[] = [];
  private readonly live = new Map<string, string>();

  resetOrders(): void {
    Object.assign(this.orders, { run: 0, stop: 0, reap: 0 });
  }

  begin(task: string, machine: string): void {
    const other = this.live.get(task);
    if (other !== undefined) this.ranTwice.push(`${task} on ${other} and ${machine}`);
    this.live.set(task, machine);
    this.begun.set(task, (this.begun.get(task) ?? 0) + 1);
  }

  end(task: string, machine: string): void {
    if (this.live.get(task) === machine) this.live.delete(task);
  }

  complete(task: string): void {
    this.completed.set(task, (this.completed.get(task) ?? 0) + 1);
  }

  liveTasks(): number {
    return this.live.size;
  }
}

export interface WorkerOptions {
  readonly id: string;
  readonly zone: string;
  readonly reportMs: number;
  readonly leaseMs: number;
  /** How long tasks of a job run. */
  runMs(job: string): number;
}

const RETRY_MS = 200;
const ANSWER_TIMEOUT_MS = 4000;

export class WireWorker {
  private readonly server: Server;
  private readonly tasks = new Map<string, WireTask>();
  private roost = 1;
  private chirp = 0;
  private crest = 0n;
  private leaseFrom = performance.now();
  private node = 0;
  private alive = true;
  private addr = '';
  private lastReportAt = 0;
  private changed = false;

  constructor(
    private readonly options: WorkerOptions,
    private readonly nodes: readonly NodeAddress[],
    private readonly record: WorkRecord,
  ) {
    this.server = createServer((request, response) => {
      void this.onCommands(request).then(({ status, body }) => {
        response.writeHead(status, { 'content-type': 'application/cbor' });
        response.end(encodeCbor(body));
      });
    });
  }

  get id(): string {
    return this.options.id;
  }

  get address(): string {
    return this.addr;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.addr = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    void this.reportForever();
  }

  /** The machine is gone with everything on it. */
  stop(): void {
    this.alive = false;
    this.clear();
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Whether it shows the newest token that a controller may have. */
  knowsToken(token: bigint): boolean {
    return this.crest === token;
  }

  get session(): number {
    return this.roost;
  }

  get taskNames(): string[] {
    return [...this.tasks.keys()];
  }

  private clear(): void {
    for (const task of this.tasks.values()) this.leave(task);
    this.tasks.clear();
  }

  private leave(task: WireTask): void {
    if (task.end) clearTimeout(task.end);
    if (task.mood === 'running') this.record.end(task.chick, this.id);
  }

  private checkLease(): void {
    if (performance.now() - this.leaseFrom <= this.options.leaseMs) return;
    if (this.tasks.size > 0) this.record.leasesLost.push(this.id);
    this.clear();
    this.roost += 1;
    this.chirp = 0;
    this.leaseFrom = performance.now();
  }

  private report(): Fields {
    this.chirp += 1;
    const place = { breed: 'c8', grove: this.options.zone, loaners: false };
    const numbers = { roost: this.roost, chirp: this.chirp, crest: this.crest };
    const chicks = [...this.tasks.values()].map(({ chick, hop, mood, cause }) => ({ chick, hop, mood, cause }));
    return { perch: this.id, addr: this.addr, ...place, ...numbers, warning_s: null, chicks };
  }

  private async reportForever(): Promise<void> {
    while (this.alive) {
      this.checkLease();
      this.changed = false;
      this.lastReportAt = performance.now();
      const answered = await this.reportOnce();
      if (answered) await this.waitForNext();
      else await pause(RETRY_MS);
    }
  }

  /** A report falls due after its period, or half a second after the last one if something has changed. */
  private async waitForNext(): Promise<void> {
    const due = this.lastReportAt + this.options.reportMs * (0.8 + 0.4 * Math.random());
    const early = this.lastReportAt + 500;
    while (this.alive && performance.now() < (this.changed ? Math.min(early, due) : due)) await pause(20);
  }

  private async reportOnce(): Promise<boolean> {
    const sentAt = performance.now();
    const { roost } = this;
    const { port } = this.nodes[this.node % this.nodes.length] as NodeAddress;
    const reply = await call(port, 'POST', '/agent/beat', this.report(), ANSWER_TIMEOUT_MS);
    if (!this.alive) return false;
    if (reply?.status === 421 && typeof reply.body.nest === 'string') {
      this.node = this.nodes.findIndex(({ name }) => name === reply.body.nest);
      return false;
    }
    if (reply?.status !== 200) {
      this.node += 1;
      return false;
    }
    const crest = BigInt(reply.body.crest as number | bigint);
    if (roost !== this.roost || crest < this.crest) return true;
    if (crest > this.crest) this.changed = true;
    this.crest = crest;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    for (const command of reply.body.calls as Fields[]) this.execute(command);
    return true;
  }

  private async onCommands(request: IncomingMessage): Promise<{ status: number; body: Fields }> {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const body = decodeCbor(Buffer.concat(parts)) as Fields;
    const crest = BigInt(body.crest as number | bigint);
    const executed = crest >= this.crest && Number(body.roost) === this.roost;
    if (executed) {
      if (crest > this.crest) this.changed = true;
      this.crest = crest;
      for (const command of body.calls as Fields[]) this.execute(command);
    }
    return { status: executed ? 200 : 409, body: this.report() };
  }

  private execute(command: Fields): void {
    const chick = String(command.chick);
    const hop = BigInt(command.hop as number | bigint);
    const task = this.tasks.get(chick);
    this.record.orders[command.call as keyof WorkRecord['orders']] += 1;
    if (command.call === 'run') this.run(chick, hop, task);
    else if (task?.hop !== hop) return;
    else if (command.call === 'reap' && task.mood === 'exited') this.tasks.delete(chick);
    else if (command.call === 'stop' && task.mood === 'running') this.exit(task, 'stopped');
  }

  private run(chick: string, hop: bigint, before: WireTask | undefined): void {
    if (before && (before.hop === hop || before.mood === 'running')) return;
    const task: WireTask = { chick, hop, mood: 'running', cause: null, end: null };
    const job = chick.slice(0, chick.lastIndexOf('/'));
    this.tasks.set(chick, task);
    this.record.begin(chick, this.id);
    this.changed = true;
    task.end = setTimeout(() => {
      this.record.complete(chick);
      this.exit(task, 'done');
    }, this.options.runMs(job));
  }

  private exit(task: WireTask, cause: string): void {
    this.leave(task);
    task.mood = 'exited';
    task.cause = cause;
    this.changed = true;
  }
}
