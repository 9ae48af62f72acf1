import type { MachineId, MonotonicTime } from '../core/types.js';

/** So many machines are told apart; with more, all are taken to have been renewed last. */
const MAX_MACHINES = 20_000;

/** When workers' leases were last renewed before it was known which machines there are. */
export class LeaseRenewals {
  private readonly byMachine = new Map<MachineId, MonotonicTime>();
  /** When a machine was renewed that found no room here. */
  private ofOthers: MonotonicTime | null = null;

  constructor(private readonly maxMachines = MAX_MACHINES) {}

  note(machine: MachineId, now: MonotonicTime): void {
    const hasRoom = this.byMachine.size < this.maxMachines || this.byMachine.has(machine);
    if (hasRoom) this.byMachine.set(machine, now);
    else this.ofOthers = now;
  }

  /** `otherwise`: when leases may last have been renewed by others. */
  lastOf(machine: MachineId, otherwise: MonotonicTime): MonotonicTime {
    return this.byMachine.get(machine) ?? this.ofOthers ?? otherwise;
  }
}
