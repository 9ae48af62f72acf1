/** The base of the errors that this program raises itself, as opposed to faults of the code. */

/** An error that a caller tells from others by its `code`; the message is for people and may be printed or sent as it is. */
export abstract class ApplicationError<Code extends string> extends Error {
  /** `cause` is the error from below that led to this one; undefined: none did. */
  constructor(
    readonly code: Code,
    message: string,
    cause?: unknown,
  ) {
    super(message, cause === undefined ? undefined : { cause });
    this.name = new.target.name;
  }
}
