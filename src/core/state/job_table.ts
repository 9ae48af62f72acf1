/** The jobs of a leader: those that still need work, and those that ended a short time ago. */
import { ExpiringMap } from '../expiring_map.js';
import type { Job } from '../jobs/job.js';
import type { JobId, MonotonicTime } from '../types.js';

/**
 * Maximum number of remembered cancellations of jobs whose records are not known yet. Further ones take effect when the
 * record arrives.
 */
const MAX_CANCELLED_BEFORE_RECORD = 10_000;

/**
 * How long a job is kept once nothing of it is left to write or stop, in milliseconds. Workers repeat the exits of its
 * tasks until they are told that these are recorded. A job that is reported later is looked up in the state store.
 */
const SETTLED_RETENTION_MS = 60_000;

/** Jobs by id, and the subsets of them that planning and record writing iterate over. */
export class JobTable {
  private readonly byId = new Map<JobId, Job>();
  /** Jobs that have ended and of which nothing is left to write or stop. */
  private readonly settled = new ExpiringMap<JobId, Job>(SETTLED_RETENTION_MS);
  private readonly activeJobs = new Set<Job>();
  private readonly acceptedServices = new Set<Job>();
  private readonly cancelledBeforeRecord = new Set<JobId>();
  private unreadableIds: ReadonlySet<JobId> = new Set();

  /** Jobs that still need work: accepted jobs, and ended jobs with tasks left on machines or results left to write. */
  get active(): ReadonlySet<Job> {
    return this.activeJobs;
  }

  /** Accepted services. Their replicas are placed separately from the evolutionary search. */
  get services(): ReadonlySet<Job> {
    return this.acceptedServices;
  }

  /** Returns undefined for a job whose record is not known. */
  get(id: JobId): Job | undefined {
    return this.byId.get(id) ?? this.settled.get(id);
  }

  /** Adds a job. Cancels it if its cancellation arrived before its record. */
  add(job: Job): void {
    if (this.cancelledBeforeRecord.delete(job.id)) job.cancel();
    if (job.state !== 'accepted' && job.isSettled) {
      this.settled.set(job.id, job);
      return;
    }
    this.byId.set(job.id, job);
    if (job.state !== 'accepted') return;
    this.activeJobs.add(job);
    if (job.isService) this.acceptedServices.add(job);
  }

  /** Remembers the cancellation of a job whose record is not known yet. */
  cancelBeforeRecord(id: JobId): void {
    if (this.cancelledBeforeRecord.size < MAX_CANCELLED_BEFORE_RECORD) this.cancelledBeforeRecord.add(id);
  }

  /** Returns whether the job is known to be cancelled, even if its record is not known yet. */
  isCancelled(id: JobId): boolean {
    return this.get(id)?.state === 'cancelled' || this.cancelledBeforeRecord.has(id);
  }

  /**
   * Marks the job as active after one of its tasks was placed. It stays active until nothing of it is left to write or
   * stop.
   */
  activate(job: Job): void {
    this.settled.delete(job.id);
    this.byId.set(job.id, job);
    this.activeJobs.add(job);
  }

  /** Removes the job from the active jobs, and later from the table, if nothing of it is left to write or stop. */
  deactivateIfSettled(job: Job): void {
    if (!job.isSettled) return;
    this.activeJobs.delete(job);
    if (this.byId.delete(job.id)) this.settled.set(job.id, job);
  }

  /** Removes jobs that settled long ago. Must be called regularly. */
  expireSettled(now: MonotonicTime): void {
    this.settled.expire(now);
  }

  /** Forgets the cancellation of a job that has ended before its record became known. */
  forgetCancellation(id: JobId): void {
    this.cancelledBeforeRecord.delete(id);
  }

  /** Handles the end of a service, after which no more of its replicas are placed. Does nothing for other jobs. */
  endService(job: Job): void {
    this.acceptedServices.delete(job);
  }

  /** Returns whether any accepted service has a replica without a placement. */
  hasPendingReplicas(): boolean {
    for (const job of this.acceptedServices) if (job.pendingCount > 0) return true;
    return false;
  }

  /** Sets the jobs whose records this release cannot read. */
  setUnreadable(ids: ReadonlySet<JobId>): void {
    this.unreadableIds = ids;
  }

  /** Returns whether the job has a record that this release cannot read. */
  isUnreadable(id: JobId): boolean {
    return this.unreadableIds.has(id);
  }
}
