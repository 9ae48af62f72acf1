/** Reads the machine types that the cloud offers, with their current prices. */
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import { addMilliseconds, type MachineType, type MachineTypeName, type MonotonicTime } from '../types.js';

/** Delay of the next read after a failed one. */
const RETRY_MS = 700;
/**
 * Refresh intervals of the leader and of followers. Only the leader needs current prices. Frequent reads by all
 * controllers would use up the cloud's request limit at the leader's expense.
 */
const LEADER_REFRESH_MS = 60_000;
const FOLLOWER_REFRESH_MS = 300_000;

/** Machine types by name. */
export type MachineTypes = ReadonlyMap<MachineTypeName, MachineType>;

/** The machine types that the cloud offers. */
export class MachineTypeCatalog {
  private knownTypes: MachineTypes = new Map();
  private readAt: MonotonicTime;
  private readonly refreshTimer: Timer;

  /** `onChange` is called with the types after each successful read. */
  constructor(
    private readonly context: StepContext,
    private readonly onChange: (types: MachineTypes) => void,
  ) {
    this.readAt = context.now.monotonic;
    this.refreshTimer = context.timers.create(() => this.read());
  }

  /** The machine types by name. Empty until the first successful read. */
  get types(): MachineTypes {
    return this.knownTypes;
  }

  /** Refreshes the types for a new leader at its interval, which counts from the last read: now, if that is overdue. */
  refreshForLeader(): void {
    const dueAt = addMilliseconds(this.readAt, LEADER_REFRESH_MS);
    if (dueAt < this.context.now.monotonic) this.read();
    else if (this.knownTypes.size > 0) this.refreshTimer.set(dueAt);
  }

  /** Reads the types now, and schedules the next read. */
  read(): void {
    const priority = this.knownTypes.size === 0 ? 0 : 3;
    this.context.cloud.call({ op: 'types' }, priority, (result) => {
      if (!result.ok) {
        this.refreshTimer.set(this.context.after(RETRY_MS));
        return;
      }
      this.readAt = this.context.now.monotonic;
      this.knownTypes = new Map(result.value.machineTypes.map((type) => [type.name, type]));
      this.onChange(this.knownTypes);
      this.refreshTimer.set(
        this.context.after(this.context.leadership.isLeader ? LEADER_REFRESH_MS : FOLLOWER_REFRESH_MS),
      );
    });
  }
}
