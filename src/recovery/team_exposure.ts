import type { TeamName } from '../core/types.js';
import type { PreviousTermJob } from './types.js';
import type { Capacity, UnreconciledMachines } from './unreconciled_machines.js';

/** What each team's tasks may take on machines whose lists have yet to come. */
export type TeamExposure = ReadonlyMap<TeamName, Capacity>;

/**
 * A bound for each team: all of its tasks that may be on uncertain machines, and never more than those machines have. A team
 * without such tasks has its whole limit at once. Null: there is no telling, and `capacity` holds for every team.
 */
export function teamExposure(
  jobs: Iterable<PreviousTermJob>,
  machines: UnreconciledMachines,
  mayRunUnseen: (job: PreviousTermJob) => boolean,
  capacity: Capacity,
): TeamExposure {
  const exposure = new Map<TeamName, { cpus: number; gpus: number }>();
  if (machines.count === 0) return exposure;
  for (const job of jobs) {
    if (!mayRunUnseen(job)) continue;
    const use = exposure.get(job.team) ?? { cpus: 0, gpus: 0 };
    use.cpus = Math.min(capacity.cpus, use.cpus + job.cpus * job.unaccountedTasks);
    use.gpus = Math.min(capacity.gpus, use.gpus + job.gpus * job.unaccountedTasks);
    exposure.set(job.team, use);
  }
  return exposure;
}
