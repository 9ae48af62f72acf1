/** Spreads the records of machines over pages of the state store, and tells which pages have to be written. */
import type { StateChange, StoredEntry } from '../messages.js';
import {
  type DecodedMachinePage,
  decodePage,
  encodePage,
  MACHINE_PREFIX,
  type MachineRecord,
  pageKey,
} from '../records.js';
import { ABSENT_VERSION, type MachineId, type MonotonicTime, type Revision } from '../types.js';
import type { Machine } from './machine.js';

/** What a page's text may take of the state store's limit for a value, without and with the images that machines hold. */
const PAGE_SHARE = 0.95;
const PAGE_SHARE_WITH_IMAGES = 0.97;
/** What one machine with its images is estimated at. */
const ESTIMATED_MACHINE_BYTES = 190;
const MAX_IMAGES = 16;
/** Changes of images alone are written this rarely. */
const IMAGE_WRITE_INTERVAL_MS = 8000;

/** A page of the registry: a value of the state store that lists many machines. */
export interface RegistryPage {
  readonly index: number;
  readonly machines: Set<Machine>;
  /** What else is on it, kept as it is. */
  readonly keptRecords: MachineRecord[];
  /** Machines on their way to another page: they stay on this one until that is on record. */
  readonly departing: Map<Machine, RegistryPage>;
  version: Revision;
  /** A machine in it must be on record before it may be used. */
  urgent: boolean;
  /** A machine in it is gone, or has come from another page. */
  needsRewrite: boolean;
  /** Only the images that its machines hold have changed. */
  imagesChanged: boolean;
  writeInFlight: boolean;
  /** The outcome of a write is unknown: the version has to be read before the next. */
  versionUnknown: boolean;
  writtenAt: MonotonicTime;
}

/** One write of a page: the change, about its size, and the machines on the page at that moment. */
export interface PageWrite {
  readonly change: StateChange;
  readonly bytes: number;
  readonly machines: readonly Machine[];
}

const UNREADABLE_PAGE: DecodedMachinePage = { machines: [], complete: false };

const pageNumber = (key: string): number => Number(key.slice(MACHINE_PREFIX.length));

function emptyPage(index: number, version: Revision): RegistryPage {
  return {
    index,
    machines: new Set(),
    keptRecords: [],
    departing: new Map(),
    version,
    urgent: false,
    needsRewrite: false,
    imagesChanged: false,
    writeInFlight: false,
    versionUnknown: false,
    writtenAt: 0 as MonotonicTime,
  };
}

/**
 * The machines that may ever be sent a command, as the state store holds them: pages of many machines each, so that
 * provisioning a hundred costs a few changes and a new leader reads a few records.
 */
export class MachineRegistry {
  private readonly pages = new Map<number, RegistryPage>();
  private readonly pageOf = new Map<MachineId, RegistryPage>();
  /** Numbers of pages that aren't understood: a later release may have written them. */
  private readonly unreadablePages = new Set<number>();
  private machinesPerPage = 1;
  private valueBytes = 0;

  /** `valueBytes`: the state store's limit for one value. */
  constructor(valueBytes: number) {
    this.setValueLimit(valueBytes);
  }

  // ---- what was stored

  /** Takes in a stored page. One that isn't understood in full stays as it is: it is never written over. */
  load(item: StoredEntry): DecodedMachinePage {
    const no = pageNumber(item.key);
    const page = decodePage(item.value) ?? UNREADABLE_PAGE;
    if (page.complete && Number.isSafeInteger(no)) this.pages.set(no, emptyPage(no, item.version));
    else this.unreadablePages.add(no);
    return page;
  }

  /** Puts a machine that was read from a page back on it. */
  restore(machine: Machine, key: string): void {
    machine.lifecycle.markRegistered();
    const page = this.pages.get(pageNumber(key));
    if (!page) return;
    page.machines.add(machine);
    this.pageOf.set(machine.id, page);
  }

