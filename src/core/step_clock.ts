/** The time of the current step: it stands still until the next one begins. */
import { addMilliseconds, type ClockReading, type MonotonicTime } from './types.js';

/** Both clocks as they were read when the step began. */
export class StepClock {
  /** `now`: the reading with which the first step begins. */
  constructor(private reading: ClockReading) {}

  /** The time at which the step began. */
  get now(): ClockReading {
    return this.reading;
  }

  /** Begins a step. */
  advance(now: ClockReading): void {
    this.reading = now;
  }

  /** Returns the time so many milliseconds from now. */
  after(ms: number): MonotonicTime {
    return addMilliseconds(this.reading.monotonic, ms);
  }
}
