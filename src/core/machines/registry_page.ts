/** One page of the machine registry. Tracks which machines are on it, and whether it has to be written or read. */
import type { MachineRecord } from '../records.js';
import type { MonotonicTime, Revision } from '../types.js';
import type { Machine } from './machine.js';

/** Minimum interval between writes of a page on which only images have changed, in milliseconds. */
const IMAGE_WRITE_INTERVAL_MS = 8000;

/** A value in the state store that lists many machines, with the state of its reads and writes. */
export class RegistryPage {
  readonly machines = new Set<Machine>();
  /** Records on the page whose machine type is unknown. They are written back unchanged. */
  readonly preservedRecords: MachineRecord[] = [];
  /** Machines that are moving to another page. They stay on this page until the other page is stored. */
  readonly departing = new Map<Machine, RegistryPage>();

  private knownVersion: Revision;
  private urgent = false;
  private rewriteDue = false;
  private imagesChanged = false;
  private callInFlight = false;
  private versionUnknown = false;
  private writtenAt = 0 as MonotonicTime;

  /** `index`: the number in its key. `version`: the version of the key, or `ABSENT_VERSION` for a new page. */
  constructor(
    readonly index: number,
    version: Revision,
  ) {
    this.knownVersion = version;
  }

  /** The last known version of its key. */
  get version(): Revision {
    return this.knownVersion;
  }

  /** Whether the page must be written before a machine on it may be used, or after a failed write. */
  get isUrgent(): boolean {
    return this.urgent;
  }

  /** Whether a machine was added to the page or removed from it since the last write. */
  get isRewriteDue(): boolean {
    return this.rewriteDue;
  }

  /** Whether its version has to be read before the next write, and no call is in flight. */
  get mustBeReread(): boolean {
    return this.versionUnknown && !this.callInFlight;
  }

  /** Returns whether the page may and should be written now. Image changes alone require spare write capacity. */
  isWriteDue(now: MonotonicTime, hasSpareWrites: boolean): boolean {
    // A page that is being split is too large to be written until the departing machines have been removed.
    if (this.callInFlight || this.versionUnknown || this.departing.size > 0) return false;
    if (this.urgent || this.rewriteDue) return true;
    return this.imagesChanged && hasSpareWrites && now - this.writtenAt > IMAGE_WRITE_INTERVAL_MS;
  }

  /** Requires a write as soon as possible, because a machine on the page can't be used before. */
  markUrgent(): void {
    this.urgent = true;
  }

  /** Marks the page for a write that is due but not urgent. */
  markRewriteDue(): void {
    this.rewriteDue = true;
  }

  /** Records whether the cached images of its machines have changed since the last write. */
  collectImageChanges(): void {
    this.imagesChanged ||= [...this.machines].some((machine) => machine.images.isDirty);
  }

  /** Removes a machine whose new page has been stored. */
  finishDeparture(machine: Machine): void {
    this.departing.delete(machine);
    this.machines.delete(machine);
    this.rewriteDue = true;
  }

  /** Begins a write of the current content. */
  beginWrite(now: MonotonicTime): void {
    this.callInFlight = true;
    this.writtenAt = now;
    this.urgent = false;
    this.rewriteDue = false;
    this.imagesChanged = false;
    for (const machine of this.machines) machine.images.markWritten();
  }

  /** Begins a read of its version. */
  beginRead(): void {
    this.callInFlight = true;
  }

  /** Ends the write or read in flight, whether it succeeded or failed. */
  endCall(): void {
    this.callInFlight = false;
  }

  /** Records a successful write at this version. A version older than the known one is ignored. */
  recordWrite(version: Revision): void {
    if (version > this.knownVersion) this.knownVersion = version;
  }

  /** Records a failed write, which has to be repeated. If its outcome is unknown, the version is read first. */
  recordFailedWrite(isOutcomeUnknown: boolean): void {
    this.urgent = true;
    this.versionUnknown = isOutcomeUnknown;
  }

  /** Records the version that was read. */
  recordRead(version: Revision): void {
    this.knownVersion = version;
    this.versionUnknown = false;
  }
}
