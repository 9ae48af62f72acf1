/** Counts and logs messages that are dropped or rejected because they are malformed. */
import { logEntry } from '../core/log_events.js';
import type { Log } from './log.js';

/** Called with the description of a malformed message, which names its origin and the problem. */
export type OnMalformedMessage = (description: string) => void;

/**
 * Counts every malformed message, but logs one only when the count is a power of two. This keeps a flood of malformed
 * messages from flooding the log.
 */
export class MalformedMessages {
  private count = 0;

  constructor(private readonly log: Log) {}

  /** Counts one malformed message. */
  readonly add: OnMalformedMessage = (description) => {
    this.count += 1;
    const isPowerOfTwo = (this.count & (this.count - 1)) === 0;
    if (isPowerOfTwo) this.log(logEntry('malformed message dropped', { description, count: this.count }));
  };
}
