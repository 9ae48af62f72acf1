/** Runs every scenario in test/scenarios, or those whose file name contains SCENARIO. */
import assert from 'node:assert/strict';
import { mkdtempSync, readdirSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { loadOldVersions } from './sim/old_versions.js';
import { parseScenario } from './sim/scenario/parser.js';
import { runScenario, usesOldVersions } from './sim/scenario/runner.js';

const scenarioDirectory = fileURLToPath(new URL('../../../test/scenarios/', import.meta.url));
const nameFilter = process.env.SCENARIO;

for (const file of readdirSync(scenarioDirectory).sort()) {
  if (!file.endsWith('.txt') || (nameFilter && !file.includes(nameFilter))) continue;
  const scenario = parseScenario(join(scenarioDirectory, file));
  test(`${file}: ${scenario.title}`, async () => {
    const { world, failures } = usesOldVersions(scenario)
      ? runScenario(scenario, await loadOldVersions())
      : runScenario(scenario);
    assert.deepEqual([...failures, ...world.errors], []);
  });
}

test('invalid input in a scenario file throws an error with file and line', () => {
  const file = join(mkdtempSync(join(tmpdir(), 'scenario-')), 'bad.txt');
  const fails = (text: string, expectedMessage: RegExp): void => {
    writeFileSync(file, text);
    assert.throws(() => runScenario(parseScenario(file)), expectedMessage);
  };
  fails('# title\nmachine 2 c8 a\n', /bad\.txt:2: no statement machine/);
  fails('# title\nuntil 1\nat 0 explode all\n', /bad\.txt:3: no event explode/);
  fails('# title\nuntil 1\nexpect luck\n', /bad\.txt:3: no check luck/);
  fails('# title\nmachines 2 c9 a\n', /bad\.txt:2: no machine type c9/);
});
