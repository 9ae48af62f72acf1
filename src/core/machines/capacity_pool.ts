/** Names what the cloud offers: pools of machines that are alike. */
import type { MachineType, ZoneName } from '../types.js';

/** Machines of a type in a zone, spot or on demand. */
export interface CapacityPool {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

/** Returns a key for maps: pools with the same type, zone and kind of price have the same. */
export const capacityPoolKey = ({ type, zone, spot }: CapacityPool): string => `${type.name}|${zone}|${spot}`;
