/** Fixtures for the planner's unit tests: machines, jobs and planners. */
import type { PlanJob, PlanMachine } from '../../src/core/scheduler/plan_types.js';
import { Planner } from '../../src/core/scheduler/planner.js';
import type { ImageName, MachineType, ZoneName } from '../../src/core/types.js';

/**
 * Returns a machine with `freeCpus` cores free now and all cores free after 20 s. Any image takes `pullSeconds` to
 * pull.
 */
export function makePlanMachine(
  index: number,
  zone: string,
  type: MachineType,
  freeCpus: number,
  pullSeconds = 0,
): PlanMachine {
  return {
    index,
    zone: zone as ZoneName,
    type: type,
    spot: false,
    stepTimesSeconds: freeCpus < type.cpus ? [0, 20] : [0],
    freeCpus: freeCpus < type.cpus ? [freeCpus, type.cpus] : [type.cpus],
    freeGpus: freeCpus < type.cpus ? [type.gpus, type.gpus] : [type.gpus],
    freeMemoryGb: freeCpus < type.cpus ? [64, 64] : [64],
    servesGpuWork: true,
    spareCpus: type.cpus,
    spareMemoryGb: type.memoryGb,
    reservedForGangs: false,
    imagePullSeconds: () => pullSeconds,
    largestCachedImageShare: 0,
  };
}

/** Returns a small job in zone a, with the given overrides. */
export function makePlanJob(index: number, overrides: Partial<PlanJob>): PlanJob {
  return {
    index,
    isGang: false,
    tasks: 1,
    durationSeconds: 10,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    image: 'i' as ImageName,
    imageGb: 1,
    allowedMachineTypes: null,
    fitsTypesWithoutGpus: false,
    toleratesSpot: true,
    spotDelaySeconds: 0,
    singleZone: false,
    zoneAllowance: null,
    feasibleZones: ['a' as ZoneName],
    requiredZone: null,
    priorityWeight: 1,
    waitedSeconds: 0,
    penaltyFactor: 1,
    excludedMachines: null,
    ...overrides,
  };
}

/** Returns a planner with equal weights and no placement penalties. */
export const makePlanner = (): Planner => new Planner({ averageWait: 1, maximumWait: 1, idleShare: 1 });
