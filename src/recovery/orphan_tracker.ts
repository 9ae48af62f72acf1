/** Tracks jobs that workers report but whose records have not been found in the state store. */
import type { JobId, MachineId, MonotonicTime } from '../core/types.js';
import type { Orphan, RecordLookupResult } from './types.js';

/** Maximum number of entries in the list for operators. Further orphans are handled in the same way but not listed. */
const MAX_LISTED_ORPHANS = 1000;
/**
 * Maximum number of suspected jobs that are tracked. The tasks of further jobs are left alone until fewer are tracked.
 */
const MAX_SUSPECTED_JOBS = 10_000;

interface SuspectedOrphan {
  readonly machines: Set<MachineId>;
  readonly seenAt: MonotonicTime;
  isLookupInFlight: boolean;
  isConfirmed: boolean;
}

/**
 * Distinguishes orphans from jobs whose records exist but have not been read yet. A start is sent only after the state
 * store has confirmed the write of the job's record, and a transaction is never confirmed before it is executed. The
 * record that justifies a start therefore exists before the task does. A read that is sent after the task was reported
 * finds the record, regardless of any message that is still in flight.
 */
export class OrphanTracker {
  private readonly jobs = new Map<JobId, SuspectedOrphan>();

  /** Records that a worker reported a task of an unknown job. Returns whether the job's record has to be read now. */
  onReported(job: JobId, machine: MachineId, now: MonotonicTime): boolean {
    let suspected = this.jobs.get(job);
    if (!suspected) {
      if (this.jobs.size >= MAX_SUSPECTED_JOBS) return false;
      suspected = { machines: new Set(), seenAt: now, isLookupInFlight: false, isConfirmed: false };
      this.jobs.set(job, suspected);
    }
    suspected.machines.add(machine);
    if (suspected.isConfirmed || suspected.isLookupInFlight) return false;
    suspected.isLookupInFlight = true;
    return true;
  }

  /** Records the result of looking up the job's record. Returns whether it is the first to confirm that none exists. */
  onLookedUp(job: JobId, result: RecordLookupResult): boolean {
    const suspected = this.jobs.get(job);
    if (!suspected) return false;
    suspected.isLookupInFlight = false;
    if (result === 'present') this.jobs.delete(job);
    if (result !== 'absent' || suspected.isConfirmed) return false;
    suspected.isConfirmed = true;
    return true;
  }

  /** Stops suspecting a job whose record has been found. Its running tasks are adopted. */
  onRecordFound(job: JobId): void {
    this.jobs.delete(job);
  }

  /** Returns whether the state store has confirmed that the job has no record. */
  isConfirmed(job: JobId): boolean {
    return this.jobs.get(job)?.isConfirmed ?? false;
  }

  /** Returns the suspected jobs and the machines that reported them, for operators. Contains at most 1000 entries. */
  list(): Orphan[] {
    const orphans: Orphan[] = [];
    for (const [job, { machines, seenAt, isConfirmed }] of this.jobs) {
      for (const machine of machines) {
        if (orphans.length >= MAX_LISTED_ORPHANS) return orphans;
        orphans.push({ job, machine, seenAt, confirmed: isConfirmed });
      }
    }
    return orphans;
  }
}
