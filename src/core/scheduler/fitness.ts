/** Computes the fitness of a plan, which the search minimizes (Section II-A3 of the EVO-GP paper). */
import { elementAt } from './capacity_timeline.js';
import type { PlanJob, PlanMachine } from './plan_types.js';
import type { FitnessWeights } from './policy.js';

/** Period over which utilization is computed, in seconds from now. The paper extends it to the end of the last job. */
const UTILIZATION_HORIZON_SECONDS = 60;

/** The weighted queuing times of the jobs of one plan, in seconds. */
export class WeightedWaits {
  /** The longest weighted wait (Eq. (3)). */
  maximum = 0;
  private sum = 0;
  private jobs = 0;

  /** Adds a job. `waitSeconds` is its mean wait under the plan, from now on. */
  add(job: PlanJob, waitSeconds: number): void {
    const weighted = job.priorityWeight * (job.waitedSeconds + waitSeconds);
    this.sum += weighted;
    this.jobs += 1;
    if (weighted > this.maximum) this.maximum = weighted;
  }

  /** The mean weighted wait over all jobs, or 0 if there are no jobs (Eq. (2)). */
  get average(): number {
    return this.jobs > 0 ? this.sum / this.jobs : 0;
  }
}

/** Returns the weighted sum of average wait, maximum wait and idle share (Eq. (5)). Lower is better. */
export function fitness(weights: FitnessWeights, waits: WeightedWaits, machines: readonly PlanMachine[]): number {
  return (
    weights.averageWait * waits.average +
    weights.maximumWait * waits.maximum +
    weights.idleShare * (1 - utilization(machines))
  );
}

/**
 * Returns the mean utilization of the machines over the next minute, 0 to 1 (Eq. (4)). It is that of the GPUs for
 * machines with GPUs, and that of the cores for all others.
 */
function utilization(machines: readonly PlanMachine[]): number {
  let used = 0;
  let available = 0;
  for (const { type, stepTimesSeconds, freeGpus, freeCpus } of machines) {
    const capacity = type.gpus > 0 ? type.gpus : type.cpus;
    const free = type.gpus > 0 ? freeGpus : freeCpus;
    const steps = stepTimesSeconds.length;
    for (let step = 0; step < steps && elementAt(stepTimesSeconds, step) < UTILIZATION_HORIZON_SECONDS; step++) {
      const next = step + 1 < steps ? elementAt(stepTimesSeconds, step + 1) : UTILIZATION_HORIZON_SECONDS;
      const end = Math.min(UTILIZATION_HORIZON_SECONDS, next);
      const share = (end - elementAt(stepTimesSeconds, step)) / UTILIZATION_HORIZON_SECONDS;
      available += share;
      used += share * (1 - elementAt(free, step) / capacity);
    }
  }
  return available > 0 ? used / available : 1;
}