  /** A machine of a type that is not known now: its record stays as it is. */
  keepUnknownMachine(key: string, record: MachineRecord): void {
    this.pages.get(pageNumber(key))?.keptRecords.push(record);
  }

  /** Machines of this page are on another one too: that one holds, and this is written without them. */
  rewriteWithoutDuplicates(key: string): void {
    const page = this.pages.get(pageNumber(key));
    if (page) page.needsRewrite = true;
  }

  // ---- page sizes

  /** Pages are kept to so much text from now on; larger ones are spread over others, machine by machine. */
  setValueLimit(valueBytes: number): void {
    this.valueBytes = valueBytes;
    this.machinesPerPage = Math.max(1, Math.floor((valueBytes * PAGE_SHARE) / ESTIMATED_MACHINE_BYTES));
    this.splitOversizedPages();
  }

  /** Spreads pages that are larger than may be written now: earlier releases, or other limits, may have left them. */
  splitOversizedPages(): void {
    for (const page of [...this.pages.values()]) this.splitIfOversized(page);
  }

  private splitIfOversized(page: RegistryPage): void {
    if (page.departing.size > 0) return;
    const staying = [...page.machines];
    while (staying.length > 1 && !this.fits(staying)) {
      const machine = staying.pop() as Machine;
      if (machine.lifecycle.isRegistered) {
        page.departing.set(machine, this.assignPage(machine, page));
      } else {
        page.machines.delete(machine);
        this.assignPage(machine, page).urgent = true;
      }
    }
  }

  private fits(machines: readonly Machine[]): boolean {
    if (machines.length > this.machinesPerPage) return false;
    return JSON.stringify(encodePage(machines.map(recordOf), 0)).length <= this.valueBytes * PAGE_SHARE;
  }

  /** Puts a machine on the fullest page that takes it, other than `except`; the page is written before long. */
  private assignPage(machine: Machine, except: RegistryPage | null): RegistryPage {
    const page = this.fullestPageFor(machine, except) ?? this.newPage();
    page.machines.add(machine);
    page.needsRewrite = true;
    this.pageOf.set(machine.id, page);
    return page;
  }

  private fullestPageFor(machine: Machine, except: RegistryPage | null): RegistryPage | null {
    let fullest: RegistryPage | null = null;
    for (const page of this.pages.values()) {
      if (page === except || page.departing.size > 0) continue;
      if (fullest !== null && page.machines.size <= fullest.machines.size) continue;
      if (this.fits([...page.machines, machine])) fullest = page;
    }
    return fullest;
  }

  private newPage(): RegistryPage {
    let no = this.pages.size;
    while (this.pages.has(no) || this.unreadablePages.has(no)) no += 1;
    const page = emptyPage(no, ABSENT_VERSION);
    this.pages.set(no, page);
    return page;
  }

  // ---- machines

  /** Puts a new machine on a page, to be written soon; without effect for one that is on a page already. */
  add(machine: Machine): void {
    if (!machine.lifecycle.isRegistered && !this.pageOf.has(machine.id)) this.assignPage(machine, null).urgent = true;
  }

  /** Takes a machine that is gone off its page. */
  remove(id: MachineId): void {
    const page = this.pageOf.get(id);
    if (!page) return;
    this.pageOf.delete(id);
    for (const machine of page.machines) if (machine.id === id) page.machines.delete(machine);
    page.needsRewrite = true;
    for (const from of this.pages.values()) {
      for (const machine of from.departing.keys()) if (machine.id === id) this.finishDeparture(from, machine);
    }
  }

  private finishDeparture(from: RegistryPage, machine: Machine): void {
    from.departing.delete(machine);
    from.machines.delete(machine);
    from.needsRewrite = true;
  }

  /** Notes on which pages the images of machines have changed. */
  collectImageChanges(): void {
    for (const page of this.pages.values()) {
      page.imagesChanged ||= [...page.machines].some((machine) => machine.images.isDirty);
    }
  }

