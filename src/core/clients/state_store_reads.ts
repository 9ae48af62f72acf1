/** Reads everything under a prefix of the state store. */
import type { StoredEntry } from '../messages.js';
import type { Revision } from '../types.js';
import type { StateStoreClient } from './state_store_client.js';

const PAGE_SIZE = 500;
const READ_PRIORITY = 1;

/** All values under a prefix. */
export interface PrefixRead {
  readonly items: readonly StoredEntry[];
  /** Of the first page: changes made while later pages were read come again through a watch from here. */
  readonly revision: Revision;
}

/** Reads all values under a prefix; `done` is given null where the state store gave no answer to one of the calls. */
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
