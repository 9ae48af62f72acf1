/** Runs a controller of any build in a simulated process, and performs its outputs on the simulated network. */
import type {
  CloudResult,
  CommandPushResponse,
  HeartbeatResponse,
  Input,
  Output,
  PeerMessage,
  StateStoreResult,
  UserRequest,
  UserResponse,
} from '../../src/core/messages.js';
import type { Settings } from '../../src/core/settings.js';
import type {
  ClockReading,
  ControllerName,
  Heartbeat,
  MachineId,
  MonotonicTime,
  WallClockTime,
} from '../../src/core/types.js';
import { checkExpiry } from '../../src/io/output_expiry.js';
import type { FrameSplitter, PeerFrame } from '../../src/io/peers/peer_codec.js';
import type { RecoverySummary } from '../../src/recovery/index.js';
import { type Build, isCurrent, type SimulatedController } from './build.js';
import { STATE_STORE_HOST } from './network.js';
import type { World } from './world.js';

type OutputOf<Kind extends Output['kind']> = Extract<Output, { readonly kind: Kind }>;

/** Timeout of a call to the cloud, in milliseconds. */
const CLOUD_TIMEOUT_MS = 4000;
/** Timeout of a command push to a worker, in milliseconds. */
const PUSH_TIMEOUT_MS = 2500;
/** The result of a call that timed out. */
const NO_RESPONSE = { ok: false, error: { code: 'outcomeUnknown' } } as const;

/** A simulated controller process. It can be killed at any time, and a restarted process has no state from before. */
export class ControllerProcess {
  private controller: SimulatedController | null = null;
  /** The frame splitter of each peer that sends it encoded messages. */
  private splitters = new Map<ControllerName, FrameSplitter>();
  private pendingReplies = new Map<number, (response: never) => void>();
  private lastRequestId = 0;
  /** The number of command pushes of the running process that have no response yet. */
  private openPushes = 0;
  /** Incremented whenever a timer is scheduled, so that only the latest one fires. */
  private timerGeneration = 0;
  private startCount = 0;
  /** Incremented at each start and crash, so that callbacks of previous processes are ignored. */
  private generation = 0;
  private pausedUntil = 0;
  private deferredInputs: Input[] = [];
  /**
   * Pauses the process for `ms` before it sends the next outputs for which `isDue` returns true; null if no pause is
   * planned.
   */
  pauseBeforeOutputs: { readonly ms: number; isDue(outputs: readonly Output[]): boolean } | null = null;

  constructor(
    private readonly world: World,
    readonly name: ControllerName,
    private readonly settings: (build: Build) => Settings,
    public build: Build,
  ) {}

  /** Sets the build that the process runs from its next start on. */
  installBuild(build: Build): void {
    this.build = build;
  }

  /** Whether the process is running. */
  get isRunning(): boolean {
    return this.controller !== null;
  }

  /** The result of the load balancer's health check; false while the process is paused. */
  get isHealthy(): boolean {
    if (this.world.clock.now < this.pausedUntil) return false;
    return this.controller?.isHealthy(this.clockReading().monotonic) ?? false;
  }

  /** Starts the process unless it is running. */
  start(): void {
    if (this.controller) return;
    this.startCount += 1;
    this.generation += 1;
    const { world } = this;
    this.controller = new this.build.controllerClass(
      this.settings(this.build),
      isCurrent(this.build) ? world.options.tuning : this.build.tuning,
      `${this.name}-${this.startCount}`,
      world.options.seed + this.startCount,
      this.clockReading(),
      this.build.features,
    );
    this.step({ kind: 'start' });
  }

  /** Kills the process; its state is lost. */
  crash(): void {
    this.controller = null;
    this.splitters.clear();
    this.pausedUntil = 0;
    this.deferredInputs = [];
    this.pendingReplies.clear();
    this.openPushes = 0;
    this.generation += 1;
  }

  private clockReading(): ClockReading {
    const elapsed = this.world.clock.now;
    return { monotonic: elapsed as MonotonicTime, wallClock: (1_790_000_000_000 + elapsed) as WallClockTime };
  }

