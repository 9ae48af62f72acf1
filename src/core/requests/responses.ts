/** How a user's request ends: what it is answered, and what becomes of it where the state store gives no answer. */
import type { UserResponse } from '../messages.js';

/** Answers a request; called once. */
export type Respond = (response: UserResponse) => void;

/** The ways in which a request goes on. */
export interface RequestContinuation {
  readonly respond: Respond;
  /** The state store gave this controller no answer: another one may get one. */
  readonly onUnavailable: () => void;
}

/** Neither this controller nor a peer got an answer of the state store. */
export const STATE_STORE_UNAVAILABLE: UserResponse = {
  status: 503,
  problem: 'the state service does not answer',
  retryAfterSeconds: 1,
};

/** No job is on record under the id. */
export const JOB_NOT_FOUND: UserResponse = { status: 404, problem: 'no such job' };
