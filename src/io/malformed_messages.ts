/** Counts the messages that are dropped or refused for their form. */
import { logEntry } from '../core/log_events.js';
import type { Log } from './log.js';

/** Takes a description of a malformed message: whose it was, and what is wrong with it. */
export type OnMalformedMessage = (description: string) => void;

/** Counts always and logs at growing distances: a flood of bad messages must not become a flood of lines. */
export class MalformedMessages {
  private count = 0;

  constructor(private readonly log: Log) {}

  /** Counts one message. */
  readonly add: OnMalformedMessage = (description) => {
    this.count += 1;
    const isPowerOfTwo = (this.count & (this.count - 1)) === 0;
    if (isPowerOfTwo) this.log(logEntry('malformed message dropped', { description, count: this.count }));
  };
}
