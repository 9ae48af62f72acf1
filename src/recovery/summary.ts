/** What a leader has found out of previous terms, for operators. */
import type { MonotonicTime } from '../core/types.js';
import type { Orphan, ReconciledBy, TaskClass } from './types.js';

/** How many tasks of each class were found. */
export type TaskCounts = Readonly<Record<TaskClass, number>>;
/** How many machines were reconciled in each way. */
export type ReconciledByCounts = Readonly<Record<ReconciledBy, number>>;

/** What a leader has found out since its election. Times are of this process's monotonic clock. */
export interface RecoverySummary {
  readonly term: number;
  readonly startedAt: MonotonicTime;
  /** When the last machine was reconciled; null: some are not. */
  readonly finishedAt: MonotonicTime | null;
  /** When the first task was started; null: none was. */
  readonly firstStartAt: MonotonicTime | null;
  /** Machines on record at the election, and how they were reconciled. */
  readonly machines: number;
  readonly unreconciledMachines: number;
  readonly reconciledBy: ReconciledByCounts;
  /** Machines that were found though no record showed them. */
  readonly unregisteredMachines: number;
  readonly tasks: TaskCounts;
  /** Tasks of jobs begun in previous terms that were on no machine when all were reconciled. */
  readonly missingTasks: number;
  /** Jobs' records and pages of the registry that this version can't read. */
  readonly unreadableRecords: number;
  /** The most heartbeats that waited for their turn. */
  readonly longestBacklog: number;
  /** Statuses that were passed over, as commands of an earlier leader might still have changed what they show. */
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

/** Returns counts to be raised. */
export const zeroTaskCounts = (): Mutable<TaskCounts> => ({ ...ZERO_TASK_COUNTS });
/** Returns counts to be raised. */
export const zeroReconciledByCounts = (): Mutable<ReconciledByCounts> => ({ ...ZERO_RECONCILED_BY_COUNTS });

/** Returns the fields of the log line of the summary; counts of 0 are left out. */
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
