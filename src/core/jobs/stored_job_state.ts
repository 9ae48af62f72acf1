/** Tracks what the state store is known to hold for one job, and whether a write or read of its record is in flight. */
import type { JobRecord, JobState } from '../records.js';
import type { MonotonicTime, Revision, ZoneName } from '../types.js';
import type { RangeSet } from './range_set.js';

/** The part of a job's record that changes, as it was read or written. */
export type StoredJob = Pick<JobRecord, 'state' | 'startTerm' | 'startZones' | 'done'>;

/** A job's record as the state store is known to hold it. */
export class StoredJobState {
  private knownVersion: Revision;
  private knownState: JobState;
  private knownStartTerm: number;
  private knownStartZones: ReadonlySet<ZoneName> = new Set();
  private knownDoneTasks: RangeSet;
  private callInFlight = false;
  private writtenAt = 0 as MonotonicTime;

  /**
   * Leaves the start zones empty. The caller decides whether the stored ones are complete, and sets them with
   * `restoreStartZones`.
   */
  constructor(record: JobRecord, version: Revision) {
    this.knownVersion = version;
    this.knownState = record.state;
    this.knownStartTerm = record.startTerm;
    this.knownDoneTasks = record.done;
  }

  /** The version of the record's key. */
  get version(): Revision {
    return this.knownVersion;
  }

  /** The job's state in the stored record. */
  get state(): JobState {
    return this.knownState;
  }

  /** The stored term in which the job's first start was allowed. 0 before the first start. */
  get startTerm(): number {
    return this.knownStartTerm;
  }

  /** Stored zones in which the job may have been started. */
  get startZones(): ReadonlySet<ZoneName> {
    return this.knownStartZones;
  }

  /** Tasks whose completion is stored. */
  get doneTasks(): RangeSet {
    return this.knownDoneTasks;
  }

  /** Whether a write or a read of the record is waiting for its response. */
  get isCallInFlight(): boolean {
    return this.callInFlight;
  }

  /** When a write of the record was last sent, whether or not it succeeded. */
  get lastWriteAt(): MonotonicTime {
    return this.writtenAt;
  }

  /**
   * Returns whether the worker may discard the result of the task, because the state store holds it or holds that the
   * job has ended.
   */
  isResultDurable(index: number): boolean {
    return this.knownState !== 'accepted' || this.knownDoneTasks.has(index);
  }

  /** Applies a record that was read. Returns false, and changes nothing, if a newer version is known. */
  applyRecord(record: StoredJob, version: Revision): boolean {
    if (version < this.knownVersion) return false;
    this.set(record, version);
    return true;
  }

  /** Applies a record that was written. Does nothing if that version or a newer one is known. */
  applyWrite(written: StoredJob, version: Revision): void {
    if (version > this.knownVersion) this.set(written, version);
  }

  private set({ state, startTerm, startZones, done }: StoredJob, version: Revision): void {
    this.knownVersion = version;
    this.knownState = state;
    this.knownStartTerm = startTerm;
    this.knownDoneTasks = done;
    if (startZones !== null) this.knownStartZones = new Set(startZones);
  }

  /** Sets the start zones that the state store holds. Null means none. */
  restoreStartZones(zones: readonly ZoneName[] | null): void {
    this.knownStartZones = new Set(zones);
  }

  /** Records that a write of the record is sent. */
  beginWrite(now: MonotonicTime): void {
    this.callInFlight = true;
    this.writtenAt = now;
  }

  /** Records that a read of the record is sent, after a write whose outcome is unknown. */
  beginRead(): void {
    this.callInFlight = true;
  }

  /** Records that the write or read has ended with any outcome. */
  endCall(): void {
    this.callInFlight = false;
  }
}
