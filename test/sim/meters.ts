import type { Output, PeerMessage, StateStoreOperation } from '../../src/core/messages.js';
import { encodeFrame } from '../../src/io/peers/peer_codec.js';
import type { Clock } from './clock.js';

/** The most of something in any one second. */
class PerSecond {
  most = 0;
  private second = -1;
  private n = 0;

  add(now: number, n: number): void {
    const second = Math.floor(now / 1000);
    if (second !== this.second) this.n = 0;
    this.second = second;
    this.n += n;
    if (this.n > this.most) this.most = this.n;
  }
}

/** What the controllers use of what is scarce, counted and never timed: the same on every machine. */
export class Meters {
  private readonly storeCalls = new PerSecond();
  private readonly storeChanges = new PerSecond();
  private readonly cloudCalls = new PerSecond();
  private openCommands = 0;
  /** Plan steps of the dearest round. */
  maxRoundSteps = 0;
  maxOpenCommands = 0;
  /** Machines that a leader took out of use because tasks failed there. */
  takenOutOfUse = 0;
  frameBytes = 0;
  /** Machines that were returned with tasks on them. */
  returnedBusy = 0;

  constructor(private readonly clock: Clock) {}

  get calls(): number {
    return this.storeCalls.most;
  }

  get changes(): number {
    return this.storeChanges.most;
  }

  get cloud(): number {
    return this.cloudCalls.most;
  }

  storeOp(op: StateStoreOperation): void {
    this.storeCalls.add(this.clock.now, 1);
    if (op.op === 'txn') this.storeChanges.add(this.clock.now, op.changes.length);
  }

  cloudOp(): void {
    this.cloudCalls.add(this.clock.now, 1);
  }

  commandsOpened(n: number): void {
    this.openCommands += n;
    this.maxOpenCommands = Math.max(this.maxOpenCommands, this.openCommands);
  }

  frame(message: PeerMessage): void {
    this.frameBytes = Math.max(this.frameBytes, encodeFrame(message).length);
  }

  /** What the leader says of its rounds and of machines at fault. */
  logLine({ event, fields }: Extract<Output, { kind: 'log' }>): void {
    if (event === 'round') this.maxRoundSteps = Math.max(this.maxRoundSteps, Number(fields.steps));
    else if (event === 'machine fails what it starts: taking it out of use') this.takenOutOfUse += 1;
  }
}
