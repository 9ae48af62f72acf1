/** Computes how many heartbeats per second reach this controller. */
import type { MonotonicTime } from '../types.js';

/** Minimum length of a counting window, in seconds. Counts over shorter windows are too imprecise. */
const MIN_WINDOW_SECONDS = 0.9;
/** Weight of a new window in the smoothed rate. */
const SMOOTHING = 0.5;

/** A heartbeat rate that is smoothed over a few seconds. */
export class HeartbeatRate {
  private counted = 0;
  private smoothed = 0;

  /** `countedSince` is the start of the current counting window. */
  constructor(private countedSince: MonotonicTime) {}

  /** Heartbeats per second, as of the last update. */
  get perSecond(): number {
    return this.smoothed;
  }

  /** Counts one received heartbeat. */
  count(): void {
    this.counted += 1;
  }

  /** Updates the rate with the heartbeats of the current window, and begins a new one. Called about once per second. */
  update(now: MonotonicTime): void {
    const seconds = (now - this.countedSince) / 1000;
    if (seconds < MIN_WINDOW_SECONDS) return;
    const rate = this.counted / seconds;
    this.smoothed = (1 - SMOOTHING) * this.smoothed + SMOOTHING * rate;
    this.counted = 0;
    this.countedSince = now;
  }
}
