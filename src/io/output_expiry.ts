/** Drops or replaces outputs of the core that expired before they were carried out. */
import type { Input, Output, UserResponse } from '../core/messages.js';
import type { MonotonicTime } from '../core/types.js';

/** The result that the core receives for a call that was not made because it had expired. */
const NOT_EXECUTED = { ok: false, error: { code: 'unavailable' } } as const;

const RETRY_LATER: UserResponse = { status: 503, problem: 'the answer came too late to be true', retryAfterSeconds: 1 };

/** The result of checking an output for expiry. */
export interface CheckedOutput {
  /** The output to carry out, or null if the output is dropped. */
  readonly output: Output | null;
  /** The input that the core receives in place of a service's reply, or null if it receives none. */
  readonly reply: Input | null;
}

/**
 * Checks whether an output has expired, immediately before it is carried out. The process may have been paused since
 * the step that produced the output. Expired responses may no longer be true and are replaced by refusals, and expired
 * calls are not made.
 */
export function checkExpiry(output: Output, now: MonotonicTime): CheckedOutput {
  const isExpired = 'expiresAt' in output && output.expiresAt !== undefined && now >= output.expiresAt;
  if (!isExpired) return { output, reply: null };
  switch (output.kind) {
    case 'userResponse':
      return { output: { ...output, response: RETRY_LATER }, reply: null };
    case 'heartbeatResponse':
      return { output: { ...output, response: { status: 503 } }, reply: null };
    case 'peerMessage':
      return { output: refusedPeerResponse(output), reply: null };
    case 'commandPush':
      return { output: null, reply: { kind: 'commandPushReply', callId: output.callId, result: NOT_EXECUTED } };
    case 'cloudCall':
      return { output: null, reply: { kind: 'cloudReply', callId: output.callId, result: NOT_EXECUTED } };
  }
}

/** Returns a refusal in place of an expired response to a peer. Returns null for other messages, which are not sent. */
function refusedPeerResponse(output: Extract<Output, { kind: 'peerMessage' }>): Output | null {
  const { message } = output;
  if (message.kind === 'heartbeatResponse') return { ...output, message: { ...message, response: { status: 503 } } };
  if (message.kind === 'requestResponse') return { ...output, message: { ...message, response: RETRY_LATER } };
  return null;
}
