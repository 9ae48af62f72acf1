/** The time of the current step. It does not change until the next step begins. */
import { addMilliseconds, type ClockReading, type MonotonicTime } from './types.js';

/** The readings of both clocks at the beginning of the step. */
export class StepClock {
  /** `reading` is the initial reading, until the first step begins. */
  constructor(private reading: ClockReading) {}

  /** The time at which the step began. */
  get now(): ClockReading {
    return this.reading;
  }

  /** Begins a step at the time `now`. */
  advance(now: ClockReading): void {
    this.reading = now;
  }

  /** Returns the time `ms` milliseconds after the beginning of the step. */
  after(ms: number): MonotonicTime {
    return addMilliseconds(this.reading.monotonic, ms);
  }
}
