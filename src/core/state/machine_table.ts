/**
 * The machines of a leader: those that may exist, and those removed in its term because they are proven to be
 * terminated.
 */
import type { BootTimeEstimator } from '../machines/boot_time_estimator.js';
import type { Machine } from '../machines/machine.js';
import type { StepContext } from '../step_context.js';
import type { MachineId } from '../types.js';

export class MachineTable {
  private readonly byId = new Map<MachineId, Machine>();
  private readonly removedIds = new Set<MachineId>();

  constructor(
    private readonly context: StepContext,
    private readonly bootTimeEstimator: BootTimeEstimator,
  ) {}

  /** Number of known machines. */
  get size(): number {
    return this.byId.size;
  }

  /** Returns the known machines in the order in which they became known. */
  values(): IterableIterator<Machine> {
    return this.byId.values();
  }

  /** Returns undefined for a machine that is unknown or has been removed. */
  get(id: MachineId): Machine | undefined {
    return this.byId.get(id);
  }

  /** Returns whether the machine is known and has not been removed. */
  has(id: MachineId): boolean {
    return this.byId.has(id);
  }

  /** Adds a machine, replacing any machine with the same id. */
  add(machine: Machine): void {
    this.byId.set(machine.id, machine);
  }

  /** Removes a machine that is proven to be terminated. */
  remove({ id }: Machine): void {
    this.byId.delete(id);
    this.removedIds.add(id);
  }

  /** Returns whether the machine was removed in this term. A late heartbeat from it must not add it again. */
  wasRemoved(id: MachineId): boolean {
    return this.removedIds.has(id);
  }

  /** Returns whether the table still holds this object, rather than none or a replacement with the same id. */
  isCurrent(machine: Machine): boolean {
    return this.byId.get(machine.id) === machine;
  }

  /** Returns whether the machine has been booting for much longer than expected. */
  isBootOverdue(machine: Machine): boolean {
    const now = this.context.now.monotonic;
    const { phase, type, zone } = machine;
    return phase === 'booting' && this.bootTimeEstimator.isOverdue(type, zone, machine.lifecycle.ageSeconds(now), now);
  }

  /** Returns whether the machine is being provisioned and can be expected to come up, as its boot is not overdue. */
  isExpected(machine: Machine): boolean {
    return machine.isProvisioning() && !this.isBootOverdue(machine);
  }
}
