/** Tracks whether this controller is the leader, and until when no other controller can be. */
import type { MonotonicTime } from './types.js';

/** Validity of this controller's leadership. Set by the election and the controller, and read by senders of outputs. */
export class LeadershipValidity {
  /** Whether this controller acts as the leader. */
  isLeader = false;
  /**
   * While this controller is the leader, the time until which no other controller can be. It must be checked when an
   * output is sent, not when it is created (leader_lease.ts).
   */
  validUntil = 0 as MonotonicTime;

  /** The expiry of outputs that only the leader may send. */
  get expiry(): { readonly expiresAt: MonotonicTime } {
    return { expiresAt: this.validUntil };
  }
}
