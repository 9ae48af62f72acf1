/** Looks up calls to an external service that await a reply, by call id. */
import type { CallId } from '../messages.js';

/** Calls that were sent and have received no reply. `T` is the data kept for each call. */
export class OpenCalls<T> {
  private readonly calls = new Map<CallId, T>();
  private lastCallId: CallId = 0;

  /** Number of calls without a reply. */
  get count(): number {
    return this.calls.size;
  }

  /** Adds a call, and returns the call id that its reply will carry. */
  add(call: T): CallId {
    this.lastCallId += 1;
    this.calls.set(this.lastCallId, call);
    return this.lastCallId;
  }

  /** Removes and returns the call with the given id, or returns undefined if its reply was already received. */
  take(callId: CallId): T | undefined {
    const call = this.calls.get(callId);
    this.calls.delete(callId);
    return call;
  }
}
