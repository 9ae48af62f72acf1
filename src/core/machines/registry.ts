import type { Change, StoredItem } from '../messages.js';
import { decodePage, encodePage, MACHINE_PREFIX, type MachineRecord, pageKey } from '../records.js';
import { ABSENT, type MachineId, type Revision, type Steady } from '../types.js';
import type { Machine } from './machine.js';

/** What a page's text may take of the store's limit for a value, and what one machine with its hints is reckoned at. */
const PAGE_SHARE = 0.95;
const MACHINE_BYTES = 190;
/** Hints alone are written this rarely. */
const HINTS_MS = 8000;

export interface Page {
  readonly no: number;
  readonly machines: Set<Machine>;
  /** What else is on it, kept as it is. */
  readonly keptRecords: MachineRecord[];
  /** Machines on their way to another page: they stay on this one until that is on record. */
  readonly leaving: Map<Machine, Page>;
  version: Revision;
  /** A machine in it must be on record before it may be used; or one is gone; or only its images have changed. */
  urgent: boolean;
  needsRewrite: boolean;
  hintsChanged: boolean;
  writeInFlight: boolean;
  /** The outcome of a write is unknown: its version has to be read before the next. */
  versionUnknown: boolean;
  writtenAt: Steady;
}

/**
 * The machines that may ever be sent a command, as the store holds them: pages of many machines each, so that renting a
 * hundred costs a few changes and a new leader reads a few records.
 */
export class Registry {
  private readonly pages = new Map<number, Page>();
  private readonly pageOf = new Map<MachineId, Page>();
  private perPage = 1;
  /** Pages that aren't understood. */
  private readonly unreadablePages = new Set<number>();

  constructor(private valueBytes: number) {
    this.limitPages(valueBytes);
  }

  /** Pages are kept to so much text from now on; larger ones are spread over others, machine by machine. */
  limitPages(valueBytes: number): void {
    this.valueBytes = valueBytes;
    this.perPage = Math.max(1, Math.floor((valueBytes * PAGE_SHARE) / MACHINE_BYTES));
    for (const page of [...this.pages.values()]) this.spread(page);
  }

  /** An earlier build, or other limits, may have left a page larger than may be written now. */
  spread(page: Page): void {
    if (page.leaving.size > 0) return;
    const machines = [...page.machines];
    while (machines.length > 1 && (machines.length > this.perPage || !this.fits(machines))) {
      const machine = machines.pop() as Machine;
      if (machine.registered) {
        const to = this.assignPage(machine, page);
        page.leaving.set(machine, to);
      } else {
        page.machines.delete(machine);
        this.assignPage(machine, page).urgent = true;
      }
    }
  }

  spreadAll(): void {
    for (const page of [...this.pages.values()]) this.spread(page);
  }

  /** Its machines are on another page too: that one holds, and this is written without them. */
  rewriteWithoutDuplicates(key: string): void {
    const page = this.pages.get(Number(key.slice(MACHINE_PREFIX.length)));
    if (page) page.needsRewrite = true;
  }

  /** A page is on record as it was with these machines: those that came from other pages may leave them. */
  onPageStored(page: Page, machines: readonly Machine[]): void {
    for (const from of this.pages.values()) {
      if (from.leaving.size === 0) continue;
      for (const machine of machines) {
        if (from.leaving.get(machine) !== page) continue;
        from.leaving.delete(machine);
        from.machines.delete(machine);
        from.needsRewrite = true;
      }
    }
  }

  private fits(machines: readonly Machine[]): boolean {
    return JSON.stringify(encodePage(machines.map(machineRecord), 0)).length <= this.valueBytes * PAGE_SHARE;
  }

  /** Puts a machine on a page with room, other than `not`; the page is written before long. */
  private assignPage(machine: Machine, not: Page | null): Page {
    let page: Page | undefined;
    for (const p of this.pages.values()) {
      if (p === not || p.leaving.size > 0 || p.machines.size >= this.perPage) continue;
      if ((page === undefined || p.machines.size > page.machines.size) && this.fits([...p.machines, machine])) page = p;
    }
    if (!page) {
      page = this.emptyPage(this.pages.size, ABSENT);
      while (this.pages.has(page.no) || this.unreadablePages.has(page.no)) page = this.emptyPage(page.no + 1, ABSENT);
      this.pages.set(page.no, page);
    }
    page.machines.add(machine);
    page.needsRewrite = true;
    this.pageOf.set(machine.id, page);
    return page;
  }

