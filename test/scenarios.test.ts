import assert from 'node:assert/strict';
import { readdirSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { parseScenario, runScenario } from './sim/scenario.js';

const dir = fileURLToPath(new URL('../../../test/scenarios/', import.meta.url));
const only = process.env.SCENARIO;

for (const file of readdirSync(dir).sort()) {
  if (!file.endsWith('.txt') || (only && !file.includes(only))) continue;
  const scenario = parseScenario(join(dir, file));
  test(`${file}: ${scenario.title}`, () => {
    const { world, failures } = runScenario(scenario);
    assert.deepEqual([...failures, ...world.errors], []);
  });
}
