/** The machines of a leader: all that may exist, and those proven gone in its term. */
import type { BootTimeEstimator } from '../machines/boot_time_estimator.js';
import type { Machine } from '../machines/machine.js';
import type { StepContext } from '../step_context.js';
import type { MachineId } from '../types.js';

/** Machines by id. */
export class MachineTable {
  private readonly byId = new Map<MachineId, Machine>();
  private readonly removedIds = new Set<MachineId>();

  constructor(
    private readonly context: StepContext,
    private readonly bootTimeEstimator: BootTimeEstimator,
  ) {}

  /** How many machines are known. */
  get size(): number {
    return this.byId.size;
  }

  /** Machines in the order in which they became known. */
  values(): IterableIterator<Machine> {
    return this.byId.values();
  }

  /** Returns undefined for a machine that isn't known, or is no more. */
  get(id: MachineId): Machine | undefined {
    return this.byId.get(id);
  }

  /** Returns whether the machine is known, and not proven gone. */
  has(id: MachineId): boolean {
    return this.byId.has(id);
  }

  /** Adds a machine, in place of one that had its id. */
  add(machine: Machine): void {
    this.byId.set(machine.id, machine);
  }

  /** The machine is proven gone. */
  remove({ id }: Machine): void {
    this.byId.delete(id);
    this.removedIds.add(id);
  }

  /** Returns whether the machine was proven gone in this term: a late heartbeat of its brings nothing back. */
  wasRemoved(id: MachineId): boolean {
    return this.removedIds.has(id);
  }

  /** Returns whether the machine is still the one that is known by its id. */
  isCurrent(machine: Machine): boolean {
    return this.byId.get(machine.id) === machine;
  }

  /** Returns whether a machine on its way has not come up in the time that boots take. */
  isBootOverdue(machine: Machine): boolean {
    const now = this.context.now.monotonic;
    const { phase, type, zone } = machine;
    return phase === 'booting' && this.bootTimeEstimator.isOverdue(type, zone, machine.lifecycle.ageSeconds(now), now);
  }

  /** Returns whether the machine is on its way, and may be counted on. */
  isExpected(machine: Machine): boolean {
    return machine.isProvisioning() && !this.isBootOverdue(machine);
  }
}
