/** One-shot timers of a controller; the outside only needs to know when the next is due. */
import type { MonotonicTime } from './types.js';

/** Creates timers. */
export interface TimerFactory {
  /** Creates a timer that isn't set yet. `work`: done when it is due; left out, the timer only brings a step about. */
  create(work?: () => void): Timer;
}

/** Where timers are entered. */
interface Schedule {
  set(timer: Timer, at: MonotonicTime): void;
  /** Null where the timer isn't set. */
  dueAt(timer: Timer): MonotonicTime | null;
  clear(timer: Timer): void;
}

/** A timer, created by the part whose work it brings about. */
export class Timer {
  constructor(
    private readonly schedule: Schedule,
    private work: () => void,
  ) {}

  /** Names the work of a timer that was created below the part that does it; it may set the timer again. */
  handle(work: () => void): void {
    this.work = work;
  }

  /** Sets the timer, or moves it if it is set. */
  set(at: MonotonicTime): void {
    this.schedule.set(this, at);
  }

  /** Sets the timer, or moves it if it is due later; one that is due sooner stays. */
  bringForward(at: MonotonicTime): void {
    const dueAt = this.schedule.dueAt(this);
    if (dueAt === null || dueAt > at) this.set(at);
  }

  /** Sets the timer if it isn't set. */
  setIfUnset(at: MonotonicTime): void {
    if (this.schedule.dueAt(this) === null) this.set(at);
  }

  /** Sets the timer, or clears it where the time is null. */
  setOrClear(at: MonotonicTime | null): void {
    if (at === null) this.clear();
    else this.set(at);
  }

  /** Takes the timer back, also one that is due in this step and has not run. */
  clear(): void {
    this.schedule.clear(this);
  }

  /** Whether the timer is set and due by then. */
  isDueBy(deadline: MonotonicTime): boolean {
    const dueAt = this.schedule.dueAt(this);
    return dueAt !== null && dueAt <= deadline;
  }

  /** Does what the timer is for. */
  run(): void {
    this.work();
  }
}

/** All timers of a controller. */
export class Timers implements TimerFactory {
  private readonly dueTimes = new Map<Timer, MonotonicTime>();
  /** Due in this step, and not run yet. */
  private readonly running = new Set<Timer>();
  private readonly schedule: Schedule = {
    set: (timer, at) => this.dueTimes.set(timer, at),
    dueAt: (timer) => this.dueTimes.get(timer) ?? null,
    clear: (timer) => {
      this.dueTimes.delete(timer);
      this.running.delete(timer);
    },
  };

  /** Creates a timer that lasts as long as the controller. */
  create(work: () => void = () => {}): Timer {
    return new Timer(this.schedule, work);
  }

  /** Returns a factory of timers that end together: those of one term. */
  makeScope(): TimerScope {
    return new TimerScope(this.schedule);
  }

  /** When the first timer is due; null if none is set. */
  nextDueAt(): MonotonicTime | null {
    let first: MonotonicTime | null = null;
    for (const at of this.dueTimes.values()) if (first === null || at < first) first = at;
    return first;
  }

  /** Runs the timers that are due, in the order in which they were set; one set meanwhile waits for the next step. */
  runDue(now: MonotonicTime): void {
    for (const [timer, at] of this.dueTimes) if (at <= now) this.running.add(timer);
    for (const timer of this.running) this.dueTimes.delete(timer);
    for (const timer of this.running) {
      this.running.delete(timer);
      timer.run();
    }
  }
}

/** Timers that end together. */
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

  /** Creates a timer that ends with the scope. */
  create(work: () => void = () => {}): Timer {
    const timer = new Timer(this.scoped, work);
    this.timers.push(timer);
    return timer;
  }

  /** Clears all timers of the scope for good: setting one has no effect from now on. */
  close(): void {
    this.isClosed = true;
    for (const timer of this.timers) timer.clear();
  }
}
