import type { JobCache } from '../jobs/job_cache.js';
import { jobKey } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { JobId } from '../types.js';
import type { EarlierTerms } from './earlier_terms.js';

/** Nobody but workers' tasks waits for these reads. */
const PRIORITY = 2;

/** Asks the store whether jobs that only workers know of are on record. */
export class RecordLookup {
  private stopped = false;

  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
    private readonly earlierTerms: EarlierTerms,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  readSuspected(): void {
    for (const id of this.earlierTerms.takeRecordsToRead()) this.read(id);
  }

  private read(id: JobId): void {
    this.context.callStateStore({ op: 'get', key: jobKey(id) }, PRIORITY, (result) => {
      if (this.stopped) return;
      const item = result.ok ? (result.value.item ?? null) : null;
      if (item) this.jobCache.update(item);
      this.earlierTerms.onRecordRead(id, result.ok ? item !== null : null);
    });
  }
}
