/** Builds machine types and machines for unit tests. */
import { Machine } from '../../src/core/machines/machine.js';
import type { MachineId, MachineType, MachineTypeName, MonotonicTime, ZoneName } from '../../src/core/types.js';

/** Zone of all machines and machine types that are built here. */
export const zoneA = 'a' as ZoneName;
/** A second zone, in which no machine type that is built here is offered. */
export const zoneB = 'b' as ZoneName;

/** Returns a machine type of zone a with the given name, cores and GPUs. */
export const makeMachineType = (name: string, cpus: number, gpus: number): MachineType => ({
  name: name as MachineTypeName,
  cpus,
  gpus,
  memoryGb: 64,
  imageCacheGb: 50,
  imagePullGbPerSecond: 1,
  pricePerHour: 1,
  spotPricePerHour: 0.5,
  bootSeconds: 30,
  zones: ['a' as ZoneName],
});

/** Returns a reconciled on-demand machine with four GPUs in zone a. */
export const makeMachine = (
  id: string,
  address: string,
  phase: 'booting' | 'up',
  now: MonotonicTime,
  provisionedByThisLeader: boolean,
): Machine =>
  new Machine({
    id: id as MachineId,
    type: makeMachineType('g4', 24, 4),
    zone: zoneA,
    spot: false,
    address,
    reconciled: true,
    phase,
    provisionedByThisLeader,
    now,
  });
