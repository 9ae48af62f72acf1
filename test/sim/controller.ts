import type {
  CommandPushResponse,
  HeartbeatResponse,
  Input,
  Output,
  PeerMessage,
  Result,
  StateStoreResponse,
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
import { type Build, isPresent, type SimulatedController } from './build.js';
import type { Cloud } from './cloud.js';
import type { World } from './world.js';

/** A controller process as the world runs it: killed without a word, started again with nothing. */
export class ControllerProcess {
  private node: SimulatedController | null = null;
  /** One for each peer that speaks to it over bytes. */
  private splitters = new Map<ControllerName, FrameSplitter>();
  private callbacks = new Map<number, (answer: never) => void>();
  private requests = 0;
  private timerSeq = 0;
  private starts = 0;
  private epoch = 0;
  private frozenUntil = 0;
  private inputsWhileFrozen: Input[] = [];
  /** The next step that makes such outputs is followed by a pause before they are sent. */
  pauseBeforeSending: { readonly ms: number; isDue(outputs: readonly Output[]): boolean } | null = null;

  constructor(
    private readonly world: World,
    readonly name: ControllerName,
    private readonly settings: (build: Build) => Settings,
    public build: Build,
  ) {}

  /** From its next start on it runs another build. */
  become(build: Build): void {
    this.build = build;
  }

  get up(): boolean {
    return this.node !== null;
  }

  get healthy(): boolean {
    if (this.world.clock.now < this.frozenUntil) return false;
    return this.node?.isHealthy(this.now().monotonic) ?? false;
  }

  start(): void {
    if (this.node) return;
    this.starts += 1;
    this.epoch += 1;
    const { world } = this;
    this.node = new this.build.controllerClass(
      this.settings(this.build),
      isPresent(this.build) ? world.options.tuning : this.build.tuning,
      `${this.name}-${this.starts}`,
      world.options.seed + this.starts,
      this.now(),
      this.build.features,
    );
    this.step({ kind: 'start' });
  }

  crash(): void {
    this.node = null;
    this.splitters.clear();
    this.frozenUntil = 0;
    this.inputsWhileFrozen = [];
    this.callbacks.clear();
    this.epoch += 1;
  }

  private now(): ClockReading {
    const elapsed = this.world.clock.now;
    return { monotonic: elapsed as MonotonicTime, wallClock: (1_790_000_000_000 + elapsed) as WallClockTime };
  }

  /** The process stands still while its clocks run on; what comes meanwhile waits in its sockets. */
  freeze(ms: number): void {
    if (!this.node) return;
    const { epoch, world } = this;
    this.frozenUntil = world.clock.now + ms;
    world.clock.in(ms, () => {
      if (epoch !== this.epoch) return;
      const waited = this.inputsWhileFrozen;
      this.inputsWhileFrozen = [];
      // Either comes first on waking: timers that are due, or what was read from the sockets.
      const timerFirst = world.clock.between(0, 1) < 0.5;
      if (timerFirst) this.step({ kind: 'timer' });
      for (const input of waited) this.step(input);
      if (!timerFirst) this.step({ kind: 'timer' });
    });
  }

  step(input: Input): void {
    const { node } = this;
    if (!node) return;
    if (this.world.clock.now < this.frozenUntil) {
      if (input.kind !== 'timer') this.inputsWhileFrozen.push(input);
      return;
    }
    const outputs = node.step(this.now(), input);
    if (this.pauseBeforeSending?.isDue(outputs)) this.carryOutAfterPause(outputs);
    else for (const output of outputs) this.carryOutIfDue(output);
    const next = node.nextTimerAt();
    if (next === null) return;
    const ifAlive = ++this.timerSeq;
    this.world.clock.in(Math.max(1, next - this.world.clock.now), () => {
      if (ifAlive === this.timerSeq && this.node === node) this.step({ kind: 'timer' });
    });
  }

  /** The process is paused between making outputs and sending them. */
  private carryOutAfterPause(outputs: readonly Output[]): void {
    const ms = this.pauseBeforeSending?.ms ?? 0;
    this.pauseBeforeSending = null;
    const carryOut = this.mine(() => {
      for (const output of outputs) this.carryOutIfDue(output);
    });
    // What was about to be sent goes out first; only then does the process look at what waits for it.
    this.world.clock.in(ms - 1, carryOut);
    this.freeze(ms);
  }

  private carryOutIfDue(output: Output): void {
    const { output: due, reply } = checkExpiry(output, this.now().monotonic);
    if (due) this.carryOut(due);
    if (reply)
      this.world.clock.in(
        1,
        this.mine(() => this.step(reply)),
      );
  }

  /** Runs `then` only if the same process still lives. */
  private mine<T extends unknown[]>(then: (...answer: T) => void): (...answer: T) => void {
    const { epoch } = this;
    return (...answer) => {
      if (epoch === this.epoch && this.node) then(...answer);
    };
  }

  private carryOut(output: Output): void {
    const { world } = this;
    const { network } = world;
    world.trace?.add(world.clock.now, this.name, this.build, output);
    switch (output.kind) {
      case 'answerUser':
      case 'answerWorker': {
        const wait = this.callbacks.get(output.requestId);
        this.callbacks.delete(output.requestId);
        wait?.(output.response as never);
        break;
      }
      case 'store': {
        const done = this.mine((result: Result<StateStoreResponse> | null) =>
          this.step({ kind: 'storeReply', callId: output.callId, result: result ?? { ok: false, why: 'unknown' } }),
        );
        world.meters.storeOp(output.operation);
        network.call(
          this.name,
          'state',
          output.timeoutMs,
          (reply) => world.state.serve(this.name, output.operation, reply),
          done,
        );
        break;
      }
      case 'cloud': {
        const done = this.mine((result: Parameters<Parameters<Cloud['serve']>[1]>[0] | null) =>
          this.step({ kind: 'cloudReply', callId: output.callId, result: result ?? { ok: false, why: 'unknown' } }),
        );
        world.meters.cloudOp();
        network.call(this.name, 'cloud', 4000, (reply) => world.cloud.serve(output.operation, reply), done);
        break;
      }
      case 'worker': {
        const carriedOut = this.mine((value: CommandPushResponse | null) =>
          this.step({
            kind: 'workerReply',
            callId: output.callId,
            result: value ? { ok: true, value } : { ok: false, why: 'unknown' },
          }),
        );
        world.meters.commandsOpened(1);
        const done = (value: CommandPushResponse | null): void => {
          world.meters.commandsOpened(-1);
          carriedOut(value);
        };
        const worker = world.workers.get(output.operation.address as MachineId);
        network.call(
          this.name,
          output.operation.address,
          2500,
          (reply) => worker?.takeCommands(output.operation, reply),
          done,
        );
        break;
      }
      case 'peer': {
        const to = world.nodes.find((node) => node.name === output.recipient);
        if (world.bytes) {
          const frame = this.build.encodeFrame(this.build.ownMessage(output.message));
          network.send(this.name, output.recipient, () => to?.fromPeerBytes(this.name, frame));
          break;
        }
        world.meters.frame(output.message);
        network.send(this.name, output.recipient, () => to?.fromPeer(this.name, output.message));
        break;
      }
      case 'log':
        world.meters.logLine(output);
        if (world.verbose)
          console.error((world.clock.now / 1000).toFixed(2), this.name, output.level, output.event, output.fields);
        if (output.level === 'error') world.errors.push(`${output.event} ${JSON.stringify(output.fields)}`);
        break;
    }
  }

  recoverySummary(): RecoverySummary | null {
    return this.node?.recoverySummary?.() ?? null;
  }

  fromPeer(sender: ControllerName, message: PeerMessage): void {
    this.step({ kind: 'peer', sender, message });
  }

  /** As the link does it: a frame that the build can't take ends the connection. */
  fromPeerBytes(from: ControllerName, frame: Buffer): void {
    if (!this.node) return;
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
    for (const frame of frames) if (frame.kind !== 'hello') this.fromPeer(from, frame);
  }

  report(heartbeat: Heartbeat, reply: (answer: HeartbeatResponse) => void): void {
    if (!this.node) return;
    const requestId = ++this.requests;
    this.callbacks.set(requestId, reply as (answer: never) => void);
    this.step({ kind: 'report', requestId, heartbeat });
  }

  user(request: UserRequest, reply: (answer: UserResponse) => void): void {
    if (!this.node) return;
    const requestId = ++this.requests;
    this.callbacks.set(requestId, reply as (answer: never) => void);
    this.step({ kind: 'user', requestId, request });
  }
}
