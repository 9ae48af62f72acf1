/** Reads all entries under a key prefix of the state store, page by page. */
import type { StoredEntry } from '../messages.js';
import type { Revision } from '../types.js';
import type { StateStoreClient } from './state_store_client.js';

const PAGE_SIZE = 500;
const READ_PRIORITY = 1;

/** All entries under a prefix. */
export interface PrefixRead {
  readonly items: readonly StoredEntry[];
  /** Revision of the first page. A watch from it also returns the changes made while later pages were read. */
  readonly revision: Revision;
}

/** Reads all entries under a prefix. `done` is called with null if one of the calls failed. */
export function readPrefix(
  stateStore: StateStoreClient,
  prefix: string,
  done: (read: PrefixRead | null) => void,
): void {
  const items: StoredEntry[] = [];
  let revision: Revision | null = null;
  const readPage = (after: string | null): void => {
    stateStore.call({ op: 'list', prefix, after, limit: PAGE_SIZE }, READ_PRIORITY, (result) => {
      if (!result.ok) {
        done(null);
        return;
      }
      items.push(...result.value.items);
      revision ??= result.value.revision;
      const last = items[items.length - 1];
      if (result.value.more && last) readPage(last.key);
      else done({ items, revision });
    });
  };
  readPage(null);
}
