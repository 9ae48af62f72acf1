/** The leader's role in one term, as the election hands it to those that act on it. */
import type { StartZonesRecordedSince } from '../../recovery/index.js';
import type { VersionCondition } from '../messages.js';
import { LEADER_KEY } from '../records.js';
import { type FencingToken, type LeaseId, revision } from '../types.js';

/** What this controller holds while it is the leader. */
export interface Leadership {
  /** The revision at which the leader key was acquired. */
  readonly fencingToken: FencingToken;
  readonly term: number;
  readonly leaseId: LeaseId;
  /** Since which term every leader has put start zones on record; null: this one doesn't. */
  readonly startZonesRecordedSince: StartZonesRecordedSince;
}

/** Returns the condition that makes a transaction of a leader change nothing once it has been deposed. */
export const leaderCondition = (leadership: Leadership): VersionCondition => ({
  key: LEADER_KEY,
  version: revision(leadership.fencingToken),
});
