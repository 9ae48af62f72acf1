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

const CLOUD_TIMEOUT_MS = 4000;
const PUSH_TIMEOUT_MS = 2500;
/** What a call without a response comes to. */
const NO_RESPONSE = { ok: false, error: { code: 'outcomeUnknown' } } as const;

/** A controller process as the world runs it: killed without a word, started again with nothing. */
export class ControllerProcess {
  private controller: SimulatedController | null = null;
  /** One for each peer that speaks to it over bytes. */
  private splitters = new Map<ControllerName, FrameSplitter>();
  private pendingReplies = new Map<number, (answer: never) => void>();
  private lastRequestId = 0;
  private timerGeneration = 0;
  private startCount = 0;
  private generation = 0;
  private frozenUntil = 0;
  private deferredInputs: Input[] = [];
  /** The next step that makes such outputs is followed by a pause before they are sent. */
  pauseBeforeOutputs: { readonly ms: number; isDue(outputs: readonly Output[]): boolean } | null = null;

  constructor(
    private readonly world: World,
    readonly name: ControllerName,
    private readonly settings: (build: Build) => Settings,
    public build: Build,
  ) {}

  /** From its next start on it runs another build. */
  installBuild(build: Build): void {
    this.build = build;
  }

  /** Whether there is a process. */
  get isRunning(): boolean {
    return this.controller !== null;
  }

  /** What the load balancer is told. */
  get isHealthy(): boolean {
    if (this.world.clock.now < this.frozenUntil) return false;
    return this.controller?.isHealthy(this.clockReading().monotonic) ?? false;
  }

  /** Starts the process unless it runs. */
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

  /** Ends the process at once, with all that it knew. */
  crash(): void {
    this.controller = null;
    this.splitters.clear();
    this.frozenUntil = 0;
    this.deferredInputs = [];
    this.pendingReplies.clear();
    this.generation += 1;
  }

  private clockReading(): ClockReading {
    const elapsed = this.world.clock.now;
    return { monotonic: elapsed as MonotonicTime, wallClock: (1_790_000_000_000 + elapsed) as WallClockTime };
  }

  /** The process stands still while its clocks run on; what comes meanwhile waits in its sockets. */
  freeze(ms: number): void {
    if (!this.controller) return;
    const { generation, world } = this;
    this.frozenUntil = world.clock.now + ms;
    world.clock.schedule(ms, () => {
      if (generation !== this.generation) return;
      const waited = this.deferredInputs;
      this.deferredInputs = [];
      // Either comes first on waking: timers that are due, or what was read from the sockets.
      const timerFirst = world.clock.randomBetween(0, 1) < 0.5;
      if (timerFirst) this.step({ kind: 'timer' });
      for (const input of waited) this.step(input);
      if (!timerFirst) this.step({ kind: 'timer' });
    });
  }

  /** Hands the controller an input, and carries out what it returns. */
  step(input: Input): void {
    const { controller } = this;
    if (!controller) return;
    if (this.world.clock.now < this.frozenUntil) {
      if (input.kind !== 'timer') this.deferredInputs.push(input);
      return;
    }
    const outputs = controller.step(this.clockReading(), input);
    if (this.pauseBeforeOutputs?.isDue(outputs)) this.performAfterPause(outputs);
    else for (const output of outputs) this.performUnlessExpired(output);
    const next = controller.nextTimerAt();
    if (next === null) return;
    const ifAlive = ++this.timerGeneration;
    this.world.clock.schedule(Math.max(1, next - this.world.clock.now), () => {
      if (ifAlive === this.timerGeneration && this.controller === controller) this.step({ kind: 'timer' });
    });
  }

  /** The process is paused between making outputs and sending them. */
  private performAfterPause(outputs: readonly Output[]): void {
    const ms = this.pauseBeforeOutputs?.ms ?? 0;
    this.pauseBeforeOutputs = null;
    const carryOut = this.ifStillRunning(() => {
      for (const output of outputs) this.performUnlessExpired(output);
    });
    // What was about to be sent goes out first; only then does the process look at what waits for it.
    this.world.clock.schedule(ms - 1, carryOut);
    this.freeze(ms);
  }

  private performUnlessExpired(output: Output): void {
    const { output: due, reply } = checkExpiry(output, this.clockReading().monotonic);
    if (due) this.perform(due);
    if (reply)
      this.world.clock.schedule(
        1,
        this.ifStillRunning(() => this.step(reply)),
      );
  }

  /** Runs `then` only if the same process still lives. */
  private ifStillRunning<T extends unknown[]>(then: (...answer: T) => void): (...answer: T) => void {
    const { generation } = this;
    return (...answer) => {
      if (generation === this.generation && this.controller) then(...answer);
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
    world.meters.onStoreCall(operation);
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
    const onResponse = this.ifStillRunning((value: CommandPushResponse | null) =>
      this.step({ kind: 'commandPushReply', callId, result: value ? { ok: true, value } : NO_RESPONSE }),
    );
    world.meters.addOpenCommands(1);
    const done = (value: CommandPushResponse | null): void => {
      world.meters.addOpenCommands(-1);
      onResponse(value);
    };
    const worker = world.workers.get(operation.address as MachineId);
    const serve = (reply: (value: CommandPushResponse) => void): void =>
      worker?.receivePushedCommands(operation, reply);
    world.network.request(this.name, operation.address, PUSH_TIMEOUT_MS, serve, done);
  }

  private sendToPeer({ recipient, message }: OutputOf<'peerMessage'>): void {
    const { world } = this;
    const peer = world.controllers.find(({ name }) => name === recipient);
    if (world.encodesPeerMessages) {
      const frame = this.build.encodeFrame(this.build.ownMessage(message));
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

  /** What recovery found in the present term; null: nothing, or the build keeps no summary. */
  recoverySummary(): RecoverySummary | null {
    return this.controller?.recoverySummary?.() ?? null;
  }

  /** A message of a peer arrives. */
  receivePeerMessage(sender: ControllerName, message: PeerMessage): void {
    this.step({ kind: 'peerMessage', sender, message });
  }

  /** As the link does it: a frame that the build can't take ends the connection. */
  receivePeerBytes(from: ControllerName, frame: Buffer): void {
    if (!this.controller) return;
    const splitter = this.splitters.get(from) ?? new this.build.splitterClass();
    this.splitters.set(from, splitter);
    let frames: PeerFrame[];
    try {
      frames = splitter.push(frame);
    } catch (error) {
      this.splitters.delete(from);
      this.world.errors.push(`${this.name} ended the link from ${from}: ${(error as Error).message}`);
      return;
    }
    for (const frame of frames) if (frame.kind !== 'hello') this.receivePeerMessage(from, frame);
  }

  /** A heartbeat arrives; `reply` is never called if the process ends before it responds. */
  receiveHeartbeat(heartbeat: Heartbeat, reply: (answer: HeartbeatResponse) => void): void {
    if (!this.controller) return;
    const requestId = ++this.lastRequestId;
    this.pendingReplies.set(requestId, reply as (answer: never) => void);
    this.step({ kind: 'heartbeat', requestId, heartbeat });
  }

  /** A user's request arrives; `reply` is never called if the process ends before it responds. */
  receiveUserRequest(request: UserRequest, reply: (answer: UserResponse) => void): void {
    if (!this.controller) return;
    const requestId = ++this.lastRequestId;
    this.pendingReplies.set(requestId, reply as (answer: never) => void);
    this.step({ kind: 'userRequest', requestId, request });
  }
}
