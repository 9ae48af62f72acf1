/** Tracks the pushes of commands to one machine: whether one is in flight, and which starts are unconfirmed. */

import type { StartKey } from '../jobs/task_keys.js';
import type { MonotonicTime } from '../types.js';

/** State of pushes to a machine. One push is in flight at a time, and pushes pause after one without a response. */
export class CommandChannel {
  private inFlight = false;
  private pausedUntil = 0 as MonotonicTime;
  private readonly unconfirmed = new Set<StartKey>();

  /** Whether a push is awaiting its response. */
  get isBusy(): boolean {
    return this.inFlight;
  }

  /** Returns whether commands may be pushed now. */
  isReady(now: MonotonicTime): boolean {
    return !this.inFlight && this.pausedUntil <= now;
  }

  /** Records a push with these starts. Until a response confirms them, they may arrive while the agent epoch lasts. */
  begin(starts: Iterable<StartKey> = []): void {
    this.inFlight = true;
    for (const start of starts) this.unconfirmed.add(start);
  }

  /** Ends the push in flight, after its response or once no response can arrive any more. */
  end(): void {
    this.inFlight = false;
  }

  /** Records a response to the push with these starts. They have arrived, or never will. */
  confirmStarts(starts: Iterable<StartKey>): void {
    for (const start of starts) this.unconfirmed.delete(start);
  }

  /** Pauses pushes until the given time, after one without a response. */
  pause(until: MonotonicTime): void {
    this.pausedUntil = until;
  }

  /** Returns whether the start was pushed and no response has confirmed it, so that it may still arrive. */
  isUnconfirmed(start: StartKey): boolean {
    return this.unconfirmed.has(start);
  }

  /** Whether any pushed start has not been confirmed by a response. */
  get hasUnconfirmedStarts(): boolean {
    return this.unconfirmed.size > 0;
  }

  /** Forgets all unconfirmed starts, because none can arrive after their agent epoch has ended. */
  clearUnconfirmedStarts(): void {
    this.unconfirmed.clear();
  }
}
