/** A simulated worker: the agent process on a machine. */
import type { CommandPush, CommandPushResponse, HeartbeatResponse } from '../../src/core/messages.js';
import type {
  AgentEpoch,
  ControllerName,
  FencingToken,
  Heartbeat,
  MachineId,
  MachineType,
  SequenceNumber,
  ZoneName,
} from '../../src/core/types.js';
import type { ControllerProcess } from './controller_process.js';
import { type SimulatedTask, TaskExecutor } from './task_executor.js';
import type { World } from './world.js';

/** Interval at which a worker advances its tasks and checks its lease, in milliseconds. */
const TICK_MS = 100;
/** Timeout of a heartbeat, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 4000;
/** Minimum time between two heartbeats when a change makes the next one due early, in milliseconds. */
const MIN_HEARTBEAT_INTERVAL_MS = 500;

/**
 * Implements the worker's protocol: heartbeats, agent leases, fencing tokens and pushed commands. Its executor runs the
 * tasks.
 */
export class SimulatedWorker {
  /** Incremented each time that the lease expires and a new one begins. */
  agentEpoch = 1n;
  private sequence = 0n;
  /** The highest fencing token received. Commands with a lower one are ignored. */
  highestFencingToken = 0n;
  readonly executor: TaskExecutor;
  private leaseRenewedAt: number;
  private controllerIndex: number;
  private nextHeartbeatAt: number;
  private isHeartbeatPending = false;
  /** Whether a change since the last heartbeat makes the next one due early. */
  hasUnreportedChange = true;
  private lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  private fencingTokenChangedAt = Number.NEGATIVE_INFINITY;
  /** The time at which the cloud will interrupt the machine; null if there was no interruption notice. */
  interruptionAt: number | null = null;
  /** The time until which the worker hangs: it neither executes nor responds. */
  hungUntil = 0;
  /** The time until which its heartbeats are lost. Pushed commands still reach it. */
  heartbeatsLostUntil = 0;
  /**
   * The time until which its heartbeats are delayed. They are delivered to the controller that leads then, and their
   * responses are ignored.
   */
  heartbeatsDelayedUntil = 0;
  /** The time until which pushed commands are held up. They are executed then, after their senders have given up. */
  pushesHeldUntil = 0;
  /** Whether every task that starts on this worker fails. */
  failsTasks = false;
  /** The speed of its tasks relative to a normal machine. */
  speed = 1;
  /** Whether the machine still exists. */
  isAlive = true;
  /** The images that have been pulled. They are never evicted. */
  readonly images = new Set<string>();

