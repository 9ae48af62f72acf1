/** Keeps the state of commands that are pushed to one machine: whether one is in flight, and which starts are unconfirmed. */

import type { StartKey } from '../jobs/task_keys.js';
import type { MonotonicTime } from '../types.js';

/** Commands pushed to a machine: one at a time, and none for a while after one that was not answered. */
export class CommandChannel {
  private inFlight = false;
  private pausedUntil = 0 as MonotonicTime;
  private readonly unconfirmed = new Set<StartKey>();

  /** Whether a pushed command has yet to be answered. */
  get isBusy(): boolean {
    return this.inFlight;
  }

  /** Whether a command may be pushed now. */
  isReady(now: MonotonicTime): boolean {
    return !this.inFlight && this.pausedUntil <= now;
  }

  /** A command is pushed, with these starts: they may arrive as long as the agent epoch lasts. */
  begin(starts: Iterable<StartKey> = []): void {
    this.inFlight = true;
    for (const start of starts) this.unconfirmed.add(start);
  }

  /** The command was answered, or surely won't be any more. */
  end(): void {
    this.inFlight = false;
  }

  /** The command with these starts was answered: they have arrived or never will. */
  confirmStarts(starts: Iterable<StartKey>): void {
    for (const start of starts) this.unconfirmed.delete(start);
  }

  /** The command was not answered: no other before `until`. */
  pause(until: MonotonicTime): void {
    this.pausedUntil = until;
  }

  /** Whether the start was pushed and never answered, so that it may still arrive. */
  isUnconfirmed(start: StartKey): boolean {
    return this.unconfirmed.has(start);
  }

  /** Whether any start was pushed and never answered. */
  get hasUnconfirmedStarts(): boolean {
    return this.unconfirmed.size > 0;
  }

  /** The agent epoch is over: no start of it can arrive any more. */
  clearUnconfirmedStarts(): void {
    this.unconfirmed.clear();
  }
}
