/** The timers of one term: those that several parts set, and the scope in which parts create their own. */
import type { Timer, TimerFactory, TimerScope, Timers } from '../timers.js';

/** They end with the term. The part that does the work names it with `handle`. */
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

  /** Creates a timer that ends with the term. */
  create(work?: () => void): Timer {
    return this.scope.create(work);
  }

  /** The term is over: no timer of it runs again. */
  close(): void {
    this.scope.close();
  }
}
