/** Reads the state that previous terms left in the state store, until it works. */
import { readPrefix } from '../clients/state_store_reads.js';
import type { JobCache } from '../jobs/job_cache.js';
import type { StoredEntry } from '../messages.js';
import { MACHINE_PREFIX } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { Timer, TimerFactory } from '../timers.js';

const RETRY_MS = 300;

/** `ended`: everything has been read, or the term is over. */
type LoaderState = 'idle' | 'reading' | 'ended';

/** Machines and jobs are read as they stand after the leader key was acquired. */
export class StateLoader {
  private state: LoaderState = 'idle';
  private readonly retryTimer: Timer;

  /** `onLoaded` is given the registry's pages once jobs and machines are read. */
  constructor(
    private readonly context: StepContext,
    timers: TimerFactory,
    private readonly jobCache: JobCache,
    private readonly onLoaded: (pages: readonly StoredEntry[]) => void,
  ) {
    this.retryTimer = timers.create(() => this.load());
  }

  /** Answers that still come are ignored. */
  stop(): void {
    this.state = 'ended';
  }

  /** Begins to read, or to read again after a failure. Without effect while it reads. */
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
