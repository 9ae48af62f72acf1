/** Distributes the records of machines over pages in the state store, and determines which pages have to be written. */
import type { StateChange, StoredEntry } from '../messages.js';
import {
  type DecodedMachinePage,
  decodePage,
  encodePage,
  MACHINE_PREFIX,
  type MachineRecord,
  pageKey,
  storedBytes,
} from '../records.js';
import { ABSENT_VERSION, type MachineId, type MonotonicTime, type Revision } from '../types.js';
import type { Machine } from './machine.js';
import { RegistryPage } from './registry_page.js';

/** Maximum share of the state store's value size limit that an encoded page may use, without and with cached images. */
const MAX_PAGE_SHARE = 0.95;
const MAX_PAGE_SHARE_WITH_IMAGES = 0.97;
/** Estimated encoded size of one machine with its images, in bytes. */
const ESTIMATED_MACHINE_BYTES = 190;
/** Maximum number of cached images that are stored for each machine. */
const MAX_IMAGES = 16;

interface PageWrite {
  readonly change: StateChange;
  /** Size of the encoded page. */
  readonly bytes: number;
  /** The machines on the page when the write began. */
  readonly machines: readonly Machine[];
}

const UNREADABLE_PAGE: DecodedMachinePage = { machines: [], complete: false };

const pageIndex = (key: string): number => Number(key.slice(MACHINE_PREFIX.length));

/**
 * The stored records of all machines to which commands may ever be sent. Each page holds many machines, so that
 * provisioning a hundred machines takes only a few changes, and a new leader reads only a few records.
 */
export class MachineRegistry {
  private readonly pages = new Map<number, RegistryPage>();
  private readonly pageOf = new Map<MachineId, RegistryPage>();
  /** Indexes of pages that can't be decoded in full. A later release may have written them. */
  private readonly unreadablePages = new Set<number>();
  private machinesPerPage = 1;
  private valueBytes = 0;

  /** `valueBytes`: the state store's size limit for one value. */
  constructor(valueBytes: number) {
    this.setValueLimit(valueBytes);
  }

  // ---- loading stored pages

  /** Loads a stored page. A page that can't be decoded in full is never overwritten. */
  load(item: StoredEntry): DecodedMachinePage {
    const index = pageIndex(item.key);
    const page = decodePage(item.value) ?? UNREADABLE_PAGE;
    if (page.complete && Number.isSafeInteger(index)) this.pages.set(index, new RegistryPage(index, item.version));
    else this.unreadablePages.add(index);
    return page;
  }

  /** Assigns a machine to the page from which its record was read. */
  restore(machine: Machine, key: string): void {
    machine.lifecycle.markRegistered();
    const page = this.pages.get(pageIndex(key));
    if (!page) return;
    page.machines.add(machine);
    this.pageOf.set(machine.id, page);
  }

  /** Preserves the record of a machine whose type is currently unknown. */
  keepUnknownMachine(key: string, record: MachineRecord): void {
    this.pages.get(pageIndex(key))?.preservedRecords.push(record);
  }

  /** Marks a page for a rewrite that leaves out the machines that were already restored from another page. */
  rewriteWithoutDuplicates(key: string): void {
    const page = this.pages.get(pageIndex(key));
    if (page) page.markRewriteDue();
  }

  // ---- page sizes

  /** Sets the size limit of a page. Machines on pages that exceed it are moved to other pages one by one. */
  setValueLimit(valueBytes: number): void {
    this.valueBytes = valueBytes;
    this.machinesPerPage = Math.max(1, Math.floor((valueBytes * MAX_PAGE_SHARE) / ESTIMATED_MACHINE_BYTES));
    this.splitOversizedPages();
  }

  /** Splits pages that exceed the current size limit. Earlier releases or other limits may have left such pages. */
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
    return storedBytes(encodePage(machines.map(recordOf), 0)) <= this.valueBytes * MAX_PAGE_SHARE;
  }

  /** Assigns a machine to the fullest page that has space for it, except `except`, and marks the page for a rewrite. */
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

  /** Assigns a new machine to a page, which becomes urgent. Has no effect if the machine is already on a page. */
  add(machine: Machine): void {
    if (!machine.lifecycle.isRegistered && !this.pageOf.has(machine.id)) this.assignPage(machine, null).markUrgent();
  }

  /** Removes a terminated machine from the pages that list it. */
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

  /** Marks the page that lists the machine for an urgent rewrite. */
  rewrite(id: MachineId): void {
    this.pageOf.get(id)?.markUrgent();
  }

  /** Marks the pages on which the cached images of machines have changed. */
  collectImageChanges(): void {
    for (const page of this.pages.values()) page.collectImageChanges();
  }

  // ---- writing

  /** Returns the pages to write, most urgent first. Pages with only image changes require spare write capacity. */
  duePages(now: MonotonicTime, hasSpareWrites: boolean): RegistryPage[] {
    const due = [...this.pages.values()].filter((page) => page.isWriteDue(now, hasSpareWrites));
    return due.sort(
      (a, b) => Number(b.isUrgent) - Number(a.isUrgent) || Number(b.isRewriteDue) - Number(a.isRewriteDue),
    );
  }

  /** Returns the pages whose version has to be read again before their next write. */
  pagesToReread(): RegistryPage[] {
    return [...this.pages.values()].filter((page) => page.mustBeReread);
  }

  /** Begins a write of a page, and returns the change that stores its current content. */
  beginWrite(page: RegistryPage, now: MonotonicTime): PageWrite {
    const machines = [...page.machines];
    const records = [...page.preservedRecords, ...machines.map(recordOf)];
    page.beginWrite(now);
    const value = this.encode(records);
    return { change: { put: pageKey(page.index), value: value.page }, bytes: value.bytes, machines };
  }

  /**
   * Encodes a page with as many images per machine as fit. Images are only hints and may be left out, whereas the state
   * store would reject a page that is too large.
   */
  private encode(records: readonly MachineRecord[]): { page: unknown; bytes: number } {
    for (let images = MAX_IMAGES; ; images = Math.floor(images / 2)) {
      const page = encodePage(records, images);
      const bytes = storedBytes(page);
      if (images === 0 || bytes <= this.valueBytes * MAX_PAGE_SHARE_WITH_IMAGES) return { page, bytes };
    }
  }

  /** Records that a page with these machines is stored. Machines that moved to it are removed from their old pages. */
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
