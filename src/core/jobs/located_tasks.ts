/** Which tasks of a job begun in an earlier term this leader has located, and what ended their earlier attempts. */
import type { Attempt, MachineId } from '../types.js';

/** Why a task is certain not to be on a machine any more, or never to have been. */
export type ReleaseReason =
  /** Its start was planned and never sent. */
  | 'startNotSent'
  /** The response with its start was dropped: a newer heartbeat doesn't show it. */
  | 'startDropped'
  /** Its start was refused, as an earlier attempt is still there. */
  | 'earlierAttemptFound'
  /** The worker says that it has exited. */
  | 'exited'
  /** It was there, and a newer status doesn't show it. */
  | 'missingFromStatus'
  /** The worker has begun a new agent epoch. */
  | 'agentEpochEnded'
  /** Nobody can have renewed the worker's lease for longer than it lasts. */
  | 'agentLeaseExpired'
  /** The cloud has deleted the machine, or says that it has stopped. */
  | 'machineGone';

/** The end of one attempt, and what it was concluded from. */
export interface TaskRelease {
  readonly machine: MachineId;
  readonly attempt: Attempt;
  readonly reason: ReleaseReason;
}

/** Tasks by their indices. */
export class LocatedTasks {
  private readonly located = new Set<number>();
  /** Only of attempts of earlier terms, and only until the task is started again. */
  private readonly releases = new Map<number, TaskRelease>();

  /** How many tasks have been located. */
  get count(): number {
    return this.located.size;
  }

  /** The indices of the located tasks. */
  indices(): Iterable<number> {
    return this.located;
  }

  /** Returns whether the task has been located. */
  has(index: number): boolean {
    return this.located.has(index);
  }

  /** This leader has found the task on a machine: wherever it is now, it is on no other. */
  add(index: number): void {
    this.located.add(index);
  }

  /** An attempt of an earlier term has ended. The latest attempt counts. */
  recordRelease(index: number, release: TaskRelease): void {
    const known = this.releases.get(index);
    if (known === undefined || known.attempt < release.attempt) this.releases.set(index, release);
  }

  /** Returns how the task's last attempt of an earlier term ended, once; null where that isn't known. */
  takeRelease(index: number): TaskRelease | null {
    const release = this.releases.get(index) ?? null;
    this.releases.delete(index);
    return release;
  }
}
