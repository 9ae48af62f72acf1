import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { decodeCbor, encodeCbor } from '../../src/io/wire/cbor.js';
import { sendRequest } from './http.js';
import { type ControllerAddress, pause } from './processes.js';
import { PushFaults } from './push_faults.js';

/*
 * Stand-in for workers in tests with real controller processes. It runs in real time and uses the names on the wire for
 * heartbeats, fencing tokens, leases, commands and tasks.
 */

type Fields = Record<string, unknown>;

interface FakeTask {
  readonly name: string;
  readonly attempt: bigint;
  phase: 'running' | 'exited';
  exitReason: string | null;
  completion: NodeJS.Timeout | null;
}

/** Record of what happened on all workers, kept independently of the controllers. */
export class WorkLog {
  /** Number of commands that workers received, by their names on the wire. */
  readonly commands = { run: 0, stop: 0, reap: 0 };
  /** Number of executions started, by task. Start commands without an effect don't count. */
  readonly startsByTask = new Map<string, number>();
  /** Number of executions that ran to completion, by task. */
  readonly completionsByTask = new Map<string, number>();
  /** Ids of the machines whose workers had tasks when their lease expired, one entry for each expiry. */
  readonly expiredLeases: string[] = [];
  /** Descriptions of the cases in which a task ran on two machines at the same time. */
  readonly concurrentRuns: string[] = [];
  private readonly machineByTask = new Map<string, string>();

  /** Sets the counts of commands to zero. */
  resetCommands(): void {
    Object.assign(this.commands, { run: 0, stop: 0, reap: 0 });
  }

  /** Records that a task started to run on a machine. */
  onStarted(task: string, machine: string): void {
    const other = this.machineByTask.get(task);
    if (other !== undefined) this.concurrentRuns.push(`${task} on ${other} and ${machine}`);
    this.machineByTask.set(task, machine);
    this.startsByTask.set(task, (this.startsByTask.get(task) ?? 0) + 1);
  }

  /** Records that a task no longer runs on a machine. */
  onEnded(task: string, machine: string): void {
    if (this.machineByTask.get(task) === machine) this.machineByTask.delete(task);
  }

  /** Records that a task ran to completion. */
  onCompleted(task: string): void {
    this.completionsByTask.set(task, (this.completionsByTask.get(task) ?? 0) + 1);
  }

  /** Returns the number of tasks that run on all machines together, of one job or of all. */
  runningTasks(job?: string): number {
    const tasks = [...this.machineByTask.keys()];
    return job === undefined ? tasks.length : tasks.filter((task) => task.startsWith(`${job}/`)).length;
  }
}

/** Identity of a worker's machine, and the worker's timing. */
export interface FakeWorkerOptions {
  readonly id: string;
  readonly zone: string;
  readonly heartbeatMs: number;
  readonly leaseMs: number;
  /** Returns the runtime of each task of a job, in milliseconds. */
  runMs(job: string): number;
}

/** Delay before the next heartbeat after a failed one, in milliseconds. */
export const HEARTBEAT_RETRY_DELAY_MS = 200;
/** Bounds of the random time between two heartbeats, as factors of the heartbeat period. */
export const MIN_HEARTBEAT_PERIOD_FACTOR = 0.8;
const MAX_HEARTBEAT_PERIOD_FACTOR = 1.2;
const RESPONSE_TIMEOUT_MS = 4000;

