/** Tracks which tasks of a job this leader has located, and how their attempts of previous terms ended. */
import type { Attempt, MachineId, ZoneName } from '../types.js';

/** Evidence that a task is no longer on a machine, or never was. */
export type ReleaseReason =
  /** The start was planned but never sent. */
  | 'startNotSent'
  /** The heartbeat response with the start was lost. The evidence is a newer heartbeat that does not show the task. */
  | 'startDropped'
  /** The start was refused because an earlier attempt is still on the machine. */
  | 'earlierAttemptFound'
  /** The worker reports that the task has exited. */
  | 'exited'
  /** The task was on the machine, and a newer status does not show it. */
  | 'missingFromStatus'
  /** The worker has begun a new agent epoch. */
  | 'agentEpochEnded'
  /**
   * The worker's lease has certainly expired, because no controller can have renewed it for longer than its duration.
   */
  | 'agentLeaseExpired'
  /** The cloud has deleted the machine or reports it as stopped. */
  | 'machineGone';

/** The end of one attempt, and the evidence for it. */
export interface TaskRelease {
  readonly machine: MachineId;
  readonly attempt: Attempt;
  readonly reason: ReleaseReason;
}

/** The located tasks of one job, by task index. */
export class LocatedTasks {
  private readonly located = new Set<number>();
  /** The latest release of each task. Holds only attempts of previous terms, until the task is started again. */
  private readonly releases = new Map<number, TaskRelease>();

  private zonesOfUnlocated: ReadonlySet<ZoneName> | null = new Set();

  /**
   * Zones in which tasks that have not been located may be on unreconciled machines: none if it is empty, any if it is
   * null.
   */
  get unlocatedTaskZones(): ReadonlySet<ZoneName> | null {
    return this.zonesOfUnlocated;
  }

  /** Sets the zones in which tasks that have not been located may be. */
  setUnlocatedTaskZones(zones: ReadonlySet<ZoneName> | null): void {
    this.zonesOfUnlocated = zones;
  }

  /** Whether tasks that have not been located may be on machines. Only tasks that have been located may be started. */
  get mayHaveUnlocatedTasks(): boolean {
    return this.zonesOfUnlocated === null || this.zonesOfUnlocated.size > 0;
  }

  /** Returns whether tasks that have not been located may be on machines of the zone. */
  mayHaveUnlocatedTaskIn(zone: ZoneName): boolean {
    return this.zonesOfUnlocated === null || this.zonesOfUnlocated.has(zone);
  }

  /** Number of tasks that have been located. */
  get count(): number {
    return this.located.size;
  }

  /** Returns the indices of the located tasks. */
  indices(): Iterable<number> {
    return this.located;
  }

  has(index: number): boolean {
    return this.located.has(index);
  }

  /**
   * Records that this leader has found the task on a machine. From then on, the task cannot be on another machine
   * without this leader's knowledge.
   */
  add(index: number): void {
    this.located.add(index);
  }

  /** Records that an attempt of a previous term has ended. Only the latest attempt of a task is retained. */
  recordRelease(index: number, release: TaskRelease): void {
    const known = this.releases.get(index);
    if (known === undefined || known.attempt < release.attempt) this.releases.set(index, release);
  }

  /** Removes and returns the release of the task's last attempt of a previous term. Returns null if there is none. */
  takeRelease(index: number): TaskRelease | null {
    const release = this.releases.get(index) ?? null;
    this.releases.delete(index);
    return release;
  }
}
