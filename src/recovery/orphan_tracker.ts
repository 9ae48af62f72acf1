/** Keeps track of jobs that workers report and the state store was not found to hold. */
import type { JobId, MachineId, MonotonicTime } from '../core/types.js';
import type { Orphan, RecordLookupResult } from './types.js';

/** So many tasks are listed for operators; any more are handled alike and not listed. */
const MAX_LISTED_TASKS = 1000;
/** So many jobs are kept; the tasks of any more are left alone until fewer are kept. */
const MAX_SUSPECTED_JOBS = 10_000;

interface SuspectedOrphan {
  readonly machines: Set<MachineId>;
  readonly seenAt: MonotonicTime;
  isLookupInFlight: boolean;
  isConfirmed: boolean;
}

/**
 * A start goes out only after the job's record was written, and
 * a transaction that is carried out late can't have been answered before; so a record that justifies a start is there before
 * the task is, and a read sent after the report finds it whatever is still on its way.
 */
export class OrphanTracker {
  private readonly jobs = new Map<JobId, SuspectedOrphan>();

  /** A worker reports a task of a job that isn't known. Returns whether its record is to be read now. */
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

  /** Its record was looked up. Returns whether it is news that the record is absent. */
  onLookedUp(job: JobId, result: RecordLookupResult): boolean {
    const suspected = this.jobs.get(job);
    if (!suspected) return false;
    suspected.isLookupInFlight = false;
    if (result === 'present') this.jobs.delete(job);
    if (result !== 'absent' || suspected.isConfirmed) return false;
    suspected.isConfirmed = true;
    return true;
  }

  /** The record has turned up: what runs is taken over. */
  onRecorded(job: JobId): void {
    this.jobs.delete(job);
  }

  /** Returns whether the state store has confirmed that the job has no record. */
  isConfirmed(job: JobId): boolean {
    return this.jobs.get(job)?.isConfirmed ?? false;
  }

  /** Returns the tasks of suspected jobs for operators, 1000 at most. */
  list(): Orphan[] {
    const orphans: Orphan[] = [];
    for (const [job, { machines, seenAt, isConfirmed }] of this.jobs) {
      for (const machine of machines) {
        if (orphans.length >= MAX_LISTED_TASKS) return orphans;
        orphans.push({ job, machine, seenAt, confirmed: isConfirmed });
      }
    }
    return orphans;
  }
}