/** A worker that sends heartbeats, holds a lease, receives pushed commands and ends each task after its runtime. */
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
  private hasUnsentChange = false;
  /** Faults on the way of pushed commands to this worker. */
  readonly pushFaults = new PushFaults((push) => this.executePush(push));
  /** Number of heartbeats that got a response with status 200. */
  successfulHeartbeats = 0;
  /** Number of heartbeats that got a redirect, an error or no response in time. */
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

  /** The id of the worker's machine. */
  get id(): string {
    return this.options.id;
  }

  /** The address to which controllers push commands. */
  get address(): string {
    return this.listenAddress;
  }

  /** Listens for pushed commands and begins to send heartbeats. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.listenAddress = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    void this.sendHeartbeats();
  }

  /** Simulates the loss of the machine by ending the worker and all of its tasks. */
  stop(): void {
    this.isAlive = false;
    this.dropTasks();
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Returns whether the highest fencing token that the worker has received is `token`. */
  hasFencingToken(token: bigint): boolean {
    return this.highestFencingToken === token;
  }

  /** The agent epoch, which starts at 1 and increases each time the lease expires. */
  get currentAgentEpoch(): number {
    return this.agentEpoch;
  }

  /** Names of the tasks in the worker's status, including exited ones. */
  get taskNames(): string[] {
    return [...this.tasks.keys()];
  }

  private dropTasks(): void {
    for (const task of this.tasks.values()) this.stopExecution(task);
    this.tasks.clear();
  }

  private stopExecution(task: FakeTask): void {
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
      this.hasUnsentChange = false;
      this.lastHeartbeatAt = performance.now();
      const answered = await this.sendHeartbeat();
      if (answered) this.successfulHeartbeats += 1;
      else this.failedHeartbeats += 1;
      if (answered) await this.waitForNextHeartbeat();
      else await pause(HEARTBEAT_RETRY_DELAY_MS);
    }
  }

  /**
   * Waits until the next heartbeat is due. A change makes it due 500 ms after the last heartbeat, if that is earlier.
   */
  private async waitForNextHeartbeat(): Promise<void> {
    const due =
      this.lastHeartbeatAt +
      this.options.heartbeatMs *
        (MIN_HEARTBEAT_PERIOD_FACTOR + (MAX_HEARTBEAT_PERIOD_FACTOR - MIN_HEARTBEAT_PERIOD_FACTOR) * Math.random());
    const earliest = this.lastHeartbeatAt + 500;
    while (this.isAlive && performance.now() < (this.hasUnsentChange ? Math.min(earliest, due) : due)) await pause(20);
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
    const fencingToken = BigInt(reply.body.crest as number | bigint);
    if (agentEpoch !== this.agentEpoch || fencingToken < this.highestFencingToken) return true;
    if (fencingToken > this.highestFencingToken) this.hasUnsentChange = true;
    this.highestFencingToken = fencingToken;
    this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
    for (const command of reply.body.calls as Fields[]) this.execute(command);
    return true;
  }

  private async receivePushedCommands(request: IncomingMessage): Promise<{ status: number; body: Fields }> {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const body = decodeCbor(Buffer.concat(parts)) as Fields;
    const executed = await this.pushFaults.deliver(body);
    return { status: executed ? 200 : 409, body: this.makeHeartbeat() };
  }

  /** Executes pushed commands if their fencing token and agent epoch allow it. Returns whether they were executed. */
  private executePush(body: Fields): boolean {
    const fencingToken = BigInt(body.crest as number | bigint);
    const executed = fencingToken >= this.highestFencingToken && Number(body.roost) === this.agentEpoch;
    if (executed) {
      if (fencingToken > this.highestFencingToken) this.hasUnsentChange = true;
      this.highestFencingToken = fencingToken;
      for (const command of body.calls as Fields[]) this.execute(command);
    }
    return executed;
  }

  private execute(command: Fields): void {
    const taskName = String(command.chick);
    const attempt = BigInt(command.hop as number | bigint);
    const task = this.tasks.get(taskName);
    this.log.commands[command.call as keyof WorkLog['commands']] += 1;
    if (command.call === 'run') this.startTask(taskName, attempt, task);
    else if (task?.attempt !== attempt) return;
    else if (command.call === 'reap' && task.phase === 'exited') this.tasks.delete(taskName);
    else if (command.call === 'stop' && task.phase === 'running') this.exitTask(task, 'stopped');
  }

  private startTask(name: string, attempt: bigint, previous: FakeTask | undefined): void {
    if (previous && (previous.attempt === attempt || previous.phase === 'running')) return;
    const task: FakeTask = { name, attempt, phase: 'running', exitReason: null, completion: null };
    const job = name.slice(0, name.lastIndexOf('/'));
    this.tasks.set(name, task);
    this.log.onStarted(name, this.id);
    this.hasUnsentChange = true;
    task.completion = setTimeout(() => {
      this.log.onCompleted(name);
      this.exitTask(task, 'done');
    }, this.options.runMs(job));
  }

  private exitTask(task: FakeTask, cause: string): void {
    this.stopExecution(task);
    task.phase = 'exited';
    task.exitReason = cause;
    this.hasUnsentChange = true;
  }
}
