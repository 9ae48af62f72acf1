/** Summary for operators of what a leader has found out about the state that previous terms left. */
import type { MonotonicTime } from '../core/types.js';
import type { Orphan, ReconciledBy, TaskClass } from './types.js';

/** The number of tasks found of each class. */
export type TaskCounts = Readonly<Record<TaskClass, number>>;
/** The number of machines reconciled in each way. */
export type ReconciledByCounts = Readonly<Record<ReconciledBy, number>>;

/** What a leader has found out since its election. Times are readings of this process's monotonic clock. */
export interface RecoverySummary {
  readonly term: number;
  readonly startedAt: MonotonicTime;
  /** When the last machine was reconciled. Null while some machines are not reconciled. */
  readonly finishedAt: MonotonicTime | null;
  /** When the first task was started. Null if none has been started. */
  readonly firstStartAt: MonotonicTime | null;
  /** The number of machines in the stored registry when this leader read it. */
  readonly machines: number;
  readonly unreconciledMachines: number;
  readonly reconciledBy: ReconciledByCounts;
  /** Machines that were found although they were not in the stored registry. */
  readonly unregisteredMachines: number;
  readonly tasks: TaskCounts;
  /** Tasks of jobs first started in previous terms that were not on any machine when all machines were reconciled. */
  readonly missingTasks: number;
  /** Job records and pages of the machine registry that this release cannot read. */
  readonly unreadableRecords: number;
  /** The largest number of heartbeats that were waiting in the backlog at once. */
  readonly longestBacklog: number;
  /**
   * Statuses without this leader's fencing token that were ignored because they may be outdated. Commands of a previous
   * leader might still have changed what they show, or the machine may have been removed long ago.
   */
  readonly outdatedStatuses: number;
  readonly orphans: readonly Orphan[];
}

const ZERO_TASK_COUNTS: TaskCounts = {
  agrees: 0,
  finished: 0,
  finishedOnRecord: 0,
  endedOtherwise: 0,
  cancelled: 0,
  alreadyDone: 0,
  staleDuplicate: 0,
  newerDuplicate: 0,
  orphanSuspected: 0,
  orphan: 0,
  unreadable: 0,
};

const ZERO_RECONCILED_BY_COUNTS: ReconciledByCounts = { listed: 0, leaseEnded: 0, gone: 0 };

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

export const zeroTaskCounts = (): Mutable<TaskCounts> => ({ ...ZERO_TASK_COUNTS });
export const zeroReconciledByCounts = (): Mutable<ReconciledByCounts> => ({ ...ZERO_RECONCILED_BY_COUNTS });

/** Returns the summary's log fields. Counts of 0 are omitted. */
export function summaryFields(summary: RecoverySummary): Record<string, number> {
  const { term, machines, unregisteredMachines, missingTasks, unreadableRecords, longestBacklog, outdatedStatuses } =
    summary;
  const fields: Record<string, number> = { term, machines };
  if (summary.finishedAt !== null) fields.durationSeconds = toSeconds(summary.finishedAt - summary.startedAt);
  if (summary.firstStartAt !== null)
    fields.firstStartAfterSeconds = toSeconds(summary.firstStartAt - summary.startedAt);
  const counts = {
    ...summary.reconciledBy,
    ...summary.tasks,
    unregisteredMachines,
    missingTasks,
    unreadableRecords,
    longestBacklog,
    outdatedStatuses,
  };
  for (const [name, count] of Object.entries(counts)) if (count > 0) fields[name] = count;
  return fields;
}

const toSeconds = (ms: number): number => Math.round(ms / 10) / 100;
