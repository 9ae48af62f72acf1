/** Checks whether submitted jobs can run with the machine types, zones and team limits of the deployment. */
import { fitsTeamLimit } from '../state/quotas.js';
import type { JobSpec, MachineType, MachineTypeName, TeamQuota, ZoneName } from '../types.js';

/** Why a job can never run. */
type InfeasibilityReason = 'unknownTeam' | 'fitsNoMachineType' | 'exceedsTeamLimit' | 'needsSeveralZones';

/** The error message to the user for each reason. */
export const INFEASIBILITY_PROBLEMS: Readonly<Record<InfeasibilityReason, string>> = {
  unknownTeam: 'unknown team',
  fitsNoMachineType: 'a task fits no allowed machine type',
  exceedsTeamLimit: 'more than the limit of its team',
  needsSeveralZones: 'its tasks must be in several zones and can only be in one',
};

/** Returns the zones in which a task of the job fits a machine type that the job allows. */
function feasibleZones(spec: JobSpec, types: ReadonlyMap<MachineTypeName, MachineType>): Set<ZoneName> {
  const zones = new Set<ZoneName>();
  for (const type of types.values()) {
    if (spec.allowedMachineTypes !== null && !spec.allowedMachineTypes.includes(type.name)) continue;
    if (spec.cpus > type.cpus || spec.gpus > type.gpus || spec.memoryGb > type.memoryGb) continue;
    for (const zone of type.zones) if (spec.zone === null || spec.zone === zone) zones.add(zone);
  }
  return zones;
}

/** Returns why a job can never run in this deployment. Null if it can run. */
export function infeasibilityReason(
  spec: JobSpec,
  types: ReadonlyMap<MachineTypeName, MachineType>,
  teams: readonly TeamQuota[],
): InfeasibilityReason | null {
  const team = teams.find(({ name }) => name === spec.team);
  if (!team) return 'unknownTeam';
  const zones = feasibleZones(spec, types);
  if (zones.size === 0) return 'fitsNoMachineType';
  if (!fitsTeamLimit(team, spec)) return 'exceedsTeamLimit';
  // All tasks of a gang or a service run at the same time. With zone spread, a zone may hold at most half of them, so
  // they need two zones. The tasks of an array can run one after another.
  const needsTwoZones = spec.kind !== 'array' && spec.zoneSpread && spec.taskCount > 1;
  return needsTwoZones && (spec.singleZone || zones.size < 2) ? 'needsSeveralZones' : null;
}
