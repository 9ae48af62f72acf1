import * as records from '../../src/core/records.js';
import type { MachineId } from '../../src/core/types.js';
import type { World } from './world.js';

/** Checks that a machine once on record stays there for as long as it is provisioned, whatever is rewritten on the way. */
export class RegistryCheck {
  /** Keys whose values were made unreadable on purpose. */
  readonly corruptedKeys = new Set<string>();
  private readonly registeredMachines = new Set<string>();

  constructor(private readonly world: World) {}

  /** Called after a transaction that changed these keys. */
  onChanged(keys: readonly string[]): void {
    if (keys.some((key) => key.startsWith(records.MACHINE_PREFIX))) this.check();
  }

  private check(): void {
    const now = new Set<string>();
    for (const key of this.world.stateStore.keys(records.MACHINE_PREFIX)) {
      // What a page holds that was made unreadable on purpose isn't known here either.
      if (this.corruptedKeys.has(key)) return;
      for (const machine of records.decodePage(this.world.stateStore.item(key)?.value)?.machines ?? [])
        now.add(machine.id);
    }
    for (const id of this.registeredMachines) {
      if (!now.has(id) && this.world.cloud.machines.has(id as MachineId)) this.world.invariants.onUnregistered(id);
      if (!now.has(id)) this.registeredMachines.delete(id);
    }
    for (const id of now) this.registeredMachines.add(id);
  }
}
