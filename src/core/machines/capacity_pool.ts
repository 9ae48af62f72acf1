/** Defines capacity pools, from which the cloud provisions interchangeable machines. */
import type { MachineType, ZoneName } from '../types.js';

/** Machines of one type in one zone, either spot or on demand. */
export interface CapacityPool {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

/** Returns a map key. It is equal for pools of the same type, zone and price model (spot or on demand). */
export const capacityPoolKey = ({ type, zone, spot }: CapacityPool): string => `${type.name}|${zone}|${spot}`;
