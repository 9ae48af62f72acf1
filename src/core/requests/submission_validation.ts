import { fitsTeamLimit } from '../state/quotas.js';
import type { JobSpec, MachineType, MachineTypeName, TeamQuota, ZoneName } from '../types.js';

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

/** Why a job can never run on this deployment; null: it can. */
export function infeasibilityReason(
  spec: JobSpec,
  types: ReadonlyMap<MachineTypeName, MachineType>,
  teams: readonly TeamQuota[],
): string | null {
  const team = teams.find(({ name }) => name === spec.team);
  if (!team) return 'unknown team';
  const zones = feasibleZones(spec, types);
  if (zones.size === 0) return 'a task fits no allowed machine type';
  if (!fitsTeamLimit(team, spec)) return 'more than the limit of its team';
  // What has to run all at once and may have half of it in a zone needs two zones; an array goes on in turns.
  const needsTwoZones = spec.kind !== 'array' && spec.zoneSpread && spec.taskCount > 1;
  if (needsTwoZones && (spec.singleZone || zones.size < 2)) {
    return 'its tasks must be in several zones and can only be in one';
  }
  return null;
}