  /** Takes in a stored page and names the machines on it. */
  load(item: StoredItem): MachineRecord[] {
    const no = Number(item.key.slice(MACHINE_PREFIX.length));
    const records = decodePage(item.value);
    if (!records || !Number.isSafeInteger(no)) {
      // Not ours to write over: a later build may have put it there.
      if (Number.isSafeInteger(no)) this.unreadablePages.add(no);
      return [];
    }
    this.pages.set(no, this.emptyPage(no, item.version));
    return records;
  }

  private emptyPage(no: number, version: Revision): Page {
    return {
      no,
      machines: new Set(),
      keptRecords: [],
      leaving: new Map(),
      version,
      urgent: false,
      needsRewrite: false,
      hintsChanged: false,
      writeInFlight: false,
      versionUnknown: false,
      writtenAt: 0 as Steady,
    };
  }

  /** A machine of a type that is not known now: its record stays as it is. */
  keepUnknown(key: string, record: MachineRecord): void {
    this.pages.get(Number(key.slice(MACHINE_PREFIX.length)))?.keptRecords.push(record);
  }

  /** Puts a machine that was read from a page back on it. */
  restore(machine: Machine, key: string): void {
    const page = this.pages.get(Number(key.slice(MACHINE_PREFIX.length)));
    if (!page) return;
    page.machines.add(machine);
    this.pageOf.set(machine.id, page);
    machine.registered = true;
  }

  add(machine: Machine): void {
    if (this.pageOf.has(machine.id)) return;
    this.assignPage(machine, null).urgent = true;
  }

  remove(id: MachineId): void {
    const page = this.pageOf.get(id);
    if (!page) return;
    this.pageOf.delete(id);
    for (const m of page.machines) if (m.id === id) page.machines.delete(m);
    page.needsRewrite = true;
    for (const from of this.pages.values()) {
      for (const machine of from.leaving.keys()) {
        if (machine.id !== id) continue;
        from.leaving.delete(machine);
        from.machines.delete(machine);
        from.needsRewrite = true;
      }
    }
  }

  collectHints(): void {
    for (const page of this.pages.values()) {
      if (page.hintsChanged) continue;
      for (const machine of page.machines) {
        if (!machine.imagesChanged) continue;
        page.hintsChanged = true;
        break;
      }
    }
  }

  /** Pages to write, the most pressing first; without tokens to spare only what can't wait. */
  duePages(now: Steady, spare: boolean): Page[] {
    const found: Page[] = [];
    for (const page of this.pages.values()) {
      // One that is being spread is too large to be written until the others have left.
      if (page.writeInFlight || page.versionUnknown || page.leaving.size > 0) continue;
      if (page.urgent || page.needsRewrite || (page.hintsChanged && spare && now - page.writtenAt > HINTS_MS))
        found.push(page);
    }
    return found.sort((a, b) => Number(b.urgent) - Number(a.urgent) || Number(b.needsRewrite) - Number(a.needsRewrite));
  }

  lostPages(): Page[] {
    return [...this.pages.values()].filter((p) => p.versionUnknown && !p.writeInFlight);
  }

  /** The change that brings the store up to date with a page; `bytes` is about its size. */
  changeFor(page: Page): { change: Change; bytes: number; machines: Machine[] } {
    const machines = [...page.machines];
    const records = [...page.keptRecords, ...machines.map(machineRecord)];
    for (let images = IMAGES_MOST; ; images = Math.floor(images / 2)) {
      const value = encodePage(records, images);
      const bytes = JSON.stringify(value).length;
      // A hint less is no loss; a page that the store refuses would be.
      if (bytes > this.valueBytes * 0.97 && images > 0) continue;
      return { change: { put: pageKey(page.no), value }, bytes, machines };
    }
  }
}

const IMAGES_MOST = 16;

const machineRecord = (machine: Machine): MachineRecord => ({
  id: machine.id,
  addr: machine.addr,
  type: machine.typeName,
  zone: machine.zone,
  spot: machine.spot,
  images: machine.cachedImages(),
  fetchSpeed: machine.fetchSpeed,
});