  /**
   * Pauses the process for `ms` milliseconds. Its clocks continue, and inputs that arrive in that time are processed
   * afterwards, as if they had waited in its sockets.
   */
  pause(ms: number): void {
    if (!this.controller) return;
    const { generation, world } = this;
    this.pausedUntil = world.clock.now + ms;
    world.clock.schedule(ms, () => {
      if (generation !== this.generation) return;
      const deferred = this.deferredInputs;
      this.deferredInputs = [];
      // After a pause, a real process may handle either due timers or pending input first.
      const timerFirst = world.clock.randomBetween(0, 1) < 0.5;
      if (timerFirst) this.step({ kind: 'timer' });
      for (const input of deferred) this.step(input);
      if (!timerFirst) this.step({ kind: 'timer' });
    });
  }

  /** Passes an input to the controller and performs the outputs that it returns. */
  step(input: Input): void {
    const { controller } = this;
    if (!controller) return;
    if (this.world.clock.now < this.pausedUntil) {
      if (input.kind !== 'timer') this.deferredInputs.push(input);
      return;
    }
    const outputs = controller.step(this.clockReading(), input);
    if (this.pauseBeforeOutputs?.isDue(outputs)) this.performAfterPause(outputs);
    else for (const output of outputs) this.performUnlessExpired(output);
    const next = controller.nextTimerAt();
    if (next === null) return;
    const scheduledGeneration = ++this.timerGeneration;
    this.world.clock.schedule(Math.max(1, next - this.world.clock.now), () => {
      if (scheduledGeneration === this.timerGeneration && this.controller === controller) this.step({ kind: 'timer' });
    });
  }

  /** Pauses the process after the controller returned outputs and before they are sent. */
  private performAfterPause(outputs: readonly Output[]): void {
    const ms = this.pauseBeforeOutputs?.ms ?? 0;
    this.pauseBeforeOutputs = null;
    const performAll = this.ifStillRunning(() => {
      for (const output of outputs) this.performUnlessExpired(output);
    });
    // The outputs are sent 1 ms before the pause ends, so that they leave before the process handles its deferred
    // inputs.
    this.world.clock.schedule(ms - 1, performAll);
    this.pause(ms);
  }

  private performUnlessExpired(output: Output): void {
    const { output: unexpired, reply } = checkExpiry(output, this.clockReading().monotonic);
    if (unexpired) this.perform(unexpired);
    if (reply)
      this.world.clock.schedule(
        1,
        this.ifStillRunning(() => this.step(reply)),
      );
  }

  /** Wraps `then` so that it runs only if the present process is still running. */
  private ifStillRunning<T extends unknown[]>(then: (...args: T) => void): (...args: T) => void {
    const { generation } = this;
    return (...args) => {
      if (generation === this.generation && this.controller) then(...args);
    };
  }

  private perform(output: Output): void {
    const { world } = this;
    world.trace?.add(world.clock.now, this.name, this.build, output);
    switch (output.kind) {
      case 'userResponse':
      case 'heartbeatResponse':
        this.reply(output);
        break;
      case 'stateStoreCall':
        this.callStateStore(output);
        break;
      case 'cloudCall':
        this.callCloud(output);
        break;
      case 'commandPush':
        this.pushCommands(output);
        break;
      case 'peerMessage':
        this.sendToPeer(output);
        break;
      case 'log':
        this.log(output);
        break;
    }
  }

  private reply({ requestId, response }: OutputOf<'userResponse' | 'heartbeatResponse'>): void {
    const reply = this.pendingReplies.get(requestId);
    this.pendingReplies.delete(requestId);
    reply?.(response as never);
  }

  private callStateStore({ callId, operation, timeoutMs }: OutputOf<'stateStoreCall'>): void {
    const { world } = this;
    const done = this.ifStillRunning((result: StateStoreResult | null) =>
      this.step({ kind: 'stateStoreReply', callId, result: result ?? NO_RESPONSE }),
    );
    world.meters.onStateStoreCall(operation);
    const serve = (reply: (result: StateStoreResult) => void): void =>
      world.stateStore.serve(this.name, operation, reply);
    world.network.request(this.name, STATE_STORE_HOST, timeoutMs, serve, done);
  }

