import type { Context } from '../context.js';
import { CLOCK_DRIFT, maxJobViewAgeMs } from '../leadership/lease_bounds.js';
import type { StoredItem, StoreEvent } from '../messages.js';
import { decodeJob, JOB_PREFIX, type JobRecord } from '../records.js';
import { type JobId, type Revision, type Steady, steadyPlus } from '../types.js';

const WATCH_MS = 4000;
/** The leader asks more often: what starts depends on how fresh its view of cancellations is. */
const WATCH_LEADING_MS = 1000;
const PAGE = 500;
/** How long after one answer of the watch the next is asked for: each costs a call, and brings all that came meanwhile. */
const PACE_LEADING_MS = 120;
const PACE_MS = 800;

export interface CachedJob {
  readonly record: JobRecord;
  readonly version: Revision;
}

/**
 * A node's copy of the job records, kept up by a watch. It may lag, so nothing that isn't final is told from it alone: it
 * spares the reads, as one compare-only transaction then confirms many records at once (desk.ts).
 */
export class JobCache {
  private readonly jobs = new Map<JobId, CachedJob>();
  private watchFrom: Revision | null = null;
  private reading = false;
  private readAgain = false;
  private readCallbacks: ((ok: boolean) => void)[] = [];
  private watching = false;
  private leading = false;
  private readonly watchLeadingMs: number;
  /** What happened before this is known: when the last answered watch was sent, or when one that brought nothing ended. */
  currentAsOf: Steady;
  /** Told of each record that is newer than what was known. */
  onRecord: (item: CachedJob) => void = () => {};

  constructor(private readonly ctx: Context) {
    // Where `cancel_s` leaves little, the view has to be the fresher (tight-cancel.txt).
    this.watchLeadingMs = Math.min(WATCH_LEADING_MS, maxJobViewAgeMs(ctx.settings) / 4);
    this.currentAsOf = ctx.now.steady;
  }

  get(id: JobId): CachedJob | undefined {
    return this.jobs.get(id);
  }

  all(): Iterable<CachedJob> {
    return this.jobs.values();
  }

  get size(): number {
    return this.jobs.size;
  }

  setLeading(yes: boolean): void {
    this.leading = yes;
  }

  /** Reads everything anew, beginning after this moment; `then` hears once that is done or has failed. */
  read(then: (ok: boolean) => void = () => {}): void {
    this.readCallbacks.push(then);
    // A reading under way may have begun too early for this caller.
    if (this.reading) this.readAgain = true;
    else this.readAll();
  }

  onTimer(): void {
    if (this.watchFrom === null) {
      if (!this.reading) this.readAll();
    } else this.watch();
  }

  private readAll(): void {
    this.reading = true;
    this.readAgain = false;
    const sentAt = this.ctx.now.steady;
    let first: Revision | null = null;
    const items: StoredItem[] = [];
    const page = (after: string | null): void => {
      this.ctx.store({ op: 'list', prefix: JOB_PREFIX, after, limit: PAGE }, 1, (result) => {
        if (!result.ok) return this.readDone(false);
        items.push(...(result.value.items ?? []));
        // Changes made while later pages are read come again through the watch.
        first ??= result.value.revision ?? null;
        const last = items[items.length - 1];
        if (result.value.more && last) return page(last.key);
        for (const item of items) this.update(item);
        if (first !== null && (this.watchFrom === null || first > this.watchFrom)) this.watchFrom = first;
        if (sentAt > this.currentAsOf) this.currentAsOf = sentAt;
        this.readDone(true);
      });
    };
    page(null);
  }

  private readDone(ok: boolean): void {
    this.reading = false;
    if (this.readAgain) return this.readAll();
    const waiting = this.readCallbacks;
    this.readCallbacks = [];
    for (const w of waiting) w(ok);
    this.scheduleNext(ok ? 1 : 300);
  }

  private scheduleNext(ms: number): void {
    if (this.watching && this.watchFrom !== null) return;
    this.ctx.timers.set('jobCache', (this.ctx.now.steady + ms) as Steady);
  }

  private watch(): void {
    if (this.watching || this.watchFrom === null) return;
    this.watching = true;
    const waitMs = this.leading ? this.watchLeadingMs : WATCH_MS;
    let sentAt = this.ctx.now.steady;
    this.ctx.store(
      { op: 'watch', prefix: JOB_PREFIX, after: this.watchFrom, waitMs },
      1,
      (result) => {
        this.watching = false;
        if (!result.ok) {
          if (result.why === 'gone') {
            // Too far behind the store's changes: all is read again, as often as it takes.
            this.watchFrom = null;
            if (!this.reading) this.readAll();
            return;
          }
          return this.scheduleNext(250);
        }
        const events = result.value.events ?? [];
        // One that brings nothing has waited for its whole time first.
        const knownAt = events.length > 0 ? sentAt : steadyPlus(sentAt, waitMs * (1 - CLOCK_DRIFT));
        const freshAt = Math.min(knownAt, this.ctx.now.steady) as Steady;
        if (freshAt > this.currentAsOf) this.currentAsOf = freshAt;
        for (const e of events) this.applyEvent(e);
        const { revision } = result.value;
        if (revision !== undefined && this.watchFrom !== null && revision > this.watchFrom) this.watchFrom = revision;
        this.scheduleNext(this.leading ? PACE_LEADING_MS : PACE_MS);
      },
      waitMs + 2000,
      5000,
      (at) => {
        sentAt = at;
      },
    );
  }

  private applyEvent(event: StoreEvent): void {
    if ('drop' in event) return;
    this.update({ key: event.put, value: event.value, version: event.version });
  }

  /** A record as the store holds or held it; older ones than known are passed over. */
  update(item: StoredItem): CachedJob | null {
    const id = item.key.slice(JOB_PREFIX.length) as JobId;
    const known = this.jobs.get(id);
    if (known && known.version >= item.version) return known;
    const record = decodeJob(item.value);
    if (!record) {
      this.ctx.log('error', 'job record not understood', { key: item.key });
      return null;
    }
    const entry = { record, version: item.version };
    this.jobs.set(id, entry);
    this.onRecord(entry);
    return entry;
  }
}
