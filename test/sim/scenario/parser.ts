import { readFileSync } from 'node:fs';

/** A scenario as it stands in its file; docs/scenarios.md has the grammar. */
export interface Scenario {
  readonly file: string;
  readonly title: string;
  readonly lines: readonly ScenarioLine[];
}

/** A statement: its words, the first of which names it. */
export interface ScenarioLine {
  /** Its number in the file. */
  readonly number: number;
  readonly words: readonly string[];
}

/** The first words of a scenario's lines. */
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

/** Reads a file; throws, naming file and line, where a line begins with no statement. */
export function parseScenario(file: string): Scenario {
  return parseScenarioText(file, readFileSync(file, 'utf8'));
}

/** As `parseScenario`; `file` names the text in errors. */
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

/** The lines of a statement, in the order of the file. */
export const statements = (scenario: Scenario, statement: string): readonly ScenarioLine[] =>
  scenario.lines.filter(({ words }) => words[0] === statement);

/** The number of a statement that stands there once at most. */
export function numberStatement(scenario: Scenario, statement: string, defaultValue: number): number {
  return Number(statements(scenario, statement)[0]?.words[1] ?? defaultValue);
}

/** Returns `found`; throws, naming file and line, where a word of the scenario isn't known. */
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
