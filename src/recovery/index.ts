/**
 * Recovery after a failover, a cold start above all: what previous terms left is matched against what workers report, and only
 * true disagreement is acted on. Decisions only; `src/core` carries them out. docs/design/cold-start.md.
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
