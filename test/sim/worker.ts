import type { CommandPush, CommandPushResponse, HeartbeatResponse } from '../../src/core/messages.js';
import type {
  AgentEpoch,
  Attempt,
  Command,
  ControllerName,
  ExitReason,
  FencingToken,
  Heartbeat,
  JobId,
  MachineId,
  MachineType,
  SequenceNumber,
  TaskPhase,
  ZoneName,
} from '../../src/core/types.js';
import { advanceTask } from './task_execution.js';
import type { World } from './world.js';

export interface Task {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  phase: TaskPhase;
  reason: ExitReason | null;
  saved: boolean;
  imageAt: number;
  workMs: number;
  savedAt: number | null;
  waitingSince: number | null;
}

const TICK_MS = 100;

/** Our stand-in for a worker: reports, commands, tokens, leases and gangs as the protocol says. */
export class Worker {
  session = 1n;
  private seq = 0n;
  token = 0n;
  readonly tasks = new Map<string, Task>();
  private leaseFrom: number;
  private nodeIndex: number;
  private nextReportAt: number;
  private reporting = false;
  /** Something has changed that the next report should tell soon. */
  changed = true;
  private lastReportAt = Number.NEGATIVE_INFINITY;
  private tokenChangeAt = Number.NEGATIVE_INFINITY;
  noticeAt: number | null = null;
  hungUntil = 0;
  /** Until then it reaches no controller, while direct commands reach it. */
  noReportsUntil = 0;
  /** Reports sent before then are held, and reach whoever leads afterwards; nobody waits for those answers. */
  reportsHeldUntil = 0;
  failsTasks = false;
  speed = 1;
  alive = true;
  readonly images = new Set<string>();

  constructor(
    private readonly world: World,
    readonly id: MachineId,
    readonly type: MachineType,
    readonly zone: ZoneName,
    readonly spot: boolean,
  ) {
    this.leaseFrom = world.clock.now;
    this.nodeIndex = Math.floor(world.clock.between(0, world.nodes.length - 0.001));
    this.nextReportAt = world.clock.now + world.clock.between(1, 300);
    const tick = (): void => {
      if (!this.alive) return;
      this.tick();
      world.clock.in(TICK_MS, tick);
    };
    world.clock.in(world.clock.between(1, TICK_MS), tick);
  }

  private get now(): number {
    return this.world.clock.now;
  }

  get hung(): boolean {
    return this.now < this.hungUntil;
  }

  die(): void {
    this.alive = false;
    this.clear();
  }

  private clear(): void {
    for (const task of this.tasks.values()) {
      if (task.phase !== 'exited') this.leave(task);
      this.world.removeGangMember(this, task);
    }
    this.tasks.clear();
  }

  private leave(task: Task): void {
    if (task.phase !== 'fetching') this.world.rules.ended(task.job, task.index, this.id);
  }

  exit(task: Task, reason: ExitReason, saved = false): void {
    this.leave(task);
    task.phase = 'exited';
    task.reason = reason;
    task.saved = saved;
    this.changed = true;
    // A replica that ends has no result.
    const service = this.world.rules.specOf(task.job)?.kind === 'service';
    if (reason === 'done' && !service) this.world.rules.completed(task.job, task.index);
  }

  private tick(): void {
    const { lease } = this.world.settings;
    // A hanging machine executes nothing; once its lease is over, what it held can't go on.
    if (this.now - this.leaseFrom > lease) {
      if (this.tasks.size > 0) this.world.leasesLost += 1;
      this.clear();
      this.session += 1n;
      this.seq = 0n;
      this.leaseFrom = this.now;
      this.changed = true;
    }
    if (this.hung) return;
    for (const task of this.tasks.values()) advanceTask(this.world, this, task, TICK_MS);
    const early = this.changed && this.now - this.lastReportAt >= 500;
    if (!this.reporting && (this.now >= this.nextReportAt || early)) this.report();
  }

  private makeReport(): Heartbeat {
    this.seq += 1n;
    return {
      machine: this.id,
      address: this.id,
      type: this.type.name,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.session as AgentEpoch,
      sequence: this.seq as SequenceNumber,
      fencingToken: this.token as FencingToken,
      interruptionNoticeSeconds: this.noticeAt === null ? null : Math.max(0, (this.noticeAt - this.now) / 1000),
      tasks: [...this.tasks.values()].map((task) => ({
        job: task.job,
        index: task.index,
        attempt: task.attempt,
        phase: task.phase,
        exitReason: task.reason,
        checkpointSaved: task.saved,
      })),
    };
  }

