/** Reads the state that previous terms left in the state store, and retries until that succeeds. */
import { readPrefix } from '../clients/state_store_reads.js';
import type { JobCache } from '../jobs/job_cache.js';
import type { StoredEntry } from '../messages.js';
import { MACHINE_PREFIX } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { Timer, TimerFactory } from '../timers.js';

const RETRY_MS = 300;

/** `ended` means that everything has been read or that the term is over. */
type LoaderState = 'idle' | 'reading' | 'ended';

/** Reads the machine registry and the job records. The reads begin after the leader key was acquired. */
export class StateLoader {
  private state: LoaderState = 'idle';
  private readonly retryTimer: Timer;

  /** `onLoaded` receives the pages of the machine registry once both jobs and machines have been read. */
  constructor(
    private readonly context: StepContext,
    timers: TimerFactory,
    private readonly jobCache: JobCache,
    private readonly onLoaded: (pages: readonly StoredEntry[]) => void,
  ) {
    this.retryTimer = timers.create(() => this.load());
  }

  /** Ends the loading. Responses to reads that are still in flight are ignored. */
  stop(): void {
    this.state = 'ended';
  }

  /**
   * Starts reading, or reads again after a failure. Has no effect while a read is in progress or after the loading
   * ended.
   */
  load(): void {
    if (this.state !== 'idle') return;
    this.state = 'reading';
    let pages: readonly StoredEntry[] | null = null;
    let jobsRead = false;
    const onPart = (ok: boolean): void => {
      if (this.state !== 'reading') return;
      if (!ok) this.retry();
      else if (pages !== null && jobsRead) this.finish(pages);
    };
    readPrefix(this.context.stateStore, MACHINE_PREFIX, (read) => {
      pages = read?.items ?? null;
      onPart(read !== null);
    });
    this.jobCache.read((ok) => {
      jobsRead = ok;
      onPart(ok);
    });
  }

  private retry(): void {
    this.state = 'idle';
    this.retryTimer.set(this.context.after(RETRY_MS));
  }

  private finish(pages: readonly StoredEntry[]): void {
    this.state = 'ended';
    this.onLoaded(pages);
  }
}
