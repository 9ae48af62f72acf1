/** The timers of one term: those that several components set, and the scope in which components create their own. */
import type { Timer, TimerFactory, TimerScope, Timers } from '../timers.js';

/** Timers that stop when the term ends. The component that does a timer's work sets its callback. */
export class TermTimers implements TimerFactory {
  readonly planningRound: Timer;
  readonly servicePlacement: Timer;
  readonly recordFlush: Timer;
  readonly commandPush: Timer;
  private readonly scope: TimerScope;

  constructor(timers: Timers) {
    this.scope = timers.makeScope();
    this.planningRound = this.scope.create();
    this.servicePlacement = this.scope.create();
    this.recordFlush = this.scope.create();
    this.commandPush = this.scope.create();
  }

  /** Creates a timer that stops when the term ends. */
  create(callback?: () => void): Timer {
    return this.scope.create(callback);
  }

  /** Stops all timers of the term when it ends. */
  close(): void {
    this.scope.close();
  }
}
