import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';

/** A settings problem: one line, naming file and field. */
export class SettingsError extends Error {}

/** Reads a TOML file; throws `SettingsError` where it can't be read or isn't TOML. */
export function readTomlFile(file: string): unknown {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(`${file}: cannot be read (${(error as NodeJS.ErrnoException).code ?? 'error'})`);
  }
  try {
    return parse(text);
  } catch (error) {
    throw new SettingsError(`${file}: not TOML: ${(error as Error).message.split('\n')[0]}`);
  }
}

/** Checks what was read from a file; fields that the schema doesn't name are ignored. */
export function parseSettings<S extends v.GenericSchema>(file: string, raw: unknown, schema: S): v.InferOutput<S> {
  const result = v.safeParse(schema, raw);
  if (result.success) return result.output;
  const issue = result.issues[0];
  throw new SettingsError(`${file}: ${v.getDotPath(issue) ?? '(top level)'}: ${issue.message}`);
}

// ---- kinds of value

export const positiveNumber = v.pipe(v.number(), v.finite(), v.gtValue(0));
export const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
export const numberBetween = (least: number, most: number) => v.pipe(v.number(), v.minValue(least), v.maxValue(most));
export const positiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1));
export const fraction = v.pipe(v.number(), v.gtValue(0), v.maxValue(1));
export const nonEmptyText = v.pipe(v.string(), v.minLength(1));
export const hostAndPort = v.pipe(v.string(), v.regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port'));
