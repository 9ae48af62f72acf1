/** The error of a message that breaks its protocol. */
import { ApplicationError } from '../../errors.js';

/** A message, or a field of it, that isn't what the protocol says. The message names the field and may be sent back. */
export class WireError extends ApplicationError<'malformedMessage'> {
  constructor(problem: string, cause?: unknown) {
    super('malformedMessage', problem, cause);
  }
}

/** Returns the message of a `WireError`; throws any other error on. */
export function problemOf(error: unknown): string {
  if (!(error instanceof WireError)) throw error;
  return error.message;
}
