/** Which machines are to be sent commands without waiting for their heartbeats. */
import type { Machine } from '../machines/machine.js';
import type { StepContext } from '../step_context.js';
import type { TermTimers } from './term_timers.js';

/** Machines with tasks to stop, or with replicas to start: only these are looked at when commands are pushed. */
export class PendingCommands {
  private readonly withStops = new Set<Machine>();
  private readonly withStarts = new Set<Machine>();

  constructor(
    private readonly context: StepContext,
    private readonly timers: TermTimers,
  ) {}

  /** Stops of tasks on the machine are pushed with the next step. */
  scheduleStops(machine: Machine): void {
    this.withStops.add(machine);
    this.timers.commandPush.set(this.context.now.monotonic);
  }

  /** Replicas on the machine are to be started, when commands are pushed next. */
  requestStarts(machine: Machine): void {
    this.withStarts.add(machine);
  }

  /** Returns all machines with stops or starts, those with stops first. */
  machines(): ReadonlySet<Machine> {
    return new Set([...this.withStops, ...this.withStarts]);
  }

  /** Returns whether the machine may have tasks to stop. */
  hasStops(machine: Machine): boolean {
    return this.withStops.has(machine);
  }

  /** Returns whether the machine may have replicas to start. */
  hasStarts(machine: Machine): boolean {
    return this.withStarts.has(machine);
  }

  /** All stops have been carried out. */
  clearStops(machine: Machine): void {
    this.withStops.delete(machine);
  }

  /** No replica is left to be started. */
  clearStarts(machine: Machine): void {
    this.withStarts.delete(machine);
  }
}
