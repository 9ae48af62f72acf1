import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, test } from 'node:test';
import { LOG_EVENTS, type LogLevel, logEntry } from '../../src/core/log_events.js';
import type { FencingToken } from '../../src/core/types.js';

const operations = readFileSync(new URL('../../../../docs/operations.md', import.meta.url), 'utf8');

/** Returns the events in the operators' table, each with the level that its row states. The default is `info`. */
function documentedEvents(): Map<string, LogLevel> {
  const table = operations.slice(operations.indexOf('## Log lines'), operations.indexOf('## Renewing'));
  const events = new Map<string, LogLevel>();
  for (const row of table.split('\n').filter((line) => line.startsWith('| `'))) {
    const cell = row.split('|')[1] ?? '';
    // A level after the last event of a cell applies to all events in the cell that have no level of their own.
    const level = (/\((error|debug)\)\s*$/.exec(cell)?.[1] ?? 'info') as LogLevel;
    for (const [, event, own] of cell.matchAll(/`([^`]+)`(?: \((error|info|debug)\))?/g)) {
      assert.ok(event !== undefined && !events.has(event), `${event} is documented in two rows`);
      events.set(event, (own as LogLevel | undefined) ?? level);
    }
  }
  return events;
}

describe('log events', () => {
  test("the operators' table lists exactly the events of the catalogue, with their levels", () => {
    const catalogue = Object.entries(LOG_EVENTS).map(([event, { level }]) => `${event} (${level})`);
    const documented = [...documentedEvents()].map(([event, level]) => `${event} (${level})`);
    assert.deepEqual(documented.sort(), catalogue.sort());
  });

  test('each event is a phrase in lower case', () => {
    for (const event of Object.keys(LOG_EVENTS)) assert.match(event, /^[a-z][a-z: ]+$/);
  });

  test('a log line has the level of its event', () => {
    const fields = { fencingToken: 7n as FencingToken, term: 3 };
    assert.deepEqual(logEntry('leader elected', fields), { level: 'info', event: 'leader elected', fields });
  });
});
