/** Measures the controllers' use of limited resources. */
import type { Output, PeerMessage, StateStoreOperation } from '../../src/core/messages.js';
import { encodeFrame } from '../../src/io/peers/peer_codec.js';
import type { Clock } from './clock.js';
import { RateLimiter } from './rate_limiter.js';

/** The burst that the cloud allows, in seconds of its rate. */
const CLOUD_BURST_SECONDS = 2;

/** The highest count in any one second. */
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

/**
 * Measures the use of limited resources by the controllers. All figures are counts in virtual time, so they are the
 * same on every machine that runs the test.
 */
export class ResourceMeters {
  private readonly stateStoreCalls = new PeakPerSecond();
  private readonly stateStoreChanges = new PeakPerSecond();
  private readonly cloudCalls = new PeakPerSecond();
  /** The number of plan steps of the most expensive planning round. */
  largestRoundSteps = 0;
  /** The highest number of command pushes without a response that one controller process had at any time. */
  peakOpenPushes = 0;
  /** The number of times that a leader drained a machine because tasks failed on it. */
  drainedFaultyMachines = 0;
  /** The size of the largest frame to a peer, in bytes. */
  largestFrameBytes = 0;
  /** The number of machines that were terminated with tasks on them. */
  terminatedWhileBusy = 0;

  /** The number of cloud calls that exceeded the cloud's rate and burst. */
  throttledCloudCalls = 0;
  private readonly cloudRate: RateLimiter;

  /** `cloudCallsPerSecond`: the rate that the cloud allows. */
  constructor(
    private readonly clock: Clock,
    cloudCallsPerSecond: number,
  ) {
    this.cloudRate = new RateLimiter(clock, cloudCallsPerSecond, CLOUD_BURST_SECONDS);
  }

  /** The number of state store calls in the busiest second. */
  get peakStateStoreCalls(): number {
    return this.stateStoreCalls.peak;
  }

  /** The number of changes in transactions in the busiest second. */
  get peakStateStoreChanges(): number {
    return this.stateStoreChanges.peak;
  }

  /** The number of cloud calls in the busiest second. */
  get peakCloudCalls(): number {
    return this.cloudCalls.peak;
  }

  /** Called when a controller sends a call to the state store. */
  onStateStoreCall(op: StateStoreOperation): void {
    this.stateStoreCalls.add(this.clock.now, 1);
    if (op.op === 'compareAndSwap') this.stateStoreChanges.add(this.clock.now, op.changes.length);
  }

  /** Called when a controller sends a call to the cloud. */
  onCloudCall(): void {
    this.cloudCalls.add(this.clock.now, 1);
    if (!this.cloudRate.tryTake(1)) this.throttledCloudCalls += 1;
  }

  /** Called with the number of command pushes without a response of a controller process when it has sent one more. */
  recordOpenPushes(count: number): void {
    this.peakOpenPushes = Math.max(this.peakOpenPushes, count);
  }

  /** Called when a controller sends a message to a peer. */
  onPeerMessage(message: PeerMessage): void {
    this.largestFrameBytes = Math.max(this.largestFrameBytes, encodeFrame(message).length);
  }

  /** Reads the cost of planning rounds and the number of drained faulty machines from log events. */
  onLogEvent({ event, fields }: Extract<Output, { kind: 'log' }>): void {
    if (event === 'planning round finished')
      this.largestRoundSteps = Math.max(this.largestRoundSteps, Number(fields.planSteps));
    else if (event === 'machine failing tasks') this.drainedFaultyMachines += 1;
  }
}
