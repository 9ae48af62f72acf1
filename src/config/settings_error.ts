/** The error of a refused setting. */
import { ApplicationError } from '../errors.js';

/** Why settings are refused. */
export type SettingsErrorCode = 'missingOption' | 'unreadableFile' | 'invalidToml' | 'renamedKey' | 'invalidValue';

/** Where a refused setting stands, and what is wrong with it. */
export interface SettingsProblem {
  /** The file as it was named on the command line; left out: the command line itself is at fault. */
  readonly file?: string;
  /** The dotted path of the field; left out: the whole file is at fault. */
  readonly field?: string;
  readonly problem: string;
  readonly cause?: unknown;
}

/** A refused setting. The message is one line, `file: field: problem`, that operators see as it is. */
export class SettingsError extends ApplicationError<SettingsErrorCode> {
  readonly file: string | null;
  readonly field: string | null;

  constructor(code: SettingsErrorCode, { file, field, problem, cause }: SettingsProblem) {
    super(code, [file, field, problem].filter((part) => part !== undefined).join(': '), cause);
    this.file = file ?? null;
    this.field = field ?? null;
  }
}
