import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import type { MachineType, MachineTypeName, MonotonicTime } from '../types.js';

const RETRY_MS = 700;
/** Only the leader needs the day's prices: all nodes at once would take what the cloud allows from it. */
const LEADER_REFRESH_MS = 60_000;
const FOLLOWER_REFRESH_MS = 300_000;

export type MachineTypes = ReadonlyMap<MachineTypeName, MachineType>;

/** The machine types that the cloud rents; empty until it has told them. */
export class MachineTypeCatalog {
  types: MachineTypes = new Map();
  private readAt: MonotonicTime;
  private readonly refreshTimer: Timer;

  constructor(
    private readonly context: StepContext,
    private readonly onChange: (types: MachineTypes) => void,
  ) {
    this.readAt = context.now.monotonic;
    this.refreshTimer = context.timers.create(() => this.read());
  }

  /** Reads the day's prices for a new leader, unless they are known already. */
  refresh(): void {
    if (this.context.now.monotonic - this.readAt > LEADER_REFRESH_MS) this.read();
  }

  read(): void {
    const priority = this.types.size === 0 ? 0 : 3;
    this.context.cloud.call({ op: 'types' }, priority, (result) => {
      if (!result.ok || !result.value.machineTypes) {
        this.refreshTimer.set(this.context.after(RETRY_MS));
        return;
      }
      this.readAt = this.context.now.monotonic;
      this.types = new Map(result.value.machineTypes.map((type) => [type.name, type]));
      this.onChange(this.types);
      this.refreshTimer.set(
        this.context.after(this.context.leadership.isLeader ? LEADER_REFRESH_MS : FOLLOWER_REFRESH_MS),
      );
    });
  }
}
