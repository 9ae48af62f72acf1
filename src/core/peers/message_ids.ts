/** Ids of messages between controllers. */

const IDS_PER_PROCESS = 2 ** 20;

/**
 * Generates ids for messages to peers that await a response. Peers may still respond to messages of an earlier process
 * of this controller. Each process therefore begins at an id derived from its random seed, so that ids are not reused
 * across restarts.
 */
export class MessageIds {
  private last: number;

  /** `seed` is the random seed of the process. */
  constructor(seed: number) {
    this.last = (seed >>> 0) * IDS_PER_PROCESS;
  }

  /** Returns an id that this process has not used yet. */
  next(): number {
    this.last += 1;
    return this.last;
  }
}
