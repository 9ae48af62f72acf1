import type { MachineId, MonotonicTime } from '../core/types.js';

/** So many machines are told apart; with more, all are taken to have been renewed last. */
const MAX_MACHINES = 20_000;

/** When workers' leases were last renewed before it was known which machines there are. */
export class LeaseRenewals {
  private readonly renewedAtByMachine = new Map<MachineId, MonotonicTime>();
  /** When a machine was renewed that found no room here. */
  private untrackedRenewedAt: MonotonicTime | null = null;

  constructor(private readonly maxMachines = MAX_MACHINES) {}

  record(machine: MachineId, now: MonotonicTime): void {
    const hasRoom = this.renewedAtByMachine.size < this.maxMachines || this.renewedAtByMachine.has(machine);
    if (hasRoom) this.renewedAtByMachine.set(machine, now);
    else this.untrackedRenewedAt = now;
  }

  /** `otherwise`: when leases may last have been renewed by others. */
  lastRenewalAt(machine: MachineId, otherwise: MonotonicTime): MonotonicTime {
    return this.renewedAtByMachine.get(machine) ?? this.untrackedRenewedAt ?? otherwise;
  }
}
