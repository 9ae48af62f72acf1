/** Whether this controller leads, and until when no other can: what outputs that only the leader may make depend on. */
import type { MonotonicTime } from './types.js';

/** Written by the election and the controller, read by whatever sends. */
export class LeadershipValidity {
  /** Whether this controller acts as the leader. */
  isLeader = false;
  /** Until when no other controller can lead, if this one does; it counts at the moment of sending (election.ts). */
  validUntil = 0 as MonotonicTime;

  /** The expiry of outputs that only the leader may make. */
  get expiry(): { readonly expiresAt: MonotonicTime } {
    return { expiresAt: this.validUntil };
  }
}
