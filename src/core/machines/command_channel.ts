/**
 * Tracks the pushes of commands to one machine: whether one is in flight, which starts may still arrive or arrive again,
 * and how often the machine's fencing token was raised to keep starts from arriving.
 */

import { type StartKey, startKey } from '../jobs/task_keys.js';
import type { Attempt, FencingToken, JobId, MonotonicTime } from '../types.js';

/** A start that was pushed with a fencing token. The worker refuses it once it has seen a higher token. */
export interface PushedStart {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  readonly fencingToken: FencingToken;
}

/** State of pushes to a machine. One push is in flight at a time, and pushes pause after one without a response. */
export class CommandChannel {
  private inFlight = false;
  private pausedUntil = 0 as MonotonicTime;
  /** The pushed starts that the worker may not refuse, whether or not they have been confirmed. */
  private readonly pushed = new Map<StartKey, PushedStart>();
  private readonly unconfirmed = new Set<StartKey>();
  private raises = 0n;

  /** Whether a push is awaiting its response. */
  get isBusy(): boolean {
    return this.inFlight;
  }

  /** Returns whether commands may be pushed now. */
  isReady(now: MonotonicTime): boolean {
    return !this.inFlight && this.pausedUntil <= now;
  }

  /**
   * Records a push with these starts. Until a response confirms them, they may arrive while the agent epoch lasts and
   * the worker has seen no higher fencing token.
   */
  begin(starts: Iterable<PushedStart> = []): void {
    this.inFlight = true;
    for (const start of starts) {
      this.pushed.set(keyOf(start), start);
      this.unconfirmed.add(keyOf(start));
    }
  }

  /** Ends the push in flight, after its response or once no response can arrive any more. */
  end(): void {
    this.inFlight = false;
  }

  /**
   * Records a response to the push with these starts. They have arrived, or never will. A push that was executed may
   * arrive again.
   */
  confirmStarts(starts: Iterable<PushedStart>): void {
    for (const start of starts) this.unconfirmed.delete(keyOf(start));
  }

  /**
   * Records a status with this fencing token. The worker refuses starts with lower tokens, so those that the status
   * does not show never arrive, and none arrives again.
   */
  confirmStartsBelow(token: FencingToken): void {
    for (const [key, { fencingToken }] of this.pushed) {
      if (fencingToken >= token) continue;
      this.pushed.delete(key);
      this.unconfirmed.delete(key);
    }
  }

  /** Pauses pushes until the given time, after one without a response. */
  pause(until: MonotonicTime): void {
    this.pausedUntil = until;
  }

  /** Returns whether the start was pushed and nothing has confirmed it, so that it may still arrive. */
  isUnconfirmed(start: StartKey): boolean {
    return this.unconfirmed.has(start);
  }

  /** Returns whether a worker that has seen no token above `token` may execute the pushed start, or execute it again. */
  mayArrive(start: StartKey, token: FencingToken): boolean {
    const pushed = this.pushed.get(start);
    return pushed !== undefined && pushed.fencingToken >= token;
  }

  /** The pushed starts that may arrive, or arrive again. */
  get pushedStarts(): Iterable<PushedStart> {
    return this.pushed.values();
  }

  /** Forgets all pushed starts, because none can arrive after their agent epoch has ended. */
  clearPushedStarts(): void {
    this.pushed.clear();
    this.unconfirmed.clear();
  }

  /** How often the machine's fencing token was raised in this term. */
  get tokenRaises(): bigint {
    return this.raises;
  }

  /** Records that the machine's fencing token is raised by one, from the next message to the machine on. */
  recordTokenRaise(): void {
    this.raises += 1n;
  }
}

const keyOf = ({ job, index, attempt }: PushedStart): StartKey => startKey(job, index, attempt);
