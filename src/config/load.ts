import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';

/** A settings problem: one line, naming file and field. */
export class SettingsError extends Error {}

/** Reads a TOML file and checks it; fields the schema doesn't name are ignored. */
export function loadToml<S extends v.GenericSchema>(file: string, schema: S): v.InferOutput<S> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (e) {
    throw new SettingsError(`${file}: cannot be read (${(e as NodeJS.ErrnoException).code ?? 'error'})`);
  }
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (e) {
    throw new SettingsError(`${file}: not TOML: ${(e as Error).message.split('\n')[0]}`);
  }
  const result = v.safeParse(schema, raw);
  if (result.success) return result.output;
  const issue = result.issues[0];
  throw new SettingsError(`${file}: ${v.getDotPath(issue) ?? '(top level)'}: ${issue.message}`);
}

export const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
export const notNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
export const count = v.pipe(v.number(), v.integer(), v.minValue(1));
export const share = v.pipe(v.number(), v.gtValue(0), v.maxValue(1));
export const name = v.pipe(v.string(), v.minLength(1));
export const address = v.pipe(v.string(), v.regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port'));
