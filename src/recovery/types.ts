/** The inputs and results of the decisions that recovery makes. */
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

/** A machine in the stored registry whose tasks this leader does not know yet. It may hold tasks of previous terms. */
export interface UnreconciledMachine extends Pick<Resources, 'cpus' | 'gpus'> {
  readonly id: MachineId;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

/** How a machine was reconciled, that is, how it became certain which tasks are on it. */
export type ReconciledBy =
  /** The machine's worker sent a status with this leader's fencing token. */
  | 'listed'
  /** No controller can have renewed the worker's lease for longer than the lease lasts. */
  | 'leaseEnded'
  /** The machine was deleted, or the cloud reports that it stopped on its own. */
  | 'gone';

/** A job as it was stored at the failover, with what has been found out about it since. */
export interface PreviousTermJob extends Pick<Resources, 'cpus' | 'gpus'> {
  readonly id: JobId;
  readonly team: TeamName;
  /** The term of the job's first start, or 0 if it was never started. */
  readonly startTerm: number;
  /** The only zones in which the job may have been started. Null if there is no trusted record of them. */
  readonly startZones: ReadonlySet<ZoneName> | null;
  readonly allowedMachineTypes: readonly MachineTypeName[] | null;
  readonly zone: ZoneName | null;
  readonly toleratesSpot: boolean;
  /** The number of tasks that are neither done nor known to be on a machine. */
  readonly unaccountedCount: number;
}

/** What is known of the stored record of the job to which a reported task belongs. */
export type StoredJob =
  | { readonly kind: 'recorded'; readonly cancelled: boolean; readonly taskDone: boolean; readonly isService: boolean }
  /** There is a record, but this release cannot read it. Nothing may be concluded from it. */
  | { readonly kind: 'unreadable' }
  /** The job is not among the records read so far. Its record may still arrive. */
  | { readonly kind: 'unread' }
  /** There is no record. A read that was sent after the task had been reported confirmed this. */
  | { readonly kind: 'absent' };

/** A placement of the same task on another machine. */
export interface OtherPlacement {
  readonly machine: MachineId;
  readonly attempt: Attempt;
}

/** One task of a worker's status, with everything that determines its class. */
export interface ReportedTask {
  readonly attempt: Attempt;
  /** Null for a task that has not exited. */
  readonly exitReason: ExitReason | null;
  readonly job: StoredJob;
  /** The placement of the same task on another machine. A planned start that was never sent does not count. */
  readonly otherPlacement: OtherPlacement | null;
}

/** The class of a task that a worker reported. */
export type TaskClass =
  /** The stored and the reported state agree. */
  | 'agrees'
  /** The task completed, and its result has yet to be stored. */
  | 'finished'
  /** The task completed, and its result is already stored or its job was cancelled. */
  | 'finishedOnRecord'
  /** The task exited without a result. */
  | 'endedOtherwise'
  /** The task is still on the worker although its job was cancelled. */
  | 'cancelled'
  /** The task is still on the worker although its result is already stored. */
  | 'alreadyDone'
  /** The task was found on two machines, and this placement is not the newer one. */
  | 'staleDuplicate'
  /** The task was found on two machines, and this placement is the newer one. */
  | 'newerDuplicate'
  /** The job is not among the records read so far. A read has to confirm that it has no record. */
  | 'orphanSuspected'
  /** The state store has confirmed that the job has no record. */
  | 'orphan'
  /** The job's record cannot be read. */
  | 'unreadable';

/** The action to take for a reported task. */
type TaskAction =
  /** Adopt the task on the machine where it runs. Nothing is sent to the worker. */
  | 'adopt'
  /** Adopt the task, and stop it in the same way as a task of a cancelled job. */
  | 'adoptAndStop'
  /** Adopt the task on this machine, and stop the one on the other machine. */
  | 'adoptAndStopOther'
  /** Stop the task, and acknowledge its exit afterwards. */
  | 'stop'
  /** Store the result, and acknowledge it to the worker only after that. */
  | 'recordResult'
  /** Count the exit once and acknowledge it to the worker. The task waits for a new placement. */
  | 'requeue'
  /** Acknowledge the exit to the worker, which then discards the task. */
  | 'acknowledge'
  /** Look up the job's record in the state store, and leave the task alone meanwhile. */
  | 'lookUpRecord'
  /** Leave the task alone, and conclude nothing from it. */
  | 'ignore';

/** The decision about one task, with the class as its reason. */
export interface Classification {
  readonly taskClass: TaskClass;
  readonly action: TaskAction;
}

/** Result of looking up, in the state store, the record of a job that is known only from workers' statuses. */
export type RecordLookupResult =
  | 'present'
  | 'absent'
  /** The lookup failed. */
  | 'unavailable';

/** A job whose record has not been found in the state store, and one of the machines that report tasks of it. */
export interface Orphan {
  readonly job: JobId;
  readonly machine: MachineId;
  /** When a task of the job was first reported by any machine. */
  readonly seenAt: MonotonicTime;
  /** Whether the state store has confirmed that the job has no record. */
  readonly confirmed: boolean;
}
