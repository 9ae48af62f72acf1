/** Interfaces to the leader's state. Scheduling decisions read it, and `apply.ts` carries them out. */
import type { ImageUsage } from '../jobs/image_usage.js';
import type { RuntimeEstimator } from '../jobs/runtime_estimator.js';
import type { BootTimeEstimator } from '../machines/boot_time_estimator.js';
import type { MachineTypes } from '../machines/machine_type_catalog.js';
import type { SpotInterruptionRate } from '../machines/spot_interruption_rate.js';
import type { JobTable } from '../state/job_table.js';
import type { MachineTable } from '../state/machine_table.js';
import type { PendingCommands } from '../state/pending_commands.js';
import type { PlacementTable } from '../state/placement_table.js';
import type { PreviousTerms } from '../state/previous_terms.js';
import type { Quotas } from '../state/quotas.js';
import type { StepContext } from '../step_context.js';
import type { Attempt } from '../types.js';

/**
 * The state that scheduling decisions read. They do not change it, except that `startableTaskCount` updates whether
 * tasks of a job may be on unreconciled machines.
 */
export interface ClusterState {
  readonly context: Pick<StepContext, 'now' | 'settings' | 'tuning' | 'after' | 'log'>;
  readonly jobs: Pick<JobTable, 'active' | 'services' | 'hasPendingReplicas'>;
  readonly machines: Pick<MachineTable, 'values' | 'size' | 'isExpected'>;
  readonly machineTypes: MachineTypes;
  readonly placements: Pick<PlacementTable, 'ofJob' | 'onMachine' | 'taskCountOn' | 'taskCountByZone'>;
  readonly quotas: Pick<Quotas, 'remainingTasks' | 'teamsInOrder'>;
  readonly previousTerms: Pick<PreviousTerms, 'startableTaskCount'>;
  readonly runtimeEstimator: Pick<RuntimeEstimator, 'expectedSeconds'>;
  readonly bootTimeEstimator: Pick<BootTimeEstimator, 'remainingSeconds'>;
  readonly spotInterruptions: Pick<SpotInterruptionRate, 'perSecond'>;
  readonly images: Pick<ImageUsage, 'largestTask'>;
}

/** The state with the operations that apply decisions. Entry points pass this interface only to `apply.ts`. */
export interface SchedulableCluster extends ClusterState {
  /** The leader's term, which is recorded with a job's first start. */
  readonly term: number;
  readonly previousTerms: Pick<PreviousTerms, 'startableTaskCount' | 'updateUnreconciled' | 'recordsStartZones'>;
  readonly placements: ClusterState['placements'] & Pick<PlacementTable, 'add' | 'evict' | 'stop' | 'breakGang'>;
  readonly pendingCommands: Pick<PendingCommands, 'requestStarts'>;
  /** Returns an attempt number that is higher than all previous ones. */
  nextAttempt(): Attempt;
}
