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
import { RegistryPage } from './registry_page.js';

/** What a page's text may take of the state store's limit for a value, without and with the images that machines hold. */
const PAGE_SHARE = 0.95;
const PAGE_SHARE_WITH_IMAGES = 0.97;
/** What one machine with its images is estimated at. */
const ESTIMATED_MACHINE_BYTES = 190;
const MAX_IMAGES = 16;

/** One write of a page: the change, about its size, and the machines on the page at that moment. */
interface PageWrite {
  readonly change: StateChange;
  readonly bytes: number;
  readonly machines: readonly Machine[];
}

const UNREADABLE_PAGE: DecodedMachinePage = { machines: [], complete: false };

const pageIndex = (key: string): number => Number(key.slice(MACHINE_PREFIX.length));

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
    const index = pageIndex(item.key);
    const page = decodePage(item.value) ?? UNREADABLE_PAGE;
    if (page.complete && Number.isSafeInteger(index)) this.pages.set(index, new RegistryPage(index, item.version));
    else this.unreadablePages.add(index);
    return page;
  }

  /** Puts a machine that was read from a page back on it. */
  restore(machine: Machine, key: string): void {
    machine.lifecycle.markRegistered();
    const page = this.pages.get(pageIndex(key));
    if (!page) return;
    page.machines.add(machine);
    this.pageOf.set(machine.id, page);
  }

  /** A machine of a type that is not known now: its record stays as it is. */
  keepUnknownMachine(key: string, record: MachineRecord): void {
    this.pages.get(pageIndex(key))?.keptRecords.push(record);
  }

  /** Machines of this page are on another one too: that one holds, and this is written without them. */
  rewriteWithoutDuplicates(key: string): void {
    const page = this.pages.get(pageIndex(key));
    if (page) page.markRewriteDue();
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
        this.assignPage(machine, page).markUrgent();
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
    page.markRewriteDue();
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
    let index = this.pages.size;
    while (this.pages.has(index) || this.unreadablePages.has(index)) index += 1;
    const page = new RegistryPage(index, ABSENT_VERSION);
    this.pages.set(index, page);
    return page;
  }

  // ---- machines

  /** Puts a new machine on a page, to be written soon; without effect for one that is on a page already. */
  add(machine: Machine): void {
    if (!machine.lifecycle.isRegistered && !this.pageOf.has(machine.id)) this.assignPage(machine, null).markUrgent();
  }

  /** Takes a machine that is gone off its page. */
  remove(id: MachineId): void {
    const page = this.pageOf.get(id);
    if (!page) return;
    this.pageOf.delete(id);
    for (const machine of page.machines) if (machine.id === id) page.machines.delete(machine);
    page.markRewriteDue();
    for (const from of this.pages.values()) {
      for (const machine of from.departing.keys()) if (machine.id === id) from.finishDeparture(machine);
    }
  }

  /** Notes on which pages the images of machines have changed. */
  collectImageChanges(): void {
    for (const page of this.pages.values()) page.collectImageChanges();
  }

  // ---- writing

  /** Returns the pages to write, the most pressing first; without spare writes only what can't wait. */
  duePages(now: MonotonicTime, hasSpareWrites: boolean): RegistryPage[] {
    const due = [...this.pages.values()].filter((page) => page.isWriteDue(now, hasSpareWrites));
    return due.sort(
      (a, b) => Number(b.isUrgent) - Number(a.isUrgent) || Number(b.isRewriteDue) - Number(a.isRewriteDue),
    );
  }

  /** Returns the pages whose version has to be read before they can be written again. */
  pagesToReread(): RegistryPage[] {
    return [...this.pages.values()].filter((page) => page.mustBeReread);
  }

  /** Begins a write of a page: returns the change that brings the state store up to date with it. */
  beginWrite(page: RegistryPage, now: MonotonicTime): PageWrite {
    const machines = [...page.machines];
    const records = [...page.keptRecords, ...machines.map(recordOf)];
    page.beginWrite(now);
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

  /** A page is on record as it was with these machines: those that came from other pages may leave them. */
  onPageStored(page: RegistryPage, machines: readonly Machine[], version: Revision): void {
    page.recordWrite(version);
    for (const machine of machines) if (page.machines.has(machine)) machine.lifecycle.markRegistered();
    for (const from of this.pages.values()) {
      if (from.departing.size === 0) continue;
      for (const machine of machines) if (from.departing.get(machine) === page) from.finishDeparture(machine);
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
