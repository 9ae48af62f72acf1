/** Measures how many heartbeats a second reach this controller. */
import type { MonotonicTime } from '../types.js';

/** Counts over a shorter time say too little. */
const MIN_WINDOW_SECONDS = 0.9;
/** The part of a new count in the smoothed rate. */
const SMOOTHING = 0.5;

/** A rate that is smoothed over some seconds. */
export class HeartbeatRate {
  private counted = 0;
  private smoothed = 0;

  /** `countedSince`: when counting begins. */
  constructor(private countedSince: MonotonicTime) {}

  /** Heartbeats per second, as of the last update. */
  get perSecond(): number {
    return this.smoothed;
  }

  /** One heartbeat has come. */
  count(): void {
    this.counted += 1;
  }

  /** Takes what was counted into the rate; to be called about once a second. */
  update(now: MonotonicTime): void {
    const seconds = (now - this.countedSince) / 1000;
    if (seconds < MIN_WINDOW_SECONDS) return;
    const rate = this.counted / seconds;
    this.smoothed = (1 - SMOOTHING) * this.smoothed + SMOOTHING * rate;
    this.counted = 0;
    this.countedSince = now;
  }
}
