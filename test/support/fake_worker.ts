import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';
import { sendRequest } from './http.js';
import { type ControllerAddress, pause } from './processes.js';

/* A stand-in worker in real time, by the names on the wire: heartbeats, fencing tokens, leases, commands, tasks that run. */

type Fields = Record<string, unknown>;

interface FakeTask {
  readonly name: string;
  readonly attempt: bigint;
  phase: 'running' | 'exited';
  exitReason: string | null;
  completion: NodeJS.Timeout | null;
}

/** What happened on all workers together, written down apart from any controller. */
export class WorkLog {
  /** Commands that reached workers, by their names on the wire. */
  readonly commands = { run: 0, stop: 0, reap: 0 };
  /** Starts that had an effect, by task. */
  readonly startsByTask = new Map<string, number>();
  /** Tasks that ran to their end, by task. */
  readonly completionsByTask = new Map<string, number>();
  /** Machines whose lease expired under their tasks. */
  readonly expiredLeases: string[] = [];
  /** Tasks that ran in two places at once. */
  readonly concurrentRuns: string[] = [];
  private readonly runningOn = new Map<string, string>();

  /** Counts commands from now on. */
  resetCommands(): void {
    Object.assign(this.commands, { run: 0, stop: 0, reap: 0 });
  }

  /** A task begins on a machine. */
  onStarted(task: string, machine: string): void {
    const other = this.runningOn.get(task);
    if (other !== undefined) this.concurrentRuns.push(`${task} on ${other} and ${machine}`);
    this.runningOn.set(task, machine);
    this.startsByTask.set(task, (this.startsByTask.get(task) ?? 0) + 1);
  }

  /** A task is no longer on a machine. */
  onEnded(task: string, machine: string): void {
    if (this.runningOn.get(task) === machine) this.runningOn.delete(task);
  }

  /** A task has run to its end. */
  onCompleted(task: string): void {
    this.completionsByTask.set(task, (this.completionsByTask.get(task) ?? 0) + 1);
  }

  /** How many tasks run on all machines. */
  runningTasks(): number {
    return this.runningOn.size;
  }
}

/** A machine and its timing. */
export interface FakeWorkerOptions {
  readonly id: string;
  readonly zone: string;
  readonly heartbeatMs: number;
  readonly leaseMs: number;
  /** How long tasks of a job run. */
  runMs(job: string): number;
}

/** After a heartbeat that failed. */
export const RETRY_DELAY_MS = 200;
/** The time between two heartbeats, as shares of the period. */
export const SHORTEST_PERIOD_SHARE = 0.8;
const LONGEST_PERIOD_SHARE = 1.2;
const RESPONSE_TIMEOUT_MS = 4000;

/** A worker in real time: heartbeats, leases, pushed commands, and tasks that end after their runtime. */
export class FakeWorker {
  private readonly server: Server;
  private readonly tasks = new Map<string, FakeTask>();
  private agentEpoch = 1;
  private sequence = 0;
  private highestFencingToken = 0n;
  private leaseRenewedAt = performance.now();
  private controllerIndex = 0;
  private isAlive = true;
  private listenAddress = '';
  private lastHeartbeatAt = 0;
  private hasUnreportedChange = false;
  /** Heartbeats that a controller answered with commands, and heartbeats that nobody answered so. */
  answeredHeartbeats = 0;
  failedHeartbeats = 0;

  constructor(
    private readonly options: FakeWorkerOptions,
    private readonly controllers: readonly ControllerAddress[],
    private readonly log: WorkLog,
  ) {
    this.server = createServer((request, response) => {
      void this.receivePushedCommands(request).then(({ status, body }) => {
        response.writeHead(status, { 'content-type': 'application/cbor' });
        response.end(encodeCbor(body));
      });
    });
  }

  /** The name of its machine. */
  get id(): string {
    return this.options.id;
  }

  /** Where commands are pushed to. */
  get address(): string {
    return this.listenAddress;
  }

