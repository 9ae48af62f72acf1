/** Records why one machine gets no new tasks: it is draining, quarantined, or about to be reclaimed by the cloud. */
import type { MonotonicTime } from '../types.js';

/** Why a machine is drained. A draining machine gets no new tasks and is terminated once it is empty. */
export type DrainReason =
  | 'idle'
  | 'heartbeat overdue'
  /** The cloud lists the machine as failed, because it stopped without a termination request. */
  | 'stopped'
  | 'straggler'
  | 'boot timeout'
  | 'task failures'
  | 'spot interruption'
  | 'unresponsive';

/** Whether a machine is cordoned. A quarantine ends after a time. Only the drain of a straggler can end. */
export class Cordon {
  private reason: DrainReason | null = null;
  private quarantineEndsAt = 0 as MonotonicTime;
  private interruptionTime: MonotonicTime | null = null;
  private interruptionCounted = false;

  /** Why the machine is drained. Null if it is not. */
  get drainReason(): DrainReason | null {
    return this.reason;
  }

  /** Whether the machine is draining, and will be terminated once it is empty. */
  get isDraining(): boolean {
    return this.reason !== null;
  }

  /** When the cloud reclaims the machine. Null without an interruption notice. */
  get interruptionAt(): MonotonicTime | null {
    return this.interruptionTime;
  }

  /** Returns whether the machine gets no new tasks now: it is draining, quarantined, or has an interruption notice. */
  isCordoned(now: MonotonicTime): boolean {
    return this.isDraining || this.isUnusable(now);
  }

  /** Returns whether the only reason for which the machine gets no new tasks is that it is drained as a straggler. */
  isOnlyStraggler(now: MonotonicTime): boolean {
    return this.reason === 'straggler' && !this.isUnusable(now);
  }

  private isUnusable(now: MonotonicTime): boolean {
    return this.interruptionTime !== null || this.quarantineEndsAt > now;
  }

  /** Ends the drain of a straggler, which may get new tasks again. Returns whether it was drained as one. */
  undrainStraggler(): boolean {
    if (this.reason !== 'straggler') return false;
    this.reason = null;
    return true;
  }

  /** Whether tasks should leave the machine: it is draining or has an interruption notice. */
  get isLeaving(): boolean {
    return this.reason !== null || this.interruptionTime !== null;
  }

  /** Marks the machine's interruption as counted. Returns whether it had not been counted before. */
  countInterruption(): boolean {
    const isFirst = !this.interruptionCounted;
    this.interruptionCounted = true;
    return isFirst;
  }

  /** Drains the machine. If it is already draining, the first reason stays. */
  drain(reason: DrainReason): void {
    this.reason ??= reason;
  }

  /** Quarantines the machine until the given time. */
  quarantine(until: MonotonicTime): void {
    this.quarantineEndsAt = until;
  }

  /** Records an interruption notice. `at`: when the cloud reclaims the machine. Returns whether it is the first. */
  recordInterruptionNotice(at: MonotonicTime): boolean {
    const isFirst = this.interruptionTime === null;
    this.interruptionTime = at;
    return isFirst;
  }
}
