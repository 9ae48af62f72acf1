import type { Input, Output, UserAnswer } from '../core/messages.js';
import type { Steady } from '../core/types.js';

const REFUSED = { ok: false, why: 'refused' } as const;

const ASK_AGAIN: UserAnswer = { status: 503, problem: 'the answer came too late to be true', retryAfterS: 1 };

/** What becomes of an output: what is carried out, and what the core is told instead of a reply. */
export interface CheckedOutput {
  readonly output: Output | null;
  readonly reply: Input | null;
}

/**
 * Looks at the clock once more at the moment at which an output leaves. The process may have stood still since the step
 * that made it: answers that may no longer be true are then replaced by refusals, and calls are not made.
 */
export function checkExpiry(output: Output, now: Steady): CheckedOutput {
  const isExpired = 'notAfter' in output && output.notAfter !== undefined && now >= output.notAfter;
  if (!isExpired) return { output, reply: null };
  switch (output.kind) {
    case 'answerUser':
      return { output: { ...output, answer: ASK_AGAIN }, reply: null };
    case 'answerWorker':
      return { output: { ...output, answer: { status: 503 } }, reply: null };
    case 'peer':
      return { output: refusedAnswer(output), reply: null };
    case 'worker':
      return { output: null, reply: { kind: 'workerReply', call: output.call, result: REFUSED } };
    case 'cloud':
      return { output: null, reply: { kind: 'cloudReply', call: output.call, result: REFUSED } };
  }
}

/** The answer to what a peer passed on, as a refusal. */
function refusedAnswer(output: Extract<Output, { kind: 'peer' }>): Output | null {
  const { message } = output;
  if (message.kind === 'reportAnswer') return { ...output, message: { ...message, answer: { status: 503 } } };
  if (message.kind === 'requestAnswer') return { ...output, message: { ...message, answer: ASK_AGAIN } };
  return null;
}
