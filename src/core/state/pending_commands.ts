/** Which machines are to be sent commands without waiting for their heartbeats. */
import type { Machine } from '../machines/machine.js';
import type { StepContext } from '../step_context.js';
import type { TermTimers } from './term_timers.js';

/** Machines with tasks to stop, or with replicas to start: only these are looked at when commands are pushed. */
export class PendingCommands {
  readonly machinesWithStops = new Set<Machine>();
  readonly machinesWithStarts = new Set<Machine>();

  constructor(
    private readonly context: StepContext,
    private readonly timers: TermTimers,
  ) {}

  /** Stops of tasks on the machine are pushed with the next step. */
  scheduleStops(machine: Machine): void {
    this.machinesWithStops.add(machine);
    this.timers.commandPush.set(this.context.now.monotonic);
  }
}
