/** Checks on the availability of services. */
import type { JobId } from '../../../../src/core/types.js';
import type { CheckTable } from './check.js';

/** Checks on services. */
export const serviceChecks: CheckTable = {
  /**
   * available SHARE AFTER JOB ...: the minimum average share of running replicas, from AFTER seconds after acceptance
   */
  available(world, [share, after, ...ids]) {
    const low = ids.filter(
      (id) => world.availability.averageRunningShare(id as JobId, Number(after) * 1000) < Number(share),
    );
    const told = low.map(
      (id) => `${id} ${world.availability.averageRunningShare(id as JobId, Number(after) * 1000).toFixed(3)}`,
    );
    return low.length === 0 ? null : `average availability too low: ${told.join(', ')}`;
  },
  /** available-now SHARE JOB ...: the minimum share of replicas that run at the end */
  'available-now'(world, [share, ...ids]) {
    const low = ids.filter((id) => world.availability.latestRunningShare(id as JobId) < Number(share));
    return low.length === 0 ? null : `availability too low at the end: ${low.join(' ')}`;
  },
};
