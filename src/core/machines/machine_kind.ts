import type { MachineType, ZoneName } from '../types.js';

/** What the cloud rents: machines of a type in a zone, spot or on demand. */
export interface MachineKind {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

export const kindKey = ({ type, zone, spot }: MachineKind): string => `${type.name}|${zone}|${spot}`;