  private report(): void {
    const { world } = this;
    this.reporting = true;
    this.changed = false;
    this.lastReportAt = this.now;
    const sentAt = this.now;
    const session = this.session;
    const report = this.makeReport();
    const node = world.nodes[this.nodeIndex % world.nodes.length] as World['nodes'][number];
    if (this.now < this.noReportsUntil) {
      this.reporting = false;
      this.nextNode();
      return;
    }
    if (this.now < this.reportsHeldUntil) {
      world.clock.in(this.reportsHeldUntil - this.now + world.clock.between(1, 500), () => {
        (world.leader() ?? node).report(report, () => {});
      });
      world.clock.in(4000, () => {
        this.reporting = false;
        this.nextNode();
      });
      return;
    }
    if (this.now < world.duplicatesUntil) {
      // The network delivers it once more, long after, to whatever node; nobody waits for that answer.
      const other = world.clock.pick(world.nodes);
      world.clock.in(world.clock.between(1000, 60_000), () => other.report(report, () => {}));
    }
    world.network.call<HeartbeatResponse>(
      this.id,
      node.name,
      4000,
      (reply) => node.report(report, reply),
      (answer) => {
        if (!this.alive) return;
        this.reporting = false;
        this.nextReportAt = this.now + world.settings.report * world.clock.between(0.75, 1.25);
        if (answer?.status === 200 && !this.hung) this.accept(answer, sentAt, session);
        else if (answer?.status === 421 && answer.redirectTo !== null) this.moveTo(answer.redirectTo);
        else if (answer?.status !== 200) this.nextNode();
      },
    );
  }

  private moveTo(name: ControllerName): void {
    const index = this.world.nodes.findIndex((node) => node.name === name);
    if (index < 0 || index === this.nodeIndex) {
      this.nextNode();
      return;
    }
    this.nodeIndex = index;
    this.nextReportAt = this.now + this.world.clock.between(0, 500);
  }

  private nextNode(): void {
    this.nodeIndex = (this.nodeIndex + 1) % this.world.nodes.length;
    this.nextReportAt = this.now + 1000;
  }

  private accept(answer: Extract<HeartbeatResponse, { status: 200 }>, sentAt: number, session: bigint): void {
    if (session !== this.session || answer.fencingToken < this.token) return;
    this.raise(answer.fencingToken);
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    for (const command of answer.commands) this.execute(command);
  }

  private raise(token: bigint): void {
    if (token <= this.token) return;
    this.token = token;
    if (this.now - this.tokenChangeAt < this.world.settings.lease / 2) return;
    this.tokenChangeAt = this.now;
    this.changed = true;
  }

  /** A direct command; a hanging machine takes it when it goes on. */
  takeCommands(op: CommandPush, reply: (value: CommandPushResponse) => void): void {
    if (!this.alive) return;
    if (this.hung) {
      this.world.clock.in(this.hungUntil - this.now + 1, () => this.takeCommands(op, reply));
      return;
    }
    const executed = op.fencingToken >= this.token && op.agentEpoch === this.session;
    if (executed) {
      this.world.orders.directCall(op);
      this.raise(op.fencingToken);
      for (const command of op.commands) this.execute(command);
    }
    reply({ executed, heartbeat: this.makeReport() });
  }

  /** A task runs here that no controller started, as far as this world knows. */
  plant(job: JobId, index: number, attempt: Attempt): void {
    const from = { phase: 'running', reason: null, saved: false, imageAt: this.now, workMs: 0 } as const;
    const task: Task = { job, index, attempt, ...from, savedAt: null, waitingSince: this.now };
    this.tasks.set(`${job}/${index}`, task);
    this.world.addGangMember(this, task);
    this.changed = true;
  }

  private execute(command: Command): void {
    this.world.orders.command(command);
    const key = `${command.job}/${command.index}`;
    const task = this.tasks.get(key);
    if (command.op === 'forget') {
      if (task && task.attempt === command.attempt && task.phase === 'exited') {
        this.tasks.delete(key);
        this.world.removeGangMember(this, task);
      }
    } else if (command.op === 'stop') {
      if (task && task.attempt === command.attempt) this.stop(task, command.gracePeriodSeconds);
    } else if (!task || task.attempt !== command.attempt) this.start(command.job, command.index, command.attempt, task);
  }

  private stop(task: Task, graceS: number): void {
    const spec = this.world.rules.specOf(task.job);
    if (!spec || task.phase === 'exited') return;
    if (task.phase === 'saving') {
      if (graceS === 0) this.exit(task, 'stopped');
      return;
    }
    if (task.phase === 'running' && spec.checkpointIntervalSeconds > 0 && graceS >= spec.checkpointDurationSeconds) {
      task.phase = 'saving';
      task.savedAt = this.now + spec.checkpointDurationSeconds * 1000;
      this.changed = true;
    } else this.exit(task, 'stopped');
  }

  private start(job: JobId, index: number, attempt: Attempt, old: Task | undefined): void {
    const spec = this.world.rules.specOf(job);
    const task: Task = {
      job,
      index,
      attempt,
      phase: 'fetching',
      reason: null,
      saved: false,
      imageAt: this.now,
      workMs: this.world.progress(job, index),
      savedAt: null,
      waitingSince: null,
    };
    if (!spec) return;
    if (old && old.phase !== 'exited') return;
    let cpus = spec.cpus;
    let gpus = spec.gpus;
    for (const task of this.tasks.values()) {
      const other = this.world.rules.specOf(task.job);
      if (!other || task.phase === 'exited') continue;
      cpus += other.cpus;
      gpus += other.gpus;
    }
    if (old) this.world.removeGangMember(this, old);
    this.tasks.set(`${job}/${index}`, task);
    this.world.addGangMember(this, task);
    this.changed = true;
    if (cpus > this.type.cpus || gpus > this.type.gpus) {
      task.phase = 'exited';
      task.reason = 'no_room';
      return;
    }
    task.imageAt =
      this.now + (this.images.has(spec.image) ? 0 : (spec.imageGb / this.type.imagePullGbPerSecond) * 1000);
  }
}
