/**
 * Time limits that keep responses about one job in order, whichever controllers send them. A state that is not final is
 * sent only for a short time after its confirmation began. A final state is sent only once that time has passed since it
 * was stored, so no response with an earlier state follows it.
 */

/** Maximum time from the sending of the call that confirms an unfinished state to the response, in milliseconds. */
export const UNFINISHED_STATE_VALID_MS = 250;
/**
 * Minimum time from when a controller learns of a final state to a response with it, in milliseconds. It exceeds
 * `UNFINISHED_STATE_VALID_MS` by a late timer and the drift of clocks.
 */
export const FINAL_STATE_DELAY_MS = 300;
/** Age of a confirmation, in milliseconds, at which the state is confirmed again instead of being sent. */
export const MAX_CONFIRMATION_AGE_MS = 200;
/** Maximum number of times that the state is confirmed for one request. */
export const MAX_CONFIRMATIONS = 3;
