/** The jobs of a leader: all that are on record, and those that still need attention. */
import type { Job } from '../jobs/job.js';
import type { JobId } from '../types.js';

/** So many cancellations are remembered whose jobs are not on record here yet; any more take effect with the record. */
const MAX_CANCELLED_BEFORE_RECORD = 10_000;

/** Jobs by id, and the groups of them that planning and writing go through. */
export class JobTable {
  private readonly byId = new Map<JobId, Job>();
  private readonly activeJobs = new Set<Job>();
  private readonly acceptedServices = new Set<Job>();
  private readonly cancelledBeforeRecord = new Set<JobId>();
  private unreadableIds: ReadonlySet<JobId> = new Set();

  /** Jobs that still need attention: not over, or over with tasks left on machines or results left to write. */
  get active(): ReadonlySet<Job> {
    return this.activeJobs;
  }

  /** Accepted services: their replicas are placed outside the search. */
  get services(): ReadonlySet<Job> {
    return this.acceptedServices;
  }

  /** Returns undefined for a job that is not on record here. */
  get(id: JobId): Job | undefined {
    return this.byId.get(id);
  }

  /** Adds a job, as cancelled if its cancellation came before its record. */
  add(job: Job): void {
    if (this.cancelledBeforeRecord.delete(job.id)) job.cancel();
    this.byId.set(job.id, job);
    if (job.state !== 'accepted') return;
    this.activeJobs.add(job);
    if (job.isService) this.acceptedServices.add(job);
  }

  /** Notes the cancellation of a job whose record has yet to come. */
  cancelBeforeRecord(id: JobId): void {
    if (this.cancelledBeforeRecord.size < MAX_CANCELLED_BEFORE_RECORD) this.cancelledBeforeRecord.add(id);
  }

  /** The job has or had a task on a machine: it needs attention until nothing of it is left. */
  activate(job: Job): void {
    this.activeJobs.add(job);
  }

  /** Drops the job from the active ones if nothing of it is left to write or to stop. */
  deactivateIfSettled(job: Job): void {
    if (job.isSettled) this.activeJobs.delete(job);
  }

  /** The service is over: no more replicas are placed. Without effect for other jobs. */
  endService(job: Job): void {
    this.acceptedServices.delete(job);
  }

  /** Returns whether any replica of a service has no placement. */
  hasPendingReplicas(): boolean {
    for (const job of this.acceptedServices) if (job.pendingCount > 0) return true;
    return false;
  }

  /** Sets the jobs whose records this version can't read. */
  setUnreadable(ids: ReadonlySet<JobId>): void {
    this.unreadableIds = ids;
  }

  /** Returns whether the job has a record that this version can't read. */
  isUnreadable(id: JobId): boolean {
    return this.unreadableIds.has(id);
  }
}
