/** What the scheduler has done to one job in this term, and what the job's run times have shown. */
import type { MachineId } from '../types.js';

/**
 * Number of machines on which a job has to run much longer than expected to count as misestimated. Its run times are
 * then no evidence against any machine.
 */
const MISESTIMATED_AFTER_MACHINES = 2;

/** Counts that limit further scheduling decisions about the job. */
export class SchedulingHistory {
  private readonly slowMachines = new Set<MachineId>();
  private migrations = 0;
  private preemptions = 0;

  /** Records that a task of the job took far longer than expected on the machine. */
  recordSlowMachine(machine: MachineId): void {
    this.slowMachines.add(machine);
  }

  /**
   * Whether the job takes longer than expected on every machine, so that its run time says nothing about the machines.
   */
  get isMisestimated(): boolean {
    return this.slowMachines.size >= MISESTIMATED_AFTER_MACHINES;
  }

  /** Number of times the job was migrated to machines that have its image cached. */
  get migrationCount(): number {
    return this.migrations;
  }

  /** Records that the job is being migrated to machines that have its image cached. */
  recordMigration(): void {
    this.migrations += 1;
  }

  /** Number of times tasks of lower priority were preempted for the job. */
  get preemptionCount(): number {
    return this.preemptions;
  }

  /** Records that tasks of lower priority are being preempted for the job. */
  recordPreemption(): void {
    this.preemptions += 1;
  }
}
