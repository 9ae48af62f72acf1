/** The result of a planning round, which scale-out and preemption use. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Plan, PlanJob } from './plan_types.js';

/** Tasks of a job that was not planned in full and for which the backfill had no free capacity now. */
export interface UnplannedTasks {
  readonly job: PlanJob;
  readonly tasks: number;
}

/** The output of a round for the steps that follow it. */
export interface RoundResult {
  /**
   * A plan in which arrays are not restricted to one zone per round. Tasks that start late in it lack machines, and a
   * different choice of zones in the next round would not help them.
   */
  readonly capacityPlan: Plan;
  /** The jobs to which the job indices of the plan refer. */
  readonly jobs: readonly Job[];
  /** The same jobs in the form in which the plan uses them. */
  readonly planJobs: readonly PlanJob[];
  /** The machines to which the machine indices of the plan refer. */
  readonly machines: readonly Machine[];
  /** The remaining tasks of waiting jobs that were not planned in full. */
  readonly unplannedTasks: readonly UnplannedTasks[];
  /** Plan steps that the round spent. */
  readonly steps: number;
}
