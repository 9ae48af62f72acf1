import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';

/** The last look before a start goes out: the job's first start and the machine are on record, and neither is in doubt. */
export function mayStart(job: Job, machine: Machine): boolean {
  return (
    job.state === 'accepted' &&
    job.durableState === 'accepted' &&
    job.durableStartTerm > 0 &&
    !job.gangBroken &&
    machine.registered &&
    machine.unresponsiveSince === null
  );
}
