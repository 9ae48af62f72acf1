import type { JobId } from '../../../../src/core/types.js';
import type { CheckTable } from './check.js';

/** How much of a long-running service was up. */
export const serviceChecks: CheckTable = {
  /** available SHARE AFTER JOB ...: of the replica time from so many seconds on, that share was served */
  available(world, [share, after, ...ids]) {
    const low = ids.filter((id) => world.availability.averageFrom(id as JobId, Number(after) * 1000) < Number(share));
    const told = low.map(
      (id) => `${id} ${world.availability.averageFrom(id as JobId, Number(after) * 1000).toFixed(3)}`,
    );
    return low.length === 0 ? null : `not up enough: ${told.join(', ')}`;
  },
  /** available-now SHARE JOB ...: that part of the replicas runs at the end */
  'available-now'(world, [share, ...ids]) {
    const low = ids.filter((id) => world.availability.latest(id as JobId) < Number(share));
    return low.length === 0 ? null : `not up at the end: ${low.join(' ')}`;
  },
};
