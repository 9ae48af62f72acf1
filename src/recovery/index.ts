/**
 * Recovery after a change of lead, a cold start above all: what earlier leaders left is matched against what workers report,
 * and only true disagreement is acted on. Decisions only; `src/core` carries them out. docs/design/cold-start.md.
 */
export { classify } from './classification.js';
export { LeaseRenewals } from './lease_renewals.js';
export { Recovery, type RecoveryInit } from './recovery.js';
export { ReportBacklog } from './report_backlog.js';
export { believedZones, encodeTerm, nextTermValue, type TermValue, type ZonesKeptSince } from './start_zones.js';
export { type RecoverySummary, summaryFields } from './summary.js';
export type { TeamExposure } from './team_exposure.js';
export type {
  Certainty,
  Classification,
  EarlierJob,
  ListedTask,
  Orphan,
  OtherPlace,
  StoredJob,
  TaskAction,
  TaskClass,
  UncertainMachine,
} from './types.js';
export type { Capacity } from './uncertain_machines.js';
