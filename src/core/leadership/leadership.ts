/** Describes the leadership of one term, as the election passes it to the components that act on it. */
import type { StartZonesRecordedSince } from '../../recovery/index.js';
import type { VersionCondition } from '../messages.js';
import { LEADER_KEY } from '../records.js';
import { type FencingToken, type LeaseId, revision } from '../types.js';

/** The leadership that this controller holds for one term. */
export interface Leadership {
  /** The revision at which the leader key was acquired. */
  readonly fencingToken: FencingToken;
  readonly term: number;
  readonly leaseId: LeaseId;
  /** The term since which every leader has recorded start zones. Null if this leader does not record them. */
  readonly startZonesRecordedSince: StartZonesRecordedSince;
}

/** Returns the condition that makes a leader's transaction fail once the leader no longer holds the leader key. */
export const leaderCondition = (leadership: Leadership): VersionCondition => ({
  key: LEADER_KEY,
  version: revision(leadership.fencingToken),
});
