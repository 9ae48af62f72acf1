/** The error for invalid settings. */
import { ApplicationError } from '../errors.js';

/** Reasons for which settings are rejected. */
export type SettingsErrorCode = 'missingOption' | 'unreadableFile' | 'invalidToml' | 'renamedKey' | 'invalidValue';

/** Location of an invalid setting and the reason why it is invalid. */
export interface SettingsProblem {
  /** The file as named on the command line. Left out if the command line itself is invalid. */
  readonly file?: string;
  /** The dotted path of the field. Left out if the whole file is invalid. */
  readonly field?: string;
  readonly problem: string;
  readonly cause?: unknown;
}

/** An invalid setting. The message is one line, `file: field: problem`, and is shown to operators unchanged. */
export class SettingsError extends ApplicationError<SettingsErrorCode> {
  readonly file: string | null;
  readonly field: string | null;

  constructor(code: SettingsErrorCode, { file, field, problem, cause }: SettingsProblem) {
    super(code, [file, field, problem].filter((part) => part !== undefined).join(': '), cause);
    this.file = file ?? null;
    this.field = field ?? null;
  }
}
