/** Tracks when this leader last renewed workers' leases before it had read the machines from the state store. */
import type { MachineId, MonotonicTime } from '../core/types.js';

/**
 * Maximum number of machines tracked individually. The other machines share the time of the latest renewal among them.
 */
const MAX_MACHINES = 20_000;

/** Uses bounded memory. For a machine that is not tracked, it assumes the latest possible renewal. */
export class LeaseRenewals {
  private readonly renewedAtByMachine = new Map<MachineId, MonotonicTime>();
  /** The latest renewal for a machine that is not tracked individually. Null if there was none. */
  private untrackedRenewedAt: MonotonicTime | null = null;

  constructor(private readonly maxMachines = MAX_MACHINES) {}

  /** Records that the lease of the machine's worker is renewed now. */
  record(machine: MachineId, now: MonotonicTime): void {
    const isTracked = this.renewedAtByMachine.size < this.maxMachines || this.renewedAtByMachine.has(machine);
    if (isTracked) this.renewedAtByMachine.set(machine, now);
    else this.untrackedRenewedAt = now;
  }

  /**
   * Returns the latest time at which the lease of the machine's worker may have been renewed. `lastRenewalByOthers` is
   * the latest time at which other controllers may have renewed it.
   */
  lastRenewalAt(machine: MachineId, lastRenewalByOthers: MonotonicTime): MonotonicTime {
    return this.renewedAtByMachine.get(machine) ?? this.untrackedRenewedAt ?? lastRenewalByOthers;
  }
}