  constructor(
    private readonly world: World,
    readonly id: MachineId,
    readonly type: MachineType,
    readonly zone: ZoneName,
    readonly spot: boolean,
  ) {
    this.executor = new TaskExecutor(world, this);
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

  /** The tasks of its executor, by job and task number. */
  get tasks(): ReadonlyMap<string, SimulatedTask> {
    return this.executor.tasks;
  }

  private get now(): number {
    return this.world.clock.now;
  }

  /** Whether the worker hangs: it neither executes nor responds. */
  get isHung(): boolean {
    return this.now < this.hungUntil;
  }

  /** Ends the worker and all its tasks when its machine is removed or has failed. */
  terminate(): void {
    this.isAlive = false;
    this.executor.dropAll();
  }

  private tick(): void {
    const { leaseMs } = this.world.workerTiming;
    // A worker that hangs executes nothing, but its tasks still end when its lease expires.
    if (this.now - this.leaseRenewedAt > leaseMs) {
      if (this.tasks.size > 0) this.world.expiredLeases += 1;
      this.executor.dropAll();
      this.agentEpoch += 1n;
      this.sequence = 0n;
      this.leaseRenewedAt = this.now;
      this.hasUnreportedChange = true;
    }
    if (this.isHung) return;
    this.executor.advance(TICK_MS);
    const isEarlyHeartbeatDue =
      this.hasUnreportedChange && this.now - this.lastHeartbeatAt >= MIN_HEARTBEAT_INTERVAL_MS;
    if (!this.isHeartbeatPending && (this.now >= this.nextHeartbeatAt || isEarlyHeartbeatDue)) this.sendHeartbeat();
  }

  private makeHeartbeat(): Heartbeat {
    this.sequence += 1n;
    return {
      machine: this.id,
      address: this.id,
      type: this.type.name,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.agentEpoch as AgentEpoch,
      sequence: this.sequence as SequenceNumber,
      fencingToken: this.highestFencingToken as FencingToken,
      interruptionNoticeSeconds:
        this.interruptionAt === null ? null : Math.max(0, (this.interruptionAt - this.now) / 1000),
      tasks: this.executor.reportedTasks.map((task) => ({
        job: task.job,
        index: task.index,
        attempt: task.attempt,
        phase: task.phase,
        exitReason: task.reason,
        checkpointSaved: task.saved,
      })),
    };
  }

  private sendHeartbeat(): void {
    const { world } = this;
    this.isHeartbeatPending = true;
    this.hasUnreportedChange = false;
    this.lastHeartbeatAt = this.now;
    const heartbeat = this.makeHeartbeat();
    const controller = world.controllers[this.controllerIndex % world.controllers.length] as ControllerProcess;
    if (this.now < this.heartbeatsLostUntil) {
      this.isHeartbeatPending = false;
      this.tryNextController();
    } else if (this.now < this.heartbeatsDelayedUntil) this.deliverDelayed(heartbeat, controller);
    else {
      if (this.now < world.duplicateHeartbeatsUntil) this.deliverDuplicate(heartbeat);
      this.request(heartbeat, controller);
    }
  }

  /** Delivers a heartbeat to the leader at the end of the delay; its response is ignored. */
  private deliverDelayed(heartbeat: Heartbeat, controller: ControllerProcess): void {
    const { world } = this;
    world.clock.schedule(this.heartbeatsDelayedUntil - this.now + world.clock.randomBetween(1, 500), () => {
      (world.leader() ?? controller).receiveHeartbeat(heartbeat, () => {});
    });
    world.clock.schedule(RESPONSE_TIMEOUT_MS, () => {
      this.isHeartbeatPending = false;
      this.tryNextController();
    });
  }

  /** Delivers a heartbeat a second time, 1 to 60 s later, to a random controller; that response is ignored. */
  private deliverDuplicate(heartbeat: Heartbeat): void {
    const { clock, controllers } = this.world;
    const other = clock.pickRandom(controllers);
    clock.schedule(clock.randomBetween(1000, 60_000), () => other.receiveHeartbeat(heartbeat, () => {}));
  }

  private request(heartbeat: Heartbeat, controller: ControllerProcess): void {
    const { world, agentEpoch } = this;
    const sentAt = this.now;
    world.network.request<HeartbeatResponse>(
      this.id,
      controller.name,
      RESPONSE_TIMEOUT_MS,
      (reply) => controller.receiveHeartbeat(heartbeat, reply),
      (response) => {
        if (!this.isAlive) return;
        this.isHeartbeatPending = false;
        this.nextHeartbeatAt =
          this.now + world.workerTiming.heartbeatIntervalMs * world.clock.randomBetween(0.75, 1.25);
        if (response?.status === 200 && !this.isHung) this.acceptResponse(response, sentAt, agentEpoch);
        else if (response?.status === 421 && response.redirectTo !== null) this.followRedirect(response.redirectTo);
        else if (response?.status !== 200) this.tryNextController();
      },
    );
  }

  private followRedirect(name: ControllerName): void {
    const index = this.world.controllers.findIndex((controller) => controller.name === name);
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

  private acceptResponse(
    response: Extract<HeartbeatResponse, { status: 200 }>,
    sentAt: number,
    agentEpoch: bigint,
  ): void {
    if (agentEpoch !== this.agentEpoch || response.fencingToken < this.highestFencingToken) return;
    this.raiseFencingToken(response.fencingToken);
    this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
    for (const command of response.commands) this.executor.execute(command);
  }

  /**
   * Adopts a higher fencing token. The change makes the next heartbeat due early, at most once in half of a lease
   * duration.
   */
  private raiseFencingToken(token: bigint): void {
    if (token <= this.highestFencingToken) return;
    this.highestFencingToken = token;
    if (this.now - this.fencingTokenChangedAt < this.world.workerTiming.leaseMs / 2) return;
    this.fencingTokenChangedAt = this.now;
    this.hasUnreportedChange = true;
  }

  /** Receives pushed commands. A worker that hangs handles them after it resumes. */
  receivePushedCommands(push: CommandPush, reply: (value: CommandPushResponse) => void): void {
    if (!this.isAlive) return;
    const handleLater = (at: number): void =>
      this.world.clock.schedule(at - this.now + 1, () => this.receivePushedCommands(push, reply));
    if (this.now < this.pushesHeldUntil) {
      this.world.onPushHeld(push);
      handleLater(this.pushesHeldUntil);
    } else if (this.isHung) handleLater(this.hungUntil);
    else this.handlePushedCommands(push, reply);
  }

  private handlePushedCommands(push: CommandPush, reply: (value: CommandPushResponse) => void): void {
    const executed = push.fencingToken >= this.highestFencingToken && push.agentEpoch === this.agentEpoch;
    if (executed) {
      this.world.commandCounts.onPushedCommands(push);
      this.raiseFencingToken(push.fencingToken);
      for (const command of push.commands) this.executor.execute(command);
      this.world.onPushExecuted(this, push);
      if (this.now < this.world.duplicatePushesUntil) this.scheduleDuplicate(push);
    }
    reply({ executed, heartbeat: this.makeHeartbeat() });
  }

  /** Delivers pushed commands that were executed a second time, 1 to 60 s later. */
  private scheduleDuplicate(push: CommandPush): void {
    const { clock } = this.world;
    clock.schedule(clock.randomBetween(1000, 60_000), () => this.receivePushedCommands(push, () => {}));
  }
}
