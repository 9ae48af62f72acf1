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

export interface SimulatedTask {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  phase: TaskPhase;
  reason: ExitReason | null;
  saved: boolean;
  imagePulledAt: number;
  progressMs: number;
  savedAt: number | null;
  gatheringSince: number | null;
}

const TICK_MS = 100;

/** Our stand-in for a worker: reports, commands, tokens, leases and gangs as the protocol says. */
export class SimulatedWorker {
  session = 1n;
  private seq = 0n;
  token = 0n;
  readonly tasks = new Map<string, SimulatedTask>();
  private leaseRenewedAt: number;
  private controllerIndex: number;
  private nextHeartbeatAt: number;
  private isHeartbeatPending = false;
  /** Something has changed that the next report should tell soon. */
  hasUnreportedChange = true;
  private lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  private fencingTokenChangedAt = Number.NEGATIVE_INFINITY;
  interruptionAt: number | null = null;
  hungUntil = 0;
  /** Until then it reaches no controller, while direct commands reach it. */
  heartbeatsLostUntil = 0;
  /** Reports sent before then are held, and reach whoever leads afterwards; nobody waits for those answers. */
  heartbeatsDelayedUntil = 0;
  failsTasks = false;
  speed = 1;
  isAlive = true;
  readonly images = new Set<string>();

  constructor(
    private readonly world: World,
    readonly id: MachineId,
    readonly type: MachineType,
    readonly zone: ZoneName,
    readonly spot: boolean,
  ) {
    this.leaseRenewedAt = world.clock.now;
    this.controllerIndex = Math.floor(world.clock.randomBetween(0, world.controllers.length - 0.001));
    this.nextHeartbeatAt = world.clock.now + world.clock.randomBetween(1, 300);
    const tick = (): void => {
      if (!this.isAlive) return;
      this.tick();
      world.clock.schedule(TICK_MS, tick);
    };
    world.clock.schedule(world.clock.randomBetween(1, TICK_MS), tick);
  }

  private get now(): number {
    return this.world.clock.now;
  }

  get isHung(): boolean {
    return this.now < this.hungUntil;
  }

  terminate(): void {
    this.isAlive = false;
    this.dropTasks();
  }

  private dropTasks(): void {
    for (const task of this.tasks.values()) {
      if (task.phase !== 'exited') this.onTaskLeft(task);
      this.world.removeGangMember(this, task);
    }
    this.tasks.clear();
  }

  private onTaskLeft(task: SimulatedTask): void {
    if (task.phase !== 'pulling') this.world.invariants.onTaskEnded(task.job, task.index, this.id);
  }

  exitTask(task: SimulatedTask, reason: ExitReason, saved = false): void {
    this.onTaskLeft(task);
    task.phase = 'exited';
    task.reason = reason;
    task.saved = saved;
    this.hasUnreportedChange = true;
    // A replica that ends has no result.
    const service = this.world.invariants.specOf(task.job)?.kind === 'service';
    if (reason === 'done' && !service) this.world.invariants.onTaskCompleted(task.job, task.index);
  }

  private tick(): void {
    const { leaseMs } = this.world.workerTiming;
    // A hanging machine executes nothing; once its lease is over, what it held can't go on.
    if (this.now - this.leaseRenewedAt > leaseMs) {
      if (this.tasks.size > 0) this.world.expiredLeases += 1;
      this.dropTasks();
      this.session += 1n;
      this.seq = 0n;
      this.leaseRenewedAt = this.now;
      this.hasUnreportedChange = true;
    }
    if (this.isHung) return;
    for (const task of this.tasks.values()) advanceTask(this.world, this, task, TICK_MS);
    const early = this.hasUnreportedChange && this.now - this.lastHeartbeatAt >= 500;
    if (!this.isHeartbeatPending && (this.now >= this.nextHeartbeatAt || early)) this.report();
  }

  private makeHeartbeat(): Heartbeat {
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
      interruptionNoticeSeconds:
        this.interruptionAt === null ? null : Math.max(0, (this.interruptionAt - this.now) / 1000),
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
    this.isHeartbeatPending = true;
    this.hasUnreportedChange = false;
    this.lastHeartbeatAt = this.now;
    const sentAt = this.now;
    const session = this.session;
    const report = this.makeHeartbeat();
    const node = world.controllers[this.controllerIndex % world.controllers.length] as World['controllers'][number];
    if (this.now < this.heartbeatsLostUntil) {
      this.isHeartbeatPending = false;
      this.tryNextController();
      return;
    }
    if (this.now < this.heartbeatsDelayedUntil) {
      world.clock.schedule(this.heartbeatsDelayedUntil - this.now + world.clock.randomBetween(1, 500), () => {
        (world.leader() ?? node).receiveHeartbeat(report, () => {});
      });
      world.clock.schedule(4000, () => {
        this.isHeartbeatPending = false;
        this.tryNextController();
      });
      return;
    }
    if (this.now < world.duplicateHeartbeatsUntil) {
      // The network delivers it once more, long after, to whatever node; nobody waits for that answer.
      const other = world.clock.pickRandom(world.controllers);
      world.clock.schedule(world.clock.randomBetween(1000, 60_000), () => other.receiveHeartbeat(report, () => {}));
    }
    world.network.request<HeartbeatResponse>(
      this.id,
      node.name,
      4000,
      (reply) => node.receiveHeartbeat(report, reply),
      (answer) => {
        if (!this.isAlive) return;
        this.isHeartbeatPending = false;
        this.nextHeartbeatAt = this.now + world.workerTiming.heartbeatMs * world.clock.randomBetween(0.75, 1.25);
        if (answer?.status === 200 && !this.isHung) this.acceptResponse(answer, sentAt, session);
        else if (answer?.status === 421 && answer.redirectTo !== null) this.followRedirect(answer.redirectTo);
        else if (answer?.status !== 200) this.tryNextController();
      },
    );
  }

