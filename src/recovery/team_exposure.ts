/** Computes an upper bound of the resources that each team may be using on unreconciled machines. */
import type { TeamName } from '../core/types.js';
import type { PreviousTermJob } from './types.js';
import type { Capacity, UnreconciledMachines } from './unreconciled_machines.js';

/** The maximum resources that each team's tasks may use on unreconciled machines. A team without an entry uses none. */
export type TeamExposure = ReadonlyMap<TeamName, Capacity>;

/**
 * Returns for each team the total resources of its tasks that may be on unreconciled machines, limited to `capacity`,
 * the capacity of those machines. A team without such tasks can use its whole quota immediately.
 */
export function teamExposure(
  jobs: Iterable<PreviousTermJob>,
  machines: UnreconciledMachines,
  mayRunOnUnreconciledMachine: (job: PreviousTermJob) => boolean,
  capacity: Capacity,
): TeamExposure {
  const exposure = new Map<TeamName, { cpus: number; gpus: number }>();
  if (machines.count === 0) return exposure;
  for (const job of jobs) {
    if (!mayRunOnUnreconciledMachine(job)) continue;
    const use = exposure.get(job.team) ?? { cpus: 0, gpus: 0 };
    use.cpus = Math.min(capacity.cpus, use.cpus + job.cpus * job.unaccountedCount);
    use.gpus = Math.min(capacity.gpus, use.gpus + job.gpus * job.unaccountedCount);
    exposure.set(job.team, use);
  }
  return exposure;
}
