/** Parses scenario files. */
import { readFileSync } from 'node:fs';

/** A parsed scenario file. docs/scenarios.md describes the grammar. */
export interface Scenario {
  readonly file: string;
  readonly title: string;
  readonly lines: readonly ScenarioLine[];
}

/** One statement. */
export interface ScenarioLine {
  /** The line number in the file, from 1. */
  readonly number: number;
  /** The first word is the name of the statement. */
  readonly words: readonly string[];
}

/** The names of all statements, which are the first words of the lines. */
export const STATEMENTS: readonly string[] = [
  'seed',
  'controllers',
  'zones',
  'capacity',
  'limits',
  'machines',
  'team',
  'at',
  'every',
  'until',
  'expect',
  'versions',
];

/** Reads and parses a scenario file. Throws with file and line if a line begins with an unknown statement. */
export function parseScenario(file: string): Scenario {
  return parseScenarioText(file, readFileSync(file, 'utf8'));
}

/** Parses the text of a scenario. `file` is the file name for error messages. */
export function parseScenarioText(file: string, text: string): Scenario {
  const lines: ScenarioLine[] = [];
  let title = file;
  text.split('\n').forEach((line, i) => {
    if (i === 0 && line.startsWith('#')) title = line.slice(1).trim();
    const words = line.replace(/#.*/, '').trim().split(/\s+/).filter(Boolean);
    if (words.length === 0) return;
    if (!STATEMENTS.includes(words[0] as string)) throw new Error(`${file}:${i + 1}: no statement ${words[0]}`);
    lines.push({ number: i + 1, words });
  });
  return { file, title, lines };
}

/** Returns the lines with the given statement, in the order of the file. */
export const statements = (scenario: Scenario, statement: string): readonly ScenarioLine[] =>
  scenario.lines.filter(({ words }) => words[0] === statement);

/** Returns the numeric argument of a statement that occurs at most once, or the default if it is absent. */
export function numberStatement(scenario: Scenario, statement: string, defaultValue: number): number {
  return Number(statements(scenario, statement)[0]?.words[1] ?? defaultValue);
}

/** Returns `found`. Throws with file and line if it is undefined, because `word` is not a known `what`. */
export function requireKnown<T>(
  scenario: Scenario,
  line: ScenarioLine,
  what: string,
  word: string | undefined,
  found: T | undefined,
): T {
  if (found === undefined) throw new Error(`${scenario.file}:${line.number}: no ${what} ${word}`);
  return found;
}
