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

const TICK_MS = 100;
const RESPONSE_TIMEOUT_MS = 4000;
/** A change is told this long after the last heartbeat at the earliest. */
const SHORTEST_HEARTBEAT_INTERVAL_MS = 500;

/** A worker by the protocol: heartbeats, leases, fencing tokens and pushed commands; its tasks are the executor's. */
export class SimulatedWorker {
  /** Counts its leases. */
  agentEpoch = 1n;
  private sequence = 0n;
  /** It obeys nobody with a lower one. */
  highestFencingToken = 0n;
  /** Runs its tasks. */
  readonly executor: TaskExecutor;
  private leaseRenewedAt: number;
  private controllerIndex: number;
  private nextHeartbeatAt: number;
  private isHeartbeatPending = false;
  /** Something has changed that the next heartbeat should tell soon. */
  hasUnreportedChange = true;
  private lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  private fencingTokenChangedAt = Number.NEGATIVE_INFINITY;
  /** When the cloud takes the machine; null: no notice was given. */
  interruptionAt: number | null = null;
  /** Until then it neither executes nor answers anything. */
  hungUntil = 0;
  /** Until then it reaches no controller, while pushed commands reach it. */
  heartbeatsLostUntil = 0;
  /** Heartbeats sent before then are delayed, and reach whoever leads afterwards; nobody waits for those responses. */
  heartbeatsDelayedUntil = 0;
  /** Whether every task that starts here fails. */
  failsTasks = false;
  /** Progress of tasks in a millisecond; 1 is usual. */
  speed = 1;
  /** Whether there is still a machine. */
  isAlive = true;
  /** Images that were pulled. */
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

  /** Its tasks, by job and task number. */
  get tasks(): ReadonlyMap<string, SimulatedTask> {
    return this.executor.tasks;
  }

  private get now(): number {
    return this.world.clock.now;
  }

  /** Whether it neither executes nor answers anything. */
  get isHung(): boolean {
    return this.now < this.hungUntil;
  }

  /** The machine is gone with everything on it. */
  terminate(): void {
    this.isAlive = false;
    this.executor.dropAll();
  }

  private tick(): void {
    const { leaseMs } = this.world.workerTiming;
    // A hanging machine executes nothing; once its lease is over, what it held can't go on.
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
    const early = this.hasUnreportedChange && this.now - this.lastHeartbeatAt >= SHORTEST_HEARTBEAT_INTERVAL_MS;
    if (!this.isHeartbeatPending && (this.now >= this.nextHeartbeatAt || early)) this.sendHeartbeat();
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
    } else if (this.now < this.heartbeatsDelayedUntil) this.deliverLate(heartbeat, controller);
    else {
      if (this.now < world.duplicateHeartbeatsUntil) this.deliverOnceMore(heartbeat);
      this.request(heartbeat, controller);
    }
  }

  /** The heartbeat reaches whoever leads once the delay is over; nobody waits for that response. */
  private deliverLate(heartbeat: Heartbeat, controller: ControllerProcess): void {
    const { world } = this;
    world.clock.schedule(this.heartbeatsDelayedUntil - this.now + world.clock.randomBetween(1, 500), () => {
      (world.leader() ?? controller).receiveHeartbeat(heartbeat, () => {});
    });
    world.clock.schedule(RESPONSE_TIMEOUT_MS, () => {
      this.isHeartbeatPending = false;
      this.tryNextController();
    });
  }

  /** The network delivers it once more, long after, to whatever controller; nobody waits for that response. */
  private deliverOnceMore(heartbeat: Heartbeat): void {
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

  private raiseFencingToken(token: bigint): void {
    if (token <= this.highestFencingToken) return;
    this.highestFencingToken = token;
    if (this.now - this.fencingTokenChangedAt < this.world.workerTiming.leaseMs / 2) return;
    this.fencingTokenChangedAt = this.now;
    this.hasUnreportedChange = true;
  }

  /** Commands that are pushed to it; a hanging machine takes them when it goes on. */
  receivePushedCommands(push: CommandPush, reply: (value: CommandPushResponse) => void): void {
    if (!this.isAlive) return;
    if (this.isHung) {
      this.world.clock.schedule(this.hungUntil - this.now + 1, () => this.receivePushedCommands(push, reply));
      return;
    }
    const executed = push.fencingToken >= this.highestFencingToken && push.agentEpoch === this.agentEpoch;
    if (executed) {
      this.world.commandCounts.onPushedCommands(push);
      this.raiseFencingToken(push.fencingToken);
      for (const command of push.commands) this.executor.execute(command);
    }
    reply({ executed, heartbeat: this.makeHeartbeat() });
  }
}
