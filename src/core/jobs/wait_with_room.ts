/** Tracks for how long a job has been waiting although there was room for it. */
import type { MonotonicTime } from '../types.js';

/**
 * Time without room after which a wait with room counts as over, in milliseconds. Room that other work takes for a
 * shorter time is seen as free throughout by observers that do not know of starts on their way to workers.
 */
const MAX_INTERRUPTION_MS = 10_000;

/** The time for which a job has been waiting with room. `MAX_INTERRUPTION_MS` without room end it. */
export class WaitWithRoom {
  private begunAt: MonotonicTime | null = null;
  private noRoomSince: MonotonicTime | null = null;

  /** Since when the job has been waiting with room. Null if it is not waiting or there is no room for it. */
  get since(): MonotonicTime | null {
    return this.begunAt;
  }

  /** Records that the job is waiting and that there is room for it. */
  recordRoom(now: MonotonicTime): void {
    this.begunAt ??= now;
    this.noRoomSince = null;
  }

  /** Records that the job is waiting and that there is no room for it. */
  recordNoRoom(now: MonotonicTime): void {
    this.noRoomSince ??= now;
    if (now - this.noRoomSince >= MAX_INTERRUPTION_MS) this.begunAt = null;
  }

  /**
   * Ends the wait, because a task of the job has begun to run. A placement alone does not end it, nor an image pull: the
   * task may be preempted before it runs.
   */
  end(): void {
    this.begunAt = null;
    this.noRoomSince = null;
  }
}
