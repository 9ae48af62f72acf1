/** When workers' leases were last renewed, before the machines were read from the state store. */
import type { MachineId, MonotonicTime } from '../core/types.js';

/** So many machines are told apart; with more, all are taken to have been renewed last. */
const MAX_MACHINES = 20_000;

/** Bounded: what it can't tell of a machine any more, it takes to be as late as possible. */
export class LeaseRenewals {
  private readonly renewedAtByMachine = new Map<MachineId, MonotonicTime>();
  /** When a lease was last renewed of a machine that is not tracked, as there are too many. */
  private untrackedRenewedAt: MonotonicTime | null = null;

  constructor(private readonly maxMachines = MAX_MACHINES) {}

  /** The machine's lease is renewed now. */
  record(machine: MachineId, now: MonotonicTime): void {
    const isTracked = this.renewedAtByMachine.size < this.maxMachines || this.renewedAtByMachine.has(machine);
    if (isTracked) this.renewedAtByMachine.set(machine, now);
    else this.untrackedRenewedAt = now;
  }

  /** Returns when the machine's lease may last have been renewed. `otherwise`: when others may last have renewed it. */
  lastRenewalAt(machine: MachineId, otherwise: MonotonicTime): MonotonicTime {
    return this.renewedAtByMachine.get(machine) ?? this.untrackedRenewedAt ?? otherwise;
  }
}
