/** What a planning round found out, for scaling out and for preemption. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Plan, PlanJob } from './plan_types.js';

/** Tasks of a job for which neither plan nor backfill had free capacity now. */
export interface UnplannedTasks {
  readonly job: PlanJob;
  readonly tasks: number;
}

/** What a round leaves to the steps that follow it. */
export interface RoundResult {
  /**
   * What could start when if arrays weren't held to one zone a round: what is late here lacks machines, not a better zone
   * in the next round.
   */
  readonly capacityPlan: Plan;
  /** Jobs and machines by their indices in the plan. */
  readonly jobs: readonly Job[];
  readonly planJobs: readonly PlanJob[];
  readonly machines: readonly Machine[];
  /** What is left of waiting jobs beyond those planned in full. */
  readonly unplannedTasks: readonly UnplannedTasks[];
  /** Plan steps that the round took. */
  readonly steps: number;
}
