/** The base class of the errors that this program raises deliberately, as opposed to errors caused by bugs. */

/**
 * An error that callers identify by its `code`. The message is meant for people and may be printed or sent unchanged.
 */
export abstract class ApplicationError<Code extends string> extends Error {
  /** `cause` is the underlying error that led to this one, or undefined if there is none. */
  constructor(
    readonly code: Code,
    message: string,
    cause?: unknown,
  ) {
    super(message, cause === undefined ? undefined : { cause });
    this.name = new.target.name;
  }
}
