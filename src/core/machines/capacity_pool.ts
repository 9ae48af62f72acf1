import type { MachineType, ZoneName } from '../types.js';

/** What the cloud rents: machines of a type in a zone, spot or on demand. */
export interface CapacityPool {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

export const capacityPoolKey = ({ type, zone, spot }: CapacityPool): string => `${type.name}|${zone}|${spot}`;
