/** A bound for what each team may have running on machines that are not reconciled. */
import type { TeamName } from '../core/types.js';
import type { PreviousTermJob } from './types.js';
import type { Capacity, UnreconciledMachines } from './unreconciled_machines.js';

/** What each team's tasks may take at most on machines that are not reconciled; nothing for a team that is not in it. */
export type TeamExposure = ReadonlyMap<TeamName, Capacity>;

/**
 * Returns for each team what all of its tasks take that may be on machines not reconciled, and never more than `capacity`, which
 * is what those machines have. A team without such tasks has its whole limit at once.
 */
export function teamExposure(
  jobs: Iterable<PreviousTermJob>,
  machines: UnreconciledMachines,
  mayRunUnreconciled: (job: PreviousTermJob) => boolean,
  capacity: Capacity,
): TeamExposure {
  const exposure = new Map<TeamName, { cpus: number; gpus: number }>();
  if (machines.count === 0) return exposure;
  for (const job of jobs) {
    if (!mayRunUnreconciled(job)) continue;
    const use = exposure.get(job.team) ?? { cpus: 0, gpus: 0 };
    use.cpus = Math.min(capacity.cpus, use.cpus + job.cpus * job.unaccountedCount);
    use.gpus = Math.min(capacity.gpus, use.gpus + job.gpus * job.unaccountedCount);
    exposure.set(job.team, use);
  }
  return exposure;
}
