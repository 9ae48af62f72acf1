/** Numbers for messages between controllers. */

const IDS_PER_PROCESS = 2 ** 20;

/**
 * Numbers for messages to peers that await an answer. Peers may still answer what an earlier process of this controller asked,
 * so each process begins at a number drawn from its seed and its numbers don't come again.
 */
export class MessageIds {
  private last: number;

  /** `seed`: the random seed of the process. */
  constructor(seed: number) {
    this.last = (seed >>> 0) * IDS_PER_PROCESS;
  }

  /** Returns a number that this process has not used yet. */
  next(): number {
    this.last += 1;
    return this.last;
  }
}
