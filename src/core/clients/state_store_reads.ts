/** Reads all entries under a key prefix of the state store, page by page. */
import type { StoredEntry } from '../messages.js';
import type { Revision } from '../types.js';
import type { StateStoreClient } from './state_store_client.js';

const PAGE_SIZE = 500;
const READ_PRIORITY = 1;

/** One page of the entries under a prefix, in the order of their keys. */
export interface EntryPage {
  readonly items: readonly StoredEntry[];
  /**
   * Revision of the first page of the read. The entries are as of this revision or later. A watch from it also returns
   * the changes made while later pages were read.
   */
  readonly revision: Revision;
}

/**
 * Reads all entries under a prefix, and passes each page on. `done` is called with the revision of the first page, or
 * null if one of the calls failed.
 */
export function readPrefix(
  stateStore: StateStoreClient,
  prefix: string,
  onPage: (page: EntryPage) => void,
  done: (revision: Revision | null) => void,
): void {
  let revision: Revision | null = null;
  const readPage = (after: string | null): void => {
    stateStore.call({ op: 'list', prefix, after, limit: PAGE_SIZE }, READ_PRIORITY, (result) => {
      if (!result.ok) {
        done(null);
        return;
      }
      const { items, more } = result.value;
      revision ??= result.value.revision;
      onPage({ items, revision });
      const last = items[items.length - 1];
      if (more && last) readPage(last.key);
      else done(revision);
    });
  };
  readPage(null);
}
