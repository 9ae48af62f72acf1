/** Tracks the machines that are to be sent commands without waiting for their heartbeats. */
import type { Machine } from '../machines/machine.js';
import type { StepContext } from '../step_context.js';
import type { TermTimers } from './term_timers.js';

/** Machines with tasks to stop or replicas to start. Only these machines are examined when commands are pushed. */
export class PendingCommands {
  private readonly withStops = new Set<Machine>();
  private readonly withStarts = new Set<Machine>();

  constructor(
    private readonly context: StepContext,
    private readonly timers: TermTimers,
  ) {}

  /** Schedules a push of the machine's stop commands in the next step. */
  scheduleStops(machine: Machine): void {
    this.withStops.add(machine);
    this.timers.commandPush.set(this.context.now.monotonic);
  }

  /** Requests that the next command push include the start commands for the replicas placed on the machine. */
  requestStarts(machine: Machine): void {
    this.withStarts.add(machine);
  }

  /** Returns all machines with stops or starts. Those with stops come first. */
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

  /** Called when all stops on the machine have been carried out. */
  clearStops(machine: Machine): void {
    this.withStops.delete(machine);
  }

  /** Called when no replica on the machine is left to be started. */
  clearStarts(machine: Machine): void {
    this.withStarts.delete(machine);
  }
}
