/** Refuses what the core put out and time has overtaken. */
import type { Input, Output, UserResponse } from '../core/messages.js';
import type { MonotonicTime } from '../core/types.js';

/** For a call that isn't made any more. */
const REFUSED = { ok: false, error: { code: 'unavailable' } } as const;

const RETRY_LATER: UserResponse = { status: 503, problem: 'the answer came too late to be true', retryAfterSeconds: 1 };

/** What becomes of an output. */
export interface CheckedOutput {
  /** What is carried out; null: nothing. */
  readonly output: Output | null;
  /** What the core is told in place of a reply; null: nothing. */
  readonly reply: Input | null;
}

/**
 * Checks the clock once more at the moment at which an output leaves. The process may have been paused since the step that
 * made it: responses that may no longer be true are then replaced by refusals, and calls are not made.
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
      return { output: null, reply: { kind: 'commandPushReply', callId: output.callId, result: REFUSED } };
    case 'cloudCall':
      return { output: null, reply: { kind: 'cloudReply', callId: output.callId, result: REFUSED } };
  }
}

/** Returns the response to what a peer forwarded as a refusal; null: the message is no response, and isn't sent. */
function refusedPeerResponse(output: Extract<Output, { kind: 'peerMessage' }>): Output | null {
  const { message } = output;
  if (message.kind === 'heartbeatResponse') return { ...output, message: { ...message, response: { status: 503 } } };
  if (message.kind === 'requestResponse') return { ...output, message: { ...message, response: RETRY_LATER } };
  return null;
}
