/** What the scheduler has done to one job in this term, and what its run times have shown. */
import type { MachineId } from '../types.js';

/** A job that runs long on so many machines was estimated wrongly, and is no evidence against any of them. */
const MISESTIMATED_AFTER_MACHINES = 2;

/** Counts of what bounds further decisions about the job. */
export class SchedulingHistory {
  private readonly slowMachines = new Set<MachineId>();
  private migrations = 0;
  private preemptions = 0;

  /** A task of the job took far longer than expected on the machine. */
  recordSlowMachine(machine: MachineId): void {
    this.slowMachines.add(machine);
  }

  /** Whether the job runs long wherever it runs: its run time says nothing of its machines. */
  get isMisestimated(): boolean {
    return this.slowMachines.size >= MISESTIMATED_AFTER_MACHINES;
  }

  /** How often the job was moved to machines that hold its image. */
  get migrationCount(): number {
    return this.migrations;
  }

  /** The job is being moved to machines that hold its image. */
  recordMigration(): void {
    this.migrations += 1;
  }

  /** How often tasks of lower priority were preempted for the job. */
  get preemptionCount(): number {
    return this.preemptions;
  }

  /** Tasks of lower priority are being preempted for the job. */
  recordPreemption(): void {
    this.preemptions += 1;
  }
}
