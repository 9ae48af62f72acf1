/** Compares the words that scenarios accept with those that docs/scenarios.md documents. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, test } from 'node:test';
import { LIMITS } from './sim/deployment.js';
import { JOB_OPTIONS } from './sim/job_options.js';
import { checks } from './sim/scenario/checks/index.js';
import { events } from './sim/scenario/events/index.js';
import { STATEMENTS } from './sim/scenario/parser.js';

const page = readFileSync(new URL('../../../docs/scenarios.md', import.meta.url), 'utf8');

/** Returns the words in backticks in the first column of the tables under a second-level heading, sorted. */
function wordsUnder(heading: string): string[] {
  const section = page.split(/^## /m).find((text) => text.startsWith(`${heading}\n`)) ?? '';
  const cells = [...section.matchAll(/^\| (`[^|]*`) \|/gm)].map(([, cell]) => cell ?? '');
  return cells.flatMap((cell) => [...cell.matchAll(/`([^`]+)`/g)].map(([, word]) => word ?? '')).sort();
}

describe('docs/scenarios.md documents every word that scenarios accept, and no other', () => {
  const words: readonly (readonly [heading: string, known: readonly string[]])[] = [
    ['Statements', STATEMENTS],
    ['Limits', Object.keys(LIMITS)],
    ['Options of a job', JOB_OPTIONS],
    ['Events', Object.keys(events)],
    ['Checks', Object.keys(checks)],
  ];
  for (const [heading, known] of words) {
    test(heading.toLowerCase(), () => assert.deepEqual(wordsUnder(heading), [...known].sort()));
  }
});
