/** Looks up whether jobs that only workers know of are on record. */
import type { JobCache } from '../jobs/job_cache.js';
import { jobKey } from '../records.js';
import type { PreviousTerms } from '../state/previous_terms.js';
import type { StepContext } from '../step_context.js';
import type { JobId } from '../types.js';

/** Nobody but workers' tasks waits for these reads. */
const LOOKUP_PRIORITY = 2;

/** Reads the records of suspected orphans from the state store. */
export class JobRecordLookup {
  private stopped = false;

  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
    private readonly previousTerms: PreviousTerms,
  ) {}

  /** Answers that still come are ignored. */
  stop(): void {
    this.stopped = true;
  }

  /** Looks up each job that was suspected since the last time. */
  lookUpSuspectedOrphans(): void {
    for (const id of this.previousTerms.takeRecordsToLookUp()) this.lookUp(id);
  }

  private lookUp(id: JobId): void {
    this.context.stateStore.call({ op: 'get', key: jobKey(id) }, LOOKUP_PRIORITY, (result) => {
      if (this.stopped) return;
      const item = result.ok ? result.value.item : null;
      if (item) this.jobCache.update(item);
      if (!result.ok) this.previousTerms.onRecordLookedUp(id, 'unavailable');
      else this.previousTerms.onRecordLookedUp(id, item ? 'present' : 'absent');
    });
  }
}
