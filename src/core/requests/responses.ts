/** Continuations and common responses of user requests. */
import type { UserResponse } from '../messages.js';
import type { MonotonicTime } from '../types.js';

/**
 * Sends the response to a request. It is called once. `asOf` is the time at which the call that confirmed the response
 * was sent, or the present if it is omitted.
 */
export type Respond = (response: UserResponse, asOf?: MonotonicTime) => void;

/** Callbacks for the outcomes of a request, of which exactly one is called. */
export interface RequestContinuation {
  readonly respond: Respond;
  /** This controller's call to the state store failed. The request may succeed on another controller. */
  readonly onUnavailable: () => void;
}

/** Neither this controller nor a peer could reach the state store. */
export const STATE_STORE_UNAVAILABLE: UserResponse = {
  status: 503,
  problem: 'the state service does not answer',
  retryAfterSeconds: 1,
};

/** No job with this id is stored. */
export const JOB_NOT_FOUND: UserResponse = { status: 404, problem: 'no such job' };
