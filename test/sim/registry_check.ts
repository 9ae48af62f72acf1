/** Checks the machine registry in the state store. */
import * as records from '../../src/core/records.js';
import type { MachineId } from '../../src/core/types.js';
import type { World } from './world.js';

/**
 * Checks that a machine, once in the registry, stays there while it is provisioned, also when its page is rewritten.
 */
export class RegistryCheck {
  /** Keys whose values a scenario has made unreadable. */
  readonly corruptedKeys = new Set<string>();
  private readonly registeredMachines = new Set<string>();

  constructor(private readonly world: World) {}

  /** Called after a transaction with the keys that it changed. */
  onChanged(keys: readonly string[]): void {
    if (keys.some((key) => key.startsWith(records.MACHINE_PREFIX))) this.check();
  }

  private check(): void {
    const storedMachines = new Set<string>();
    for (const key of this.world.stateStore.keys(records.MACHINE_PREFIX)) {
      // The machines of a page that a scenario made unreadable are unknown, so nothing can be checked.
      if (this.corruptedKeys.has(key)) return;
      for (const machine of records.decodePage(this.world.stateStore.item(key)?.value)?.machines ?? [])
        storedMachines.add(machine.id);
    }
    for (const id of this.registeredMachines) {
      if (!storedMachines.has(id) && this.world.cloud.machines.has(id as MachineId))
        this.world.invariants.onUnregistered(id);
      if (!storedMachines.has(id)) this.registeredMachines.delete(id);
    }
    for (const id of storedMachines) this.registeredMachines.add(id);
  }
}
