import type { Output, PeerMessage, StateStoreOperation } from '../../src/core/messages.js';
import { encodeFrame } from '../../src/io/peers/peer_codec.js';
import type { Clock } from './clock.js';

/** The most of something in any one second. */
class PeakPerSecond {
  peak = 0;
  private second = -1;
  private count = 0;

  add(now: number, n: number): void {
    const second = Math.floor(now / 1000);
    if (second !== this.second) this.count = 0;
    this.second = second;
    this.count += n;
    if (this.count > this.peak) this.peak = this.count;
  }
}

/** What the controllers use of what is scarce, counted and never timed: the same on every machine. */
export class ResourceMeters {
  private readonly storeCalls = new PeakPerSecond();
  private readonly storeChanges = new PeakPerSecond();
  private readonly cloudCalls = new PeakPerSecond();
  private openCommands = 0;
  /** Plan steps of the dearest round. */
  largestRoundSteps = 0;
  /** The most pushed commands without a response at any time. */
  peakOpenCommands = 0;
  /** Machines that a leader took out of use because tasks failed there. */
  quarantinedMachines = 0;
  /** The longest frame to a peer. */
  largestFrameBytes = 0;
  /** Machines that were returned with tasks on them. */
  terminatedWhileBusy = 0;

  constructor(private readonly clock: Clock) {}

  /** Calls of the state store in the busiest second. */
  get peakStoreCalls(): number {
    return this.storeCalls.peak;
  }

  /** Changes in transactions of the busiest second. */
  get peakStoreChanges(): number {
    return this.storeChanges.peak;
  }

  /** Calls of the cloud in the busiest second. */
  get peakCloudCalls(): number {
    return this.cloudCalls.peak;
  }

  /** A call of the state store leaves. */
  onStoreCall(op: StateStoreOperation): void {
    this.storeCalls.add(this.clock.now, 1);
    if (op.op === 'compareAndSwap') this.storeChanges.add(this.clock.now, op.changes.length);
  }

  /** A call of the cloud leaves. */
  onCloudCall(): void {
    this.cloudCalls.add(this.clock.now, 1);
  }

  /** So many more pushed commands are without a response; negative: fewer. */
  addOpenCommands(n: number): void {
    this.openCommands += n;
    this.peakOpenCommands = Math.max(this.peakOpenCommands, this.openCommands);
  }

  /** A message to a peer leaves. */
  onPeerMessage(message: PeerMessage): void {
    this.largestFrameBytes = Math.max(this.largestFrameBytes, encodeFrame(message).length);
  }

  /** What the leader says of its rounds and of machines at fault. */
  onLogEvent({ event, fields }: Extract<Output, { kind: 'log' }>): void {
    if (event === 'planning round') this.largestRoundSteps = Math.max(this.largestRoundSteps, Number(fields.planSteps));
    else if (event === 'machine failing tasks') this.quarantinedMachines += 1;
  }
}
