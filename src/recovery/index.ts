/**
 * Recovery after a failover, in particular after a cold start. The state that previous terms left is compared with what
 * workers report, and action is taken only where the two really disagree. This package only makes the decisions, and
 * `src/core` carries them out. See docs/design/cold-start.md.
 */

export { HeartbeatBacklog } from './heartbeat_backlog.js';
export { LeaseRenewals } from './lease_renewals.js';
export { Recovery } from './recovery.js';
export {
  encodeTerm,
  nextTermRecord,
  type StartZonesRecordedSince,
  type TermRecord,
  trustedStartZones,
} from './start_zones.js';
export { type RecoverySummary, summaryFields } from './summary.js';
export { classify } from './task_classification.js';
export type { TeamExposure } from './team_exposure.js';
export type {
  Classification,
  OtherPlacement,
  PreviousTermJob,
  ReconciledBy,
  RecordLookupResult,
  StoredJob,
} from './types.js';
