/** Finds the teams whose unfinished work fits within their guaranteed quota. */
import type { TeamName, TeamQuota } from '../types.js';
import type { ClusterState } from './cluster_state.js';

/** Total demand of all unfinished tasks of a team. */
interface TeamDemand {
  cpus: number;
  gpus: number;
}

/**
 * Returns the teams whose unfinished work fits within their guarantee. Their jobs are ranked before those of other
 * teams.
 */
export function teamsWithinGuarantee(cluster: ClusterState): Set<TeamName> {
  const demands = demandByTeam(cluster);
  const found = new Set<TeamName>();
  for (const quota of cluster.quotas.teamsInOrder()) {
    const demand = demands.get(quota.name);
    if (demand && fitsGuarantee(quota, demand)) found.add(quota.name);
  }
  return found;
}

function demandByTeam(cluster: ClusterState): Map<TeamName, TeamDemand> {
  const demands = new Map<TeamName, TeamDemand>();
  for (const { spec, state, doneTasks } of cluster.jobs.active) {
    if (state !== 'accepted') continue;
    const demand = demands.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const unfinished = spec.taskCount - doneTasks.count;
    demand.cpus += unfinished * spec.cpus;
    demand.gpus += unfinished * spec.gpus;
    demands.set(spec.team, demand);
  }
  return demands;
}

/**
 * Returns whether the demand fits within a team's guarantee. A guarantee of 0 means that there is none for the
 * resource, and a team without any guarantee is never within it.
 */
function fitsGuarantee({ guaranteed }: TeamQuota, demand: TeamDemand): boolean {
  const { cpus, gpus } = guaranteed;
  if (cpus <= 0 && gpus <= 0) return false;
  return (cpus <= 0 || demand.cpus <= cpus) && (gpus <= 0 || demand.gpus <= gpus);
}
