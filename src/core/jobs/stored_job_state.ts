/** Tracks what the state store is known to hold of one job, and whether a write or read of it is under way. */
import type { JobRecord, JobState } from '../records.js';
import type { MonotonicTime, Revision, ZoneName } from '../types.js';
import type { RangeSet } from './range_set.js';

/** The changing part of a job's record, as it was read or written. */
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

  /** Start zones count only from `restoreStartZones` on: whether those on record are complete is for the caller to judge. */
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

  /** Whether the job is accepted, done or cancelled on record. */
  get state(): JobState {
    return this.knownState;
  }

  /** The term in which the job's first start was allowed; 0 before. */
  get startTerm(): number {
    return this.knownStartTerm;
  }

  /** Zones in which the job may have been started. */
  get startZones(): ReadonlySet<ZoneName> {
    return this.knownStartZones;
  }

  /** Tasks whose completion is on record. */
  get doneTasks(): RangeSet {
    return this.knownDoneTasks;
  }

  /** Whether a write or a read of the record has yet to be answered. */
  get isCallInFlight(): boolean {
    return this.callInFlight;
  }

  /** When the record was last written, or tried to be. */
  get lastWriteAt(): MonotonicTime {
    return this.writtenAt;
  }

  /** Whether the result of a task may be dropped from its worker. */
  isResultDurable(index: number): boolean {
    return this.knownState !== 'accepted' || this.knownDoneTasks.has(index);
  }

  /** Takes over a record that was read. Returns false, and changes nothing, if a newer one is known. */
  applyRecord(record: StoredJob, version: Revision): boolean {
    if (version < this.knownVersion) return false;
    this.set(record, version);
    return true;
  }

  /** Takes over a record that was written; without effect if one as new is known. */
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

  /** The start zones on record are these; null: none. */
  restoreStartZones(zones: readonly ZoneName[] | null): void {
    this.knownStartZones = new Set(zones);
  }

  /** A write of the record goes out. */
  beginWrite(now: MonotonicTime): void {
    this.callInFlight = true;
    this.writtenAt = now;
  }

  /** A read of the record goes out, after a write whose outcome is unknown. */
  beginRead(): void {
    this.callInFlight = true;
  }

  /** The write or read was answered, or failed. */
  endCall(): void {
    this.callInFlight = false;
  }
}
