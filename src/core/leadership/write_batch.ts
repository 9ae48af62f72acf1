/** The content of one transaction: job records and pages of the machine registry, with the conditions of the write. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { MachineRegistry } from '../machines/machine_registry.js';
import type { RegistryPage } from '../machines/registry_page.js';
import type { StateChange, VersionCondition } from '../messages.js';
import { encodeJob, type JobState, jobKey, pageKey, storedBytes } from '../records.js';
import type { MonotonicTime, ZoneName } from '../types.js';

/** Maximum size of a transaction, which the state store's protocol sets. */
const MAX_TRANSACTION_BYTES = 64 * 1024;
/** Size of what a transaction holds beside each value: field names, the value's key twice, and its version. */
const ENTRY_OVERHEAD_BYTES = 256;

/** The part of a job's record that can change, as the transaction writes it. */
export interface JobSnapshot {
  readonly job: Job;
  readonly state: JobState;
  readonly startTerm: number;
  readonly startZones: readonly ZoneName[] | null;
  readonly doneTasks: [number, number][];
}

/** A page of the machine registry, as the transaction writes it. */
export interface PageSnapshot {
  readonly page: RegistryPage;
  readonly machines: readonly Machine[];
}

/** Limits on what a transaction may write. */
export interface WriteLimits {
  readonly maxChanges: number;
  /** Maximum size of a single value. */
  readonly maxValueBytes: number;
}

/** Changes are added while there is space, and then all of them are sent in one transaction. */
export class WriteBatch {
  readonly conditions: VersionCondition[];
  readonly changes: StateChange[] = [];
  readonly jobs: JobSnapshot[] = [];
  readonly pages: PageSnapshot[] = [];
  private bytes = ENTRY_OVERHEAD_BYTES;
  private urgent = false;

  /** `leaderCondition` prevents the batch from being written after the leader has lost its leadership. */
  constructor(
    leaderCondition: VersionCondition,
    private readonly limits: WriteLimits,
  ) {
    this.conditions = [leaderCondition];
  }

  /** Whether other work waits for a change in the batch. */
  get isUrgent(): boolean {
    return this.urgent;
  }

  /** Returns whether another change may be added. */
  hasSpace(): boolean {
    if (this.changes.length === 0) return true;
    const largestEntryBytes = this.limits.maxValueBytes + ENTRY_OVERHEAD_BYTES;
    return this.changes.length < this.limits.maxChanges && this.bytes + largestEntryBytes <= MAX_TRANSACTION_BYTES;
  }

  /** Adds the current content of a page. */
  addPage(page: RegistryPage, registry: MachineRegistry, now: MonotonicTime): void {
    if (page.isUrgent) this.urgent = true;
    const { change, bytes, machines } = registry.beginWrite(page, now);
    this.bytes += bytes + ENTRY_OVERHEAD_BYTES;
    this.pages.push({ page, machines });
    this.conditions.push({ key: pageKey(page.index), version: page.version });
    this.changes.push(change);
  }

  /** Adds the current record of a job. */
  addJob(job: Job, now: MonotonicTime): void {
    if (job.writeUrgency === 'immediate') this.urgent = true;
    job.stored.beginWrite(now);
    const { spec, submittedAt, state, startTerm, startZone, doneTasks } = job;
    const startZones = job.startZones && [...job.startZones];
    const record = { spec, submittedAt, state, startTerm, startZone, startZones, done: doneTasks };
    const value = encodeJob(record, this.limits.maxValueBytes);
    this.bytes += storedBytes(value) + ENTRY_OVERHEAD_BYTES;
    this.jobs.push({ job, state, startTerm, startZones, doneTasks: value.done });
    this.conditions.push({ key: jobKey(job.id), version: job.stored.version });
    this.changes.push({ put: jobKey(job.id), value });
  }

  /** Called when the transaction has ended with any outcome. */
  onEnded(): void {
    for (const { job } of this.jobs) job.stored.endCall();
    for (const { page } of this.pages) page.endCall();
  }
}