  /** Listens for pushed commands, and sends heartbeats from now on. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.listenAddress = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    void this.sendHeartbeats();
  }

  /** The machine is gone with everything on it. */
  stop(): void {
    this.isAlive = false;
    this.dropTasks();
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Whether it shows the newest token that a controller may have. */
  hasFencingToken(token: bigint): boolean {
    return this.highestFencingToken === token;
  }

  /** How many leases it has had. */
  get currentAgentEpoch(): number {
    return this.agentEpoch;
  }

  /** The tasks that it shows, exited ones with them. */
  get taskNames(): string[] {
    return [...this.tasks.keys()];
  }

  private dropTasks(): void {
    for (const task of this.tasks.values()) this.onTaskLeft(task);
    this.tasks.clear();
  }

  private onTaskLeft(task: FakeTask): void {
    if (task.completion) clearTimeout(task.completion);
    if (task.phase === 'running') this.log.onEnded(task.name, this.id);
  }

  private checkLease(): void {
    if (performance.now() - this.leaseRenewedAt <= this.options.leaseMs) return;
    if (this.tasks.size > 0) this.log.expiredLeases.push(this.id);
    this.dropTasks();
    this.agentEpoch += 1;
    this.sequence = 0;
    this.leaseRenewedAt = performance.now();
  }

  private makeHeartbeat(): Fields {
    this.sequence += 1;
    const place = { breed: 'c8', grove: this.options.zone, loaners: false };
    const order = { roost: this.agentEpoch, chirp: this.sequence, crest: this.highestFencingToken };
    const chicks = [...this.tasks.values()].map(({ name, attempt, phase, exitReason }) => ({
      chick: name,
      hop: attempt,
      mood: phase,
      cause: exitReason,
    }));
    return { perch: this.id, addr: this.listenAddress, ...place, ...order, warning_s: null, chicks };
  }

  private async sendHeartbeats(): Promise<void> {
    while (this.isAlive) {
      this.checkLease();
      this.hasUnreportedChange = false;
      this.lastHeartbeatAt = performance.now();
      const answered = await this.sendHeartbeat();
      if (answered) this.answeredHeartbeats += 1;
      else this.failedHeartbeats += 1;
      if (answered) await this.waitForNextHeartbeat();
      else await pause(RETRY_DELAY_MS);
    }
  }

  /** A heartbeat is due after its period, or half a second after the last one if something has changed. */
  private async waitForNextHeartbeat(): Promise<void> {
    const due =
      this.lastHeartbeatAt +
      this.options.heartbeatMs *
        (SHORTEST_PERIOD_SHARE + (LONGEST_PERIOD_SHARE - SHORTEST_PERIOD_SHARE) * Math.random());
    const early = this.lastHeartbeatAt + 500;
    while (this.isAlive && performance.now() < (this.hasUnreportedChange ? Math.min(early, due) : due)) await pause(20);
  }

  private async sendHeartbeat(): Promise<boolean> {
    const sentAt = performance.now();
    const { agentEpoch } = this;
    const { port } = this.controllers[this.controllerIndex % this.controllers.length] as ControllerAddress;
    const reply = await sendRequest(port, 'POST', '/agent/beat', this.makeHeartbeat(), RESPONSE_TIMEOUT_MS);
    if (!this.isAlive) return false;
    if (reply?.status === 421 && typeof reply.body.nest === 'string') {
      this.controllerIndex = this.controllers.findIndex(({ name }) => name === reply.body.nest);
      return false;
    }
    if (reply?.status !== 200) {
      this.controllerIndex += 1;
      return false;
    }
    const crest = BigInt(reply.body.crest as number | bigint);
    if (agentEpoch !== this.agentEpoch || crest < this.highestFencingToken) return true;
    if (crest > this.highestFencingToken) this.hasUnreportedChange = true;
    this.highestFencingToken = crest;
    this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
    for (const command of reply.body.calls as Fields[]) this.execute(command);
    return true;
  }

  private async receivePushedCommands(request: IncomingMessage): Promise<{ status: number; body: Fields }> {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const body = decodeCbor(Buffer.concat(parts)) as Fields;
    const crest = BigInt(body.crest as number | bigint);
    const executed = crest >= this.highestFencingToken && Number(body.roost) === this.agentEpoch;
    if (executed) {
      if (crest > this.highestFencingToken) this.hasUnreportedChange = true;
      this.highestFencingToken = crest;
      for (const command of body.calls as Fields[]) this.execute(command);
    }
    return { status: executed ? 200 : 409, body: this.makeHeartbeat() };
  }

  private execute(command: Fields): void {
    const chick = String(command.chick);
    const hop = BigInt(command.hop as number | bigint);
    const task = this.tasks.get(chick);
    this.log.commands[command.call as keyof WorkLog['commands']] += 1;
    if (command.call === 'run') this.startTask(chick, hop, task);
    else if (task?.attempt !== hop) return;
    else if (command.call === 'reap' && task.phase === 'exited') this.tasks.delete(chick);
    else if (command.call === 'stop' && task.phase === 'running') this.exitTask(task, 'stopped');
  }

  private startTask(name: string, attempt: bigint, before: FakeTask | undefined): void {
    if (before && (before.attempt === attempt || before.phase === 'running')) return;
    const task: FakeTask = { name, attempt, phase: 'running', exitReason: null, completion: null };
    const job = name.slice(0, name.lastIndexOf('/'));
    this.tasks.set(name, task);
    this.log.onStarted(name, this.id);
    this.hasUnreportedChange = true;
    task.completion = setTimeout(() => {
      this.log.onCompleted(name);
      this.exitTask(task, 'done');
    }, this.options.runMs(job));
  }

  private exitTask(task: FakeTask, cause: string): void {
    this.onTaskLeft(task);
    task.phase = 'exited';
    task.exitReason = cause;
    this.hasUnreportedChange = true;
  }
}
