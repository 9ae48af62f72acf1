/** Which teams' unfinished work fits what they are guaranteed. */
import type { TeamName, TeamQuota } from '../types.js';
import type { ClusterState } from './cluster_state.js';

/** What all unfinished tasks of a team would take together. */
interface TeamDemand {
  cpus: number;
  gpus: number;
}

/** Returns the teams whose unfinished work fits their guarantee: it need not wait for that of others. */
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

/** A guarantee of 0 is none; a team without any guarantee is never within it. */
function fitsGuarantee({ guaranteed }: TeamQuota, demand: TeamDemand): boolean {
  const { cpus, gpus } = guaranteed;
  if (cpus <= 0 && gpus <= 0) return false;
  return (cpus <= 0 || demand.cpus <= cpus) && (gpus <= 0 || demand.gpus <= gpus);
}