  // ---- writing

  /** Returns the pages to write, the most pressing first; without spare writes only what can't wait. */
  duePages(now: MonotonicTime, hasSpareWrites: boolean): RegistryPage[] {
    const due = [...this.pages.values()].filter((page) => this.isDue(page, now, hasSpareWrites));
    return due.sort((a, b) => Number(b.urgent) - Number(a.urgent) || Number(b.needsRewrite) - Number(a.needsRewrite));
  }

  private isDue(page: RegistryPage, now: MonotonicTime, hasSpareWrites: boolean): boolean {
    // One that is being spread is too large to be written until the others have left.
    if (page.writeInFlight || page.versionUnknown || page.departing.size > 0) return false;
    if (page.urgent || page.needsRewrite) return true;
    return page.imagesChanged && hasSpareWrites && now - page.writtenAt > IMAGE_WRITE_INTERVAL_MS;
  }

  /** Returns the pages whose version has to be read before they can be written again. */
  pagesToReread(): RegistryPage[] {
    return [...this.pages.values()].filter((page) => page.versionUnknown && !page.writeInFlight);
  }

  /** Begins a write of a page: returns the change that brings the state store up to date with it. */
  beginWrite(page: RegistryPage, now: MonotonicTime): PageWrite {
    page.writeInFlight = true;
    page.writtenAt = now;
    page.urgent = false;
    page.needsRewrite = false;
    page.imagesChanged = false;
    const machines = [...page.machines];
    const records = [...page.keptRecords, ...machines.map(recordOf)];
    for (const machine of machines) machine.images.markWritten();
    const value = this.encode(records);
    return { change: { put: pageKey(page.index), value: value.page }, bytes: value.bytes, machines };
  }

  /** With as many of the images as fit: they are hints, and one less is no loss; a page that the store refuses would be. */
  private encode(records: readonly MachineRecord[]): { page: unknown; bytes: number } {
    for (let images = MAX_IMAGES; ; images = Math.floor(images / 2)) {
      const page = encodePage(records, images);
      const bytes = JSON.stringify(page).length;
      if (images === 0 || bytes <= this.valueBytes * PAGE_SHARE_WITH_IMAGES) return { page, bytes };
    }
  }

  /** The write of a page has ended, however it did. */
  endWrite(page: RegistryPage): void {
    page.writeInFlight = false;
  }

  /** A write of the page failed. `isOutcomeUnknown`: its version has to be read before it is written again. */
  onWriteFailed(page: RegistryPage, isOutcomeUnknown: boolean): void {
    page.urgent = true;
    page.versionUnknown = isOutcomeUnknown;
  }

  /** Begins to read the version of a page: meanwhile it is not written. */
  beginReread(page: RegistryPage): void {
    page.writeInFlight = true;
  }

  /** The read has ended. Null: the version could not be read. */
  endReread(page: RegistryPage, version: Revision | null): void {
    page.writeInFlight = false;
    if (version === null) return;
    page.version = version;
    page.versionUnknown = false;
  }

  /** A page is on record as it was with these machines: those that came from other pages may leave them. */
  onPageStored(page: RegistryPage, machines: readonly Machine[], version: Revision): void {
    if (version > page.version) page.version = version;
    for (const machine of machines) if (page.machines.has(machine)) machine.lifecycle.markRegistered();
    for (const from of this.pages.values()) {
      if (from.departing.size === 0) continue;
      for (const machine of machines) if (from.departing.get(machine) === page) this.finishDeparture(from, machine);
    }
  }
}

const recordOf = (machine: Machine): MachineRecord => ({
  id: machine.id,
  address: machine.address,
  type: machine.typeName,
  zone: machine.zone,
  spot: machine.spot,
  images: machine.images.presentImagesByLastUse(),
  imagePullSpeed: machine.images.pullSpeed,
});
