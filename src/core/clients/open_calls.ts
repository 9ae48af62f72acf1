/** Calls to an outside service that await a reply, found again by their number. */
import type { CallId } from '../messages.js';

/** What is remembered of each call that went out. */
export class OpenCalls<T> {
  private readonly calls = new Map<CallId, T>();
  private lastCallId: CallId = 0;

  /** The number of calls without a reply so far. */
  get count(): number {
    return this.calls.size;
  }

  /** Remembers a call, and returns the number under which its reply comes. */
  add(call: T): CallId {
    this.lastCallId += 1;
    this.calls.set(this.lastCallId, call);
    return this.lastCallId;
  }

  /** Returns the call that a reply belongs to and forgets it; undefined where the reply came before. */
  take(callId: CallId): T | undefined {
    const call = this.calls.get(callId);
    this.calls.delete(callId);
    return call;
  }
}
