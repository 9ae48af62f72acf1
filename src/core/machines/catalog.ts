import type { Context } from '../context.js';
import type { MachineType, Steady, TypeName } from '../types.js';

const RETRY_MS = 700;
/** Only the leader needs the day's prices: all nodes at once would take what the cloud allows from it. */
const LEADER_REFRESH_MS = 60_000;
const FOLLOWER_REFRESH_MS = 300_000;

export type MachineTypes = ReadonlyMap<TypeName, MachineType>;

/** The machine types that the cloud rents; empty until it has told them. */
export class Catalog {
  types: MachineTypes = new Map();
  private readAt: Steady;

  constructor(
    private readonly ctx: Context,
    private readonly onTypes: (types: MachineTypes) => void,
  ) {
    this.readAt = ctx.now.steady;
  }

  /** Reads the day's prices for a new leader, unless they are known already. */
  refresh(): void {
    if (this.ctx.now.steady - this.readAt > LEADER_REFRESH_MS) this.read();
  }

  read(): void {
    const priority = this.types.size === 0 ? 0 : 3;
    this.ctx.cloud({ op: 'types' }, priority, (result) => {
      if (!result.ok || !result.value.types) {
        this.ctx.timers.set('catalog', this.ctx.after(RETRY_MS));
        return;
      }
      this.readAt = this.ctx.now.steady;
      this.types = new Map(result.value.types.map((type) => [type.name, type]));
      this.onTypes(this.types);
      this.ctx.timers.set('catalog', this.ctx.after(this.ctx.isLeading ? LEADER_REFRESH_MS : FOLLOWER_REFRESH_MS));
    });
  }
}
