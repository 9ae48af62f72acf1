/** One-shot timers of a controller. The caller of the core only needs to know when the next one is due. */
import type { MonotonicTime } from './types.js';

export interface TimerFactory {
  /** Creates an unset timer. `callback` is called when the timer is due. Without it, the timer only triggers a step. */
  create(callback?: () => void): Timer;
}

/** Stores the due times of timers. */
interface Schedule {
  set(timer: Timer, at: MonotonicTime): void;
  /** Returns null if the timer isn't set. */
  dueAt(timer: Timer): MonotonicTime | null;
  clear(timer: Timer): void;
}

/** A one-shot timer. The component that it belongs to creates it, and may set it any number of times. */
export class Timer {
  constructor(
    private readonly schedule: Schedule,
    private callback: () => void,
  ) {}

  /**
   * Sets the function that is called when the timer is due. This is for timers whose creator does not depend on the
   * component that handles them. The function may set the timer again.
   */
  setCallback(callback: () => void): void {
    this.callback = callback;
  }

  /** Sets the timer, or reschedules it if it is already set. */
  set(at: MonotonicTime): void {
    this.schedule.set(this, at);
  }

  /** Sets the timer, or reschedules it if it is due later than `at`. A timer that is due sooner keeps its time. */
  bringForward(at: MonotonicTime): void {
    const dueAt = this.schedule.dueAt(this);
    if (dueAt === null || dueAt > at) this.set(at);
  }

  /** Sets the timer if it isn't set. */
  setIfUnset(at: MonotonicTime): void {
    if (this.schedule.dueAt(this) === null) this.set(at);
  }

  /** Sets the timer, or clears it if the time is null. */
  setOrClear(at: MonotonicTime | null): void {
    if (at === null) this.clear();
    else this.set(at);
  }

  /** Clears the timer. A timer that is due in this step and has not run yet is cleared, too. */
  clear(): void {
    this.schedule.clear(this);
  }

  /** Returns whether the timer is set and due no later than `deadline`. */
  isDueBy(deadline: MonotonicTime): boolean {
    const dueAt = this.schedule.dueAt(this);
    return dueAt !== null && dueAt <= deadline;
  }

  /** Calls the timer's function. */
  run(): void {
    this.callback();
  }
}

/** All timers of a controller. */
export class Timers implements TimerFactory {
  private readonly dueTimes = new Map<Timer, MonotonicTime>();
  /** Timers that are due in this step and have not run yet. */
  private readonly running = new Set<Timer>();
  private readonly schedule: Schedule = {
    set: (timer, at) => this.dueTimes.set(timer, at),
    dueAt: (timer) => this.dueTimes.get(timer) ?? null,
    clear: (timer) => {
      this.dueTimes.delete(timer);
      this.running.delete(timer);
    },
  };

  /** Creates a timer that exists as long as the controller. */
  create(callback: () => void = () => {}): Timer {
    return new Timer(this.schedule, callback);
  }

  /** Returns a factory for timers that are closed together, such as the timers of one term. */
  makeScope(): TimerScope {
    return new TimerScope(this.schedule);
  }

  /** Returns the time at which the first timer is due. Null if none is set. */
  nextDueAt(): MonotonicTime | null {
    let first: MonotonicTime | null = null;
    for (const at of this.dueTimes.values()) if (first === null || at < first) first = at;
    return first;
  }

  /** Runs the due timers in the order in which they were set. A timer set meanwhile runs in a later step. */
  runDue(now: MonotonicTime): void {
    for (const [timer, at] of this.dueTimes) if (at <= now) this.running.add(timer);
    for (const timer of this.running) this.dueTimes.delete(timer);
    for (const timer of this.running) {
      this.running.delete(timer);
      timer.run();
    }
  }
}

/** Creates timers that are closed together. */
export class TimerScope implements TimerFactory {
  private readonly timers: Timer[] = [];
  private isClosed = false;
  private readonly scoped: Schedule;

  constructor(schedule: Schedule) {
    this.scoped = {
      set: (timer, at) => {
        if (!this.isClosed) schedule.set(timer, at);
      },
      dueAt: (timer) => schedule.dueAt(timer),
      clear: (timer) => schedule.clear(timer),
    };
  }

  /** Creates a timer that is cleared when the scope is closed. */
  create(callback: () => void = () => {}): Timer {
    const timer = new Timer(this.scoped, callback);
    this.timers.push(timer);
    return timer;
  }

  /** Clears all timers of the scope permanently. Setting one of them has no effect afterwards. */
  close(): void {
    this.isClosed = true;
    for (const timer of this.timers) timer.clear();
  }
}
