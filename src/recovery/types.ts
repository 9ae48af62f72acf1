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

/** A machine on record whose list of tasks has yet to come: it may hold tasks of an earlier leader. */
export interface UnreconciledMachine extends Pick<Resources, 'cpus' | 'gpus'> {
  readonly id: MachineId;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

/** How it became certain what is on a machine. */
export type ReconciledBy =
  /** A list with this leader's token. */
  | 'listed'
  /** Nobody can have renewed its lease for longer than the lease lasts. */
  | 'leaseEnded'
  /** Deleted, or stopped by itself as the cloud says. */
  | 'gone';

/** A job as the store held it when the lead changed, and what has been found of it since. */
export interface PreviousTermJob extends Pick<Resources, 'cpus' | 'gpus'> {
  readonly id: JobId;
  readonly team: TeamName;
  /** The term of its first start; 0: never started. */
  readonly startTerm: number;
  /** The only zones in which it may have been started; null: no record that may be believed says. */
  readonly startZones: ReadonlySet<ZoneName> | null;
  readonly types: readonly MachineTypeName[] | null;
  readonly zone: ZoneName | null;
  readonly spotOk: boolean;
  /** Tasks that are neither done nor known to be on a machine. */
  readonly unaccountedTasks: number;
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

/** A place of the same task on another machine. */
export interface OtherPlacement {
  readonly machine: MachineId;
  readonly attempt: Attempt;
}

/** One task of a worker's list, with all that decides what it is. */
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
  /** Found on two machines, and the other place is the newer one. */
  | 'staleDuplicate'
  /** Found on two machines, and this is the newer place. */
  | 'newerDuplicate'
  /** Its job is not among the records read; a read has to confirm that. */
  | 'orphanSuspected'
  /** Its job was never recorded. */
  | 'orphan'
  /** Its job's record can't be read. */
  | 'unreadable';

/** What is to be done about a task of a list. */
export type TaskAction =
  /** Taken over where it runs. Nothing is sent. */
  | 'adopt'
  /** Taken over, to be stopped as a cancelled job's task is. */
  | 'adoptAndStop'
  /** Taken over here; the other place is stopped. */
  | 'adoptAndStopOther'
  /** Stopped, and forgotten once it has ended. */
  | 'stop'
  /** The result is put on record; only then may the worker forget it. */
  | 'recordResult'
  /** Counted once; the worker may forget it, and the task waits for a place again. */
  | 'requeue'
  /** The worker may forget it. */
  | 'forget'
  /** The store is asked for the job's record; meanwhile the task is left alone. */
  | 'readRecord'
  /** Left alone and never concluded from. */
  | 'leave';

/** A decision about one task, with its reason. */
export interface Classification {
  readonly taskClass: TaskClass;
  readonly action: TaskAction;
}

/** A task on a worker whose job the store does not hold. */
export interface Orphan {
  readonly job: JobId;
  readonly machine: MachineId;
  readonly seenAt: MonotonicTime;
  /** Whether the store has confirmed that there is no record. */
  readonly confirmed: boolean;
}
