import type { Context } from '../context.js';
import type { MachineType, TypeName } from '../types.js';

const RETRY_MS = 700;
const REFRESH_MS = 60_000;

export type MachineTypes = ReadonlyMap<TypeName, MachineType>;

/** The machine types that the cloud rents; empty until it has told them. Only the leader needs the day's prices. */
export class Catalog {
  types: MachineTypes = new Map();

  constructor(
    private readonly ctx: Context,
    private readonly onTypes: (types: MachineTypes) => void,
  ) {}

  read(): void {
    const priority = this.types.size === 0 ? 0 : 3;
    this.ctx.cloud({ op: 'types' }, priority, (result) => {
      if (!result.ok || !result.value.types) {
        this.ctx.timers.set('catalog', this.ctx.after(RETRY_MS));
        return;
      }
      this.types = new Map(result.value.types.map((type) => [type.name, type]));
      this.onTypes(this.types);
      this.ctx.timers.set('catalog', this.ctx.after(REFRESH_MS));
    });
  }
}
