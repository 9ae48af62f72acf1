/** What goes into the decisions of recovery, and what comes out of them. */
import type {
  Attempt,
  ExitReason,
  JobId,
  MachineId,
  MachineTypeName,
  MonotonicTime,
  Resources,
  TeamName,
  ZoneName,
} from '../core/types.js';

/** A machine on record that has not shown its tasks to this leader: it may hold tasks of previous terms. */
export interface UnreconciledMachine extends Pick<Resources, 'cpus' | 'gpus'> {
  readonly id: MachineId;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

/** How a machine was reconciled: what made certain which tasks are on it. */
export type ReconciledBy =
  /** A status with this leader's fencing token. */
  | 'listed'
  /** Nobody can have renewed its lease for longer than the lease lasts. */
  | 'leaseEnded'
  /** Deleted, or stopped by itself as the cloud says. */
  | 'gone';

/** A job as the state store held it at the failover, and what has been found of it since. */
export interface PreviousTermJob extends Pick<Resources, 'cpus' | 'gpus'> {
  readonly id: JobId;
  readonly team: TeamName;
  /** The term of its first start; 0: never started. */
  readonly startTerm: number;
  /** The only zones in which it may have been started; null: there is no record that may be trusted. */
  readonly startZones: ReadonlySet<ZoneName> | null;
  readonly allowedMachineTypes: readonly MachineTypeName[] | null;
  readonly zone: ZoneName | null;
  readonly toleratesSpot: boolean;
  /** Tasks that are neither done nor known to be on a machine. */
  readonly unaccountedCount: number;
}

/** What the store says of the job that a reported task belongs to. */
export type StoredJob =
  | { readonly kind: 'recorded'; readonly cancelled: boolean; readonly taskDone: boolean; readonly isService: boolean }
  /** There is a record that this version can't read: nothing may be concluded from it. */
  | { readonly kind: 'unreadable' }
  /** Not among the records read so far: it may be on its way. */
  | { readonly kind: 'unread' }
  /** Confirmed by a read that was sent after the task had been reported. */
  | { readonly kind: 'absent' };

/** A placement of the same task on another machine. */
export interface OtherPlacement {
  readonly machine: MachineId;
  readonly attempt: Attempt;
}

/** One task of a worker's status, with all that decides what it is. */
export interface ReportedTask {
  readonly attempt: Attempt;
  /** Null for a task that has not ended. */
  readonly exitReason: ExitReason | null;
  readonly job: StoredJob;
  /** Where else the task was found; planned starts that were never sent don't count. */
  readonly otherPlacement: OtherPlacement | null;
}

/** What a task of a worker's list turns out to be. */
export type TaskClass =
  /** Stored and reported agree. */
  | 'agrees'
  /** Completed, and the result has yet to be put on record. */
  | 'finished'
  /** Completed, and on record. */
  | 'finishedOnRecord'
  /** Ended without a result. */
  | 'endedOtherwise'
  /** Still there although its job was cancelled. */
  | 'cancelled'
  /** Still there although its result is on record. */
  | 'alreadyDone'
  /** Found on two machines, and the other placement is the newer one. */
  | 'staleDuplicate'
  /** Found on two machines, and this is the newer placement. */
  | 'newerDuplicate'
  /** Its job is not among the records read; a read has to confirm that. */
  | 'orphanSuspected'
  /** Its job was never recorded. */
  | 'orphan'
  /** Its job's record can't be read. */
  | 'unreadable';

/** What is to be done about a reported task. */
type TaskAction =
  /** Taken over where it runs. Nothing is sent. */
  | 'adopt'
  /** Taken over, and stopped as a cancelled job's task is. */
  | 'adoptAndStop'
  /** Taken over here; the one on the other machine is stopped. */
  | 'adoptAndStopOther'
  /** Stopped, and acknowledged once it has ended. */
  | 'stop'
  /** The result is put on record; only then is it acknowledged to the worker. */
  | 'recordResult'
  /** Counted once and acknowledged to the worker; the task waits for a placement again. */
  | 'requeue'
  /** Acknowledged to the worker, which drops it. */
  | 'acknowledge'
  /** The job's record is looked up in the state store; meanwhile the task is left alone. */
  | 'lookUpRecord'
  /** Left alone, and nothing is concluded from it. */
  | 'ignore';

/** A decision about one task, with its reason. */
export interface Classification {
  readonly taskClass: TaskClass;
  readonly action: TaskAction;
}

/** What the state store says of the record of a job that only workers know. */
export type RecordLookupResult =
  | 'present'
  | 'absent'
  /** It didn't answer. */
  | 'unavailable';

/** A task on a worker whose job the state store does not hold. */
export interface Orphan {
  readonly job: JobId;
  readonly machine: MachineId;
  readonly seenAt: MonotonicTime;
  /** Whether the state store has confirmed that there is no record. */
  readonly confirmed: boolean;
}