  private callCloud({ callId, operation }: OutputOf<'cloudCall'>): void {
    const { world } = this;
    const done = this.ifStillRunning((result: CloudResult | null) =>
      this.step({ kind: 'cloudReply', callId, result: result ?? NO_RESPONSE }),
    );
    world.meters.onCloudCall();
    const serve = (reply: (result: CloudResult) => void): void => world.cloud.serve(operation, reply);
    world.network.request(this.name, 'cloud', CLOUD_TIMEOUT_MS, serve, done);
  }

  private pushCommands({ callId, operation }: OutputOf<'commandPush'>): void {
    const { world } = this;
    const done = this.ifStillRunning((value: CommandPushResponse | null) => {
      this.openPushes -= 1;
      this.step({ kind: 'commandPushReply', callId, result: value ? { ok: true, value } : NO_RESPONSE });
    });
    this.openPushes += 1;
    world.meters.recordOpenPushes(this.openPushes);
    const worker = world.workers.get(operation.address as MachineId);
    const serve = (reply: (value: CommandPushResponse) => void): void =>
      worker?.receivePushedCommands(operation, reply);
    world.network.request(this.name, operation.address, PUSH_TIMEOUT_MS, serve, done);
  }

  private sendToPeer({ recipient, message }: OutputOf<'peerMessage'>): void {
    const { world } = this;
    const peer = world.controllers.find(({ name }) => name === recipient);
    if (world.encodesPeerMessages) {
      const frame = this.build.encodeFrame(this.build.toBuildMessage(message));
      world.network.send(this.name, recipient, () => peer?.receivePeerBytes(this.name, frame));
      return;
    }
    world.meters.onPeerMessage(message);
    world.network.send(this.name, recipient, () => peer?.receivePeerMessage(this.name, message));
  }

  private log(output: OutputOf<'log'>): void {
    const { world } = this;
    const { level, event, fields } = output;
    world.meters.onLogEvent(output);
    if (world.verbose) console.error((world.clock.now / 1000).toFixed(2), this.name, level, event, fields);
    if (event === 'task started again') world.restartEvidence.set(String(fields.task), String(fields.evidence));
    if (level === 'error') world.errors.push(`${event} ${JSON.stringify(fields)}`);
  }

  /** The summary of recovery in the current term; null if there is none, or if the build has no such summary. */
  recoverySummary(): RecoverySummary | null {
    return this.controller?.recoverySummary?.() ?? null;
  }

  /** Receives a message from a peer. */
  receivePeerMessage(sender: ControllerName, message: PeerMessage): void {
    this.step({ kind: 'peerMessage', sender, message });
  }

  /**
   * Receives encoded frames from a peer. As in production, a frame that the build can't decode closes the connection.
   */
  receivePeerBytes(from: ControllerName, bytes: Buffer): void {
    if (!this.controller) return;
    const splitter = this.splitters.get(from) ?? new this.build.splitterClass();
    this.splitters.set(from, splitter);
    let frames: PeerFrame[];
    try {
      frames = splitter.push(bytes);
    } catch (error) {
      this.splitters.delete(from);
      this.world.errors.push(`${this.name} closed the peer connection from ${from}: ${(error as Error).message}`);
      return;
    }
    for (const frame of frames) if (frame.kind !== 'hello') this.receivePeerMessage(from, frame);
  }

  /** Receives a heartbeat; `reply` is never called if the process ends before it responds. */
  receiveHeartbeat(heartbeat: Heartbeat, reply: (response: HeartbeatResponse) => void): void {
    if (!this.controller) return;
    const requestId = ++this.lastRequestId;
    this.pendingReplies.set(requestId, reply as (response: never) => void);
    this.step({ kind: 'heartbeat', requestId, heartbeat });
  }

  /** Receives a user's request; `reply` is never called if the process ends before it responds. */
  receiveUserRequest(request: UserRequest, reply: (response: UserResponse) => void): void {
    if (!this.controller) return;
    const requestId = ++this.lastRequestId;
    this.pendingReplies.set(requestId, reply as (response: never) => void);
    this.step({ kind: 'userRequest', requestId, request });
  }
}
