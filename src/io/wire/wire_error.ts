/** The error for messages that violate their protocol. */
import { ApplicationError } from '../../errors.js';

/** Thrown for a malformed message or field. The error message names the field and may be sent back to the sender. */
export class WireError extends ApplicationError<'malformedMessage'> {
  constructor(problem: string, cause?: unknown) {
    super('malformedMessage', problem, cause);
  }
}

/** Returns the message of a `WireError`. Rethrows any other error. */
export function problemOf(error: unknown): string {
  if (!(error instanceof WireError)) throw error;
  return error.message;
}
