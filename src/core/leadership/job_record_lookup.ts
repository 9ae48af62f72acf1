/** Looks up whether the state store holds records of jobs that are known only from workers' statuses. */
import type { JobCache } from '../jobs/job_cache.js';
import type { StoredEntry } from '../messages.js';
import { decodeJob, type JobRecord, jobKey } from '../records.js';
import type { PreviousTerms } from '../state/previous_terms.js';
import type { StepContext } from '../step_context.js';
import type { JobId, Revision } from '../types.js';

/** Priority of the lookups. Only tasks on workers wait for their results. */
const LOOKUP_PRIORITY = 2;

/**
 * Reads the records of suspected orphans from the state store. `onFound` is called with those that are found, also if the
 * job cache has them: the leader does not keep jobs long after their end.
 */
export class JobRecordLookup {
  private stopped = false;

  constructor(
    private readonly context: StepContext,
    private readonly jobCache: JobCache,
    private readonly previousTerms: PreviousTerms,
    private readonly onFound: (record: JobRecord, version: Revision) => void,
  ) {}

  /** Ignores the responses to lookups that are still in flight. */
  stop(): void {
    this.stopped = true;
  }

  /** Looks up the record of each job that has become a suspected orphan since the last call. */
  lookUpSuspectedOrphans(): void {
    for (const id of this.previousTerms.takeRecordsToLookUp()) this.lookUp(id);
  }

  private lookUp(id: JobId): void {
    this.context.stateStore.call({ op: 'get', key: jobKey(id) }, LOOKUP_PRIORITY, (result) => {
      if (this.stopped) return;
      const item = result.ok ? result.value.item : null;
      if (item) this.onItem(item);
      if (!result.ok) this.previousTerms.onRecordLookedUp(id, 'unavailable');
      else this.previousTerms.onRecordLookedUp(id, item ? 'present' : 'absent');
    });
  }

  private onItem(item: StoredEntry): void {
    this.jobCache.update(item);
    const record = decodeJob(item.value);
    if (record) this.onFound(record, item.version);
  }
}
