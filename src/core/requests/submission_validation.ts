/** Checks submissions against what the deployment offers. */
import { fitsTeamLimit } from '../state/quotas.js';
import type { JobSpec, MachineType, MachineTypeName, TeamQuota, ZoneName } from '../types.js';

/** Why a job can never run. */
type InfeasibilityReason = 'unknownTeam' | 'fitsNoMachineType' | 'exceedsTeamLimit' | 'needsSeveralZones';

/** What users are told. */
export const INFEASIBILITY_PROBLEMS: Readonly<Record<InfeasibilityReason, string>> = {
  unknownTeam: 'unknown team',
  fitsNoMachineType: 'a task fits no allowed machine type',
  exceedsTeamLimit: 'more than the limit of its team',
  needsSeveralZones: 'its tasks must be in several zones and can only be in one',
};

/** The zones in which a task of the job fits a machine type that the job allows. */
function feasibleZones(spec: JobSpec, types: ReadonlyMap<MachineTypeName, MachineType>): Set<ZoneName> {
  const zones = new Set<ZoneName>();
  for (const type of types.values()) {
    if (spec.allowedMachineTypes !== null && !spec.allowedMachineTypes.includes(type.name)) continue;
    if (spec.cpus > type.cpus || spec.gpus > type.gpus || spec.memoryGb > type.memoryGb) continue;
    for (const zone of type.zones) if (spec.zone === null || spec.zone === zone) zones.add(zone);
  }
  return zones;
}

/** Returns why a job can never run on this deployment; null: it can. */
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
  // What has to run all at once and may have half of it in a zone needs two zones; an array goes on in turns.
  const needsTwoZones = spec.kind !== 'array' && spec.zoneSpread && spec.taskCount > 1;
  return needsTwoZones && (spec.singleZone || zones.size < 2) ? 'needsSeveralZones' : null;
}
