/** Holds why and for how long one machine gets no new work: drained, quarantined, or about to be taken by the cloud. */
import type { MonotonicTime } from '../types.js';

/** Why a machine gets no new work and is terminated once it is empty. */
export type DrainReason =
  | 'idle'
  | 'heartbeat overdue'
  /** The cloud lists it as failed: it has stopped by itself. */
  | 'stopped'
  | 'straggler'
  | 'boot timeout'
  | 'task failures'
  | 'spot interruption'
  | 'unresponsive'
  /** A start that was pushed without an answer may still arrive there. */
  | 'unconfirmed start';

/** Whether a machine is cordoned. A drain is for good; a quarantine passes. */
export class Cordon {
  private reason: DrainReason | null = null;
  private quarantineEndsAt = 0 as MonotonicTime;
  private interruptedAt: MonotonicTime | null = null;
  private interruptionCounted = false;

  /** Why the machine is drained; null: it is not. */
  get drainReason(): DrainReason | null {
    return this.reason;
  }

  /** Whether the machine is drained: it is terminated once it is empty. */
  get isDraining(): boolean {
    return this.reason !== null;
  }

  /** When the cloud takes the machine away, if it has given notice; null: it has not. */
  get interruptionAt(): MonotonicTime | null {
    return this.interruptedAt;
  }

  /** Whether the machine gets no new work now. */
  isCordoned(now: MonotonicTime): boolean {
    return this.reason !== null || this.interruptedAt !== null || this.quarantineEndsAt > now;
  }

  /** Whether what is on the machine should leave it. */
  get isLeaving(): boolean {
    return this.reason !== null || this.interruptedAt !== null;
  }

  /** Counts the machine as lost to an interruption. Returns whether it was counted for the first time. */
  countInterruption(): boolean {
    const isFirst = !this.interruptionCounted;
    this.interruptionCounted = true;
    return isFirst;
  }

  /** Drains the machine; a reason given before stays. */
  drain(reason: DrainReason): void {
    this.reason ??= reason;
  }

  /** Nothing new until then. */
  quarantine(until: MonotonicTime): void {
    this.quarantineEndsAt = until;
  }

  /** The cloud gives notice that it takes the machine at that time. Returns whether it is the first notice. */
  recordInterruptionNotice(at: MonotonicTime): boolean {
    const isFirst = this.interruptedAt === null;
    this.interruptedAt = at;
    return isFirst;
  }
}
