/** One page of the machine registry: which machines are on it, and whether it has to be written or read. */
import type { MachineRecord } from '../records.js';
import type { MonotonicTime, Revision } from '../types.js';
import type { Machine } from './machine.js';

/** Changes of images alone are written this rarely. */
const IMAGE_WRITE_INTERVAL_MS = 8000;

/** A value of the state store that lists many machines, with what is known of how the store holds it. */
export class RegistryPage {
  readonly machines = new Set<Machine>();
  /** What else is on it, kept as it is. */
  readonly keptRecords: MachineRecord[] = [];
  /** Machines on their way to another page: they stay on this one until that is on record. */
  readonly departing = new Map<Machine, RegistryPage>();

  private knownVersion: Revision;
  private urgent = false;
  private rewriteDue = false;
  private imagesChanged = false;
  private callInFlight = false;
  private versionUnknown = false;
  private writtenAt = 0 as MonotonicTime;

  /** `index`: the number in its key. `version`: that of the key, `ABSENT_VERSION` for a new page. */
  constructor(
    readonly index: number,
    version: Revision,
  ) {
    this.knownVersion = version;
  }

  /** The version of its key, as far as is known. */
  get version(): Revision {
    return this.knownVersion;
  }

  /** Whether a machine on it must be on record before it may be used. */
  get isUrgent(): boolean {
    return this.urgent;
  }

  /** Whether a machine on it is gone, or has come from another page. */
  get isRewriteDue(): boolean {
    return this.rewriteDue;
  }

  /** Whether its version has to be read before it can be written again, and is not being read. */
  get mustBeReread(): boolean {
    return this.versionUnknown && !this.callInFlight;
  }

  /** Whether it may and should be written now; changes of images alone only where writes are to spare. */
  isWriteDue(now: MonotonicTime, hasSpareWrites: boolean): boolean {
    // One that is being split is too large to be written until the others have left.
    if (this.callInFlight || this.versionUnknown || this.departing.size > 0) return false;
    if (this.urgent || this.rewriteDue) return true;
    return this.imagesChanged && hasSpareWrites && now - this.writtenAt > IMAGE_WRITE_INTERVAL_MS;
  }

  /** It has to be written before anything else can happen. */
  markUrgent(): void {
    this.urgent = true;
  }

  /** It has to be written before long. */
  markRewriteDue(): void {
    this.rewriteDue = true;
  }

  /** Notes whether the images that its machines hold have changed since it was written. */
  collectImageChanges(): void {
    this.imagesChanged ||= [...this.machines].some((machine) => machine.images.isDirty);
  }

  /** A machine has arrived on another page, which is on record. */
  finishDeparture(machine: Machine): void {
    this.departing.delete(machine);
    this.machines.delete(machine);
    this.rewriteDue = true;
  }

  /** A write of it, as it is now, goes out. */
  beginWrite(now: MonotonicTime): void {
    this.callInFlight = true;
    this.writtenAt = now;
    this.urgent = false;
    this.rewriteDue = false;
    this.imagesChanged = false;
    for (const machine of this.machines) machine.images.markWritten();
  }

  /** A read of its version goes out. */
  beginRead(): void {
    this.callInFlight = true;
  }

  /** The write or read was answered, or failed. */
  endCall(): void {
    this.callInFlight = false;
  }

  /** It is on record at this version, or was: an older one changes nothing. */
  recordWrite(version: Revision): void {
    if (version > this.knownVersion) this.knownVersion = version;
  }

  /** A write of it failed: it has to be written again, after its version was read if the outcome is unknown. */
  recordFailedWrite(isOutcomeUnknown: boolean): void {
    this.urgent = true;
    this.versionUnknown = isOutcomeUnknown;
  }

  /** Its version was read. */
  recordRead(version: Revision): void {
    this.knownVersion = version;
    this.versionUnknown = false;
  }
}