  private followRedirect(name: ControllerName): void {
    const index = this.world.controllers.findIndex((node) => node.name === name);
    if (index < 0 || index === this.controllerIndex) {
      this.tryNextController();
      return;
    }
    this.controllerIndex = index;
    this.nextHeartbeatAt = this.now + this.world.clock.randomBetween(0, 500);
  }

  private tryNextController(): void {
    this.controllerIndex = (this.controllerIndex + 1) % this.world.controllers.length;
    this.nextHeartbeatAt = this.now + 1000;
  }

  private acceptResponse(answer: Extract<HeartbeatResponse, { status: 200 }>, sentAt: number, session: bigint): void {
    if (session !== this.session || answer.fencingToken < this.token) return;
    this.raiseFencingToken(answer.fencingToken);
    this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
    for (const command of answer.commands) this.execute(command);
  }

  private raiseFencingToken(token: bigint): void {
    if (token <= this.token) return;
    this.token = token;
    if (this.now - this.fencingTokenChangedAt < this.world.workerTiming.leaseMs / 2) return;
    this.fencingTokenChangedAt = this.now;
    this.hasUnreportedChange = true;
  }

  /** A direct command; a hanging machine takes it when it goes on. */
  receivePushedCommands(op: CommandPush, reply: (value: CommandPushResponse) => void): void {
    if (!this.isAlive) return;
    if (this.isHung) {
      this.world.clock.schedule(this.hungUntil - this.now + 1, () => this.receivePushedCommands(op, reply));
      return;
    }
    const executed = op.fencingToken >= this.token && op.agentEpoch === this.session;
    if (executed) {
      this.world.commandCounts.onPushedCommands(op);
      this.raiseFencingToken(op.fencingToken);
      for (const command of op.commands) this.execute(command);
    }
    reply({ executed, heartbeat: this.makeHeartbeat() });
  }

  /** A task runs here that no controller started, as far as this world knows. */
  injectTask(job: JobId, index: number, attempt: Attempt): void {
    const from = { phase: 'running', reason: null, saved: false, imagePulledAt: this.now, progressMs: 0 } as const;
    const task: SimulatedTask = { job, index, attempt, ...from, savedAt: null, gatheringSince: this.now };
    this.tasks.set(`${job}/${index}`, task);
    this.world.addGangMember(this, task);
    this.hasUnreportedChange = true;
  }

  private execute(command: Command): void {
    this.world.commandCounts.onCommand(command);
    const key = `${command.job}/${command.index}`;
    const task = this.tasks.get(key);
    if (command.op === 'acknowledge') {
      if (task && task.attempt === command.attempt && task.phase === 'exited') {
        this.tasks.delete(key);
        this.world.removeGangMember(this, task);
      }
    } else if (command.op === 'stop') {
      if (task && task.attempt === command.attempt) this.stopTask(task, command.gracePeriodSeconds);
    } else if (!task || task.attempt !== command.attempt)
      this.startTask(command.job, command.index, command.attempt, task);
  }

  private stopTask(task: SimulatedTask, graceS: number): void {
    const spec = this.world.invariants.specOf(task.job);
    if (!spec || task.phase === 'exited') return;
    if (task.phase === 'checkpointing') {
      if (graceS === 0) this.exitTask(task, 'stopped');
      return;
    }
    if (task.phase === 'running' && spec.checkpointIntervalSeconds > 0 && graceS >= spec.checkpointDurationSeconds) {
      task.phase = 'checkpointing';
      task.savedAt = this.now + spec.checkpointDurationSeconds * 1000;
      this.hasUnreportedChange = true;
    } else this.exitTask(task, 'stopped');
  }

  private startTask(job: JobId, index: number, attempt: Attempt, old: SimulatedTask | undefined): void {
    const spec = this.world.invariants.specOf(job);
    const task: SimulatedTask = {
      job,
      index,
      attempt,
      phase: 'pulling',
      reason: null,
      saved: false,
      imagePulledAt: this.now,
      progressMs: this.world.checkpointedMs(job, index),
      savedAt: null,
      gatheringSince: null,
    };
    if (!spec) return;
    if (old && old.phase !== 'exited') return;
    let cpus = spec.cpus;
    let gpus = spec.gpus;
    for (const task of this.tasks.values()) {
      const other = this.world.invariants.specOf(task.job);
      if (!other || task.phase === 'exited') continue;
      cpus += other.cpus;
      gpus += other.gpus;
    }
    if (old) this.world.removeGangMember(this, old);
    this.tasks.set(`${job}/${index}`, task);
    this.world.addGangMember(this, task);
    this.hasUnreportedChange = true;
    if (cpus > this.type.cpus || gpus > this.type.gpus) {
      task.phase = 'exited';
      task.reason = 'no_capacity';
      return;
    }
    task.imagePulledAt =
      this.now + (this.images.has(spec.image) ? 0 : (spec.imageGb / this.type.imagePullGbPerSecond) * 1000);
  }
}
