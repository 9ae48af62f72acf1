/** Reads the state that previous terms left in the state store, retries until that succeeds, and awaits machine types. */
import { readPrefix } from '../clients/state_store_reads.js';
import type { JobCache } from '../jobs/job_cache.js';
import type { StoredEntry } from '../messages.js';
import { MACHINE_PREFIX } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { Timer, TimerFactory } from '../timers.js';
import type { Revision } from '../types.js';

const RETRY_MS = 300;

type LoaderState =
  | { readonly kind: 'idle' }
  | { readonly kind: 'reading' }
  /**
   * The records have been read, but the machine types are not known. Only leaders write the pages, so they stay up to
   * date.
   */
  | { readonly kind: 'read'; readonly pages: readonly StoredEntry[] }
  /** The state was handed over, or the term is over. */
  | { readonly kind: 'ended' };

const IDLE: LoaderState = { kind: 'idle' };
const READING: LoaderState = { kind: 'reading' };
const ENDED: LoaderState = { kind: 'ended' };

/** What the loader needs from the leader. */
export interface LoaderCallbacks {
  /** Returns whether the machine types that the cloud offers are known. */
  hasMachineTypes(): boolean;
  /**
   * Receives the pages of the machine registry once both jobs and machines have been read and the machine types are
   * known.
   */
  onLoaded(pages: readonly StoredEntry[]): void;
}

/** Reads the machine registry and the job records. The reads begin after the leader key was acquired. */
export class StateLoader {
  private state: LoaderState = IDLE;
  private readonly retryTimer: Timer;

  constructor(
    private readonly context: StepContext,
    timers: TimerFactory,
    private readonly jobCache: JobCache,
    private readonly callbacks: LoaderCallbacks,
  ) {
    this.retryTimer = timers.create(() => this.load());
  }

  /** Whether the records have been read, so that only the machine types may be missing. */
  get hasReadRecords(): boolean {
    return this.state.kind === 'read';
  }

  /** Ends the loading. Responses to reads that are still in flight are ignored. */
  stop(): void {
    this.state = ENDED;
  }

  /**
   * Starts reading, or reads again after a failure. Has no effect while a read is in progress or after the loading
   * ended.
   */
  load(): void {
    if (this.state.kind !== 'idle') return;
    this.state = READING;
    const pages: StoredEntry[] = [];
    let pagesRead = false;
    let jobsRead = false;
    const onPart = (ok: boolean): void => {
      if (this.state.kind !== 'reading') return;
      if (!ok) this.retry();
      else if (pagesRead && jobsRead) this.onRecordsRead(pages);
    };
    const onMachinesRead = (revision: Revision | null): void => {
      pagesRead = revision !== null;
      onPart(pagesRead);
    };
    readPrefix(this.context.stateStore, MACHINE_PREFIX, ({ items }) => pages.push(...items), onMachinesRead);
    this.jobCache.read((ok) => {
      jobsRead = ok;
      onPart(ok);
    });
  }

  private retry(): void {
    this.state = IDLE;
    this.retryTimer.set(this.context.after(RETRY_MS));
  }

  private onRecordsRead(pages: readonly StoredEntry[]): void {
    this.state = { kind: 'read', pages };
    this.finishIfComplete();
  }

  /** Hands the state over once it is complete. Called when the machine types become known. */
  finishIfComplete(): void {
    if (this.state.kind !== 'read' || !this.callbacks.hasMachineTypes()) return;
    const { pages } = this.state;
    this.state = ENDED;
    this.callbacks.onLoaded(pages);
  }
}
