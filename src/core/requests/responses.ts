/** Continuations and common responses of user requests. */
import type { UserResponse } from '../messages.js';

/** Sends the response to a request. It is called once. */
export type Respond = (response: UserResponse) => void;

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
