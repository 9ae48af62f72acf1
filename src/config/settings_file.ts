/** Reads a TOML settings file and checks it against a schema. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { SettingsError } from './settings_error.js';

/** The content of a TOML file by top-level key. The values have not been checked. */
export type TomlDocument = Readonly<Record<string, unknown>>;

/** Returns the content of a TOML file. Throws `SettingsError` if the file cannot be read or is not valid TOML. */
export function readTomlFile(file: string): TomlDocument {
  return parseToml(file, readText(file));
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code ?? 'error';
    throw new SettingsError('unreadableFile', { file, problem: `cannot be read (${code})`, cause });
  }
}

function parseToml(file: string, text: string): TomlDocument {
  try {
    return parse(text);
  } catch (cause) {
    const [firstLine] = (cause as Error).message.split('\n');
    throw new SettingsError('invalidToml', { file, problem: `not TOML: ${firstLine}`, cause });
  }
}

/**
 * Returns the document as parsed by the schema, with defaults filled in. Throws `SettingsError` for the first value
 * that the schema rejects. Unknown keys are rejected by a strict schema and ignored by any other schema.
 */
export function parseSettings<Schema extends v.GenericSchema>(
  file: string,
  document: TomlDocument,
  schema: Schema,
): v.InferOutput<Schema> {
  const result = v.safeParse(schema, document);
  if (result.success) return result.output;
  const issue = result.issues[0];
  const field = v.getDotPath(issue) ?? '(top level)';
  throw new SettingsError('invalidValue', { file, field, problem: issue.message });
}
