/** The machine types of simulated clouds. */
import type { MachineType, MachineTypeName } from '../../src/core/types.js';

/** Eight cores without GPUs. Zones are left to the deployment, so `zones` is empty. */
export const C8: MachineType = {
  name: 'c8' as MachineTypeName,
  cpus: 8,
  gpus: 0,
  memoryGb: 32,
  imageCacheGb: 50,
  imagePullGbPerSecond: 0.5,
  pricePerHour: 0.4,
  spotPricePerHour: 0.1,
  bootSeconds: 20,
  zones: [],
};

/** 24 cores and four GPUs. */
export const G4: MachineType = {
  name: 'g4' as MachineTypeName,
  cpus: 24,
  gpus: 4,
  memoryGb: 144,
  imageCacheGb: 60,
  imagePullGbPerSecond: 0.5,
  pricePerHour: 10,
  spotPricePerHour: 3,
  bootSeconds: 25,
  zones: [],
};
