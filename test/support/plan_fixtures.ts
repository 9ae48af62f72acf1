import type { PlanJob, PlanMachine } from '../../src/core/scheduler/plan_types.js';
import { Planner } from '../../src/core/scheduler/planner.js';
import type { ImageName, MachineType, ZoneName } from '../../src/core/types.js';

/* Jobs, machines and planners as the planner's unit tests need them. */

/** A machine, of whose cores `freeCpus` are free now and all after 20 s; `fetchS`: seconds to pull any image. */
export function makePlanMachine(
  index: number,
  zone: string,
  type: MachineType,
  freeCpus: number,
  fetchS = 0,
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
    imagePullSeconds: () => fetchS,
    largestCachedImageShare: 0,
  };
}

/** A small job in zone a, otherwise as `over` says. */
export function makePlanJob(index: number, over: Partial<PlanJob>): PlanJob {
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
    boundZone: null,
    priorityWeight: 1,
    waitedSeconds: 0,
    penaltyFactor: 1,
    excludedMachines: null,
    ...over,
  };
}

/** A planner with equal weights and no penalties. */
export const makePlanner = (): Planner => new Planner({ averageWait: 1, maximumWait: 1, idleShare: 1 });
