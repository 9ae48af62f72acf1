import type { Resources } from '../types.js';
import type { PlanJob } from './plan_types.js';

/** For jobs with and without GPUs, the least that any of them asks for of each resource. */
export function minimumDemands(jobs: readonly PlanJob[]): Resources[] {
  const demands: Resources[] = [];
  for (const withGpus of [true, false]) {
    const alike = jobs.filter(({ gpus }) => gpus > 0 === withGpus);
    if (alike.length === 0) continue;
    const least = (demand: (job: PlanJob) => number): number =>
      alike.reduce((smallest, job) => Math.min(smallest, demand(job)), Number.POSITIVE_INFINITY);
    demands.push({
      cpus: least(({ cpus }) => cpus),
      gpus: least(({ gpus }) => gpus),
      memoryGb: least(({ memoryGb }) => memoryGb),
    });
  }
  return demands;
}

/** Whether a job can begin only where the other could: it asks for no less, for no shorter, and may go to no more places. */
export function isAtLeastAsDemanding(job: PlanJob, other: PlanJob): boolean {
  return (
    job.cpus >= other.cpus &&
    job.gpus >= other.gpus &&
    job.gpus > 0 === other.gpus > 0 &&
    job.memoryGb >= other.memoryGb &&
    job.durationSeconds >= other.durationSeconds &&
    (other.toleratesSpot || !job.toleratesSpot) &&
    (other.allowedMachineTypes === null ||
      (job.allowedMachineTypes?.every((type) => other.allowedMachineTypes?.includes(type)) ?? false)) &&
    job.feasibleZones.every((zone) => other.feasibleZones.includes(zone)) &&
    other.excludedMachines === null &&
    (!other.isGang || (job.isGang && job.tasks >= other.tasks && (job.singleZone || !other.singleZone)))
  );
}
