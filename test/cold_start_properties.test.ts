import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { JobId } from '../src/core/types.js';
import { loadOldVersions } from './sim/old_versions.js';
import { parseScenarioText } from './sim/scenario/parser.js';
import { runScenario } from './sim/scenario/runner.js';
import { checkProperty } from './support/properties.js';
import { constantWord, halfSeconds, machineName, scenarioLineWithin } from './support/scenario_lines.js';

/*
 * Generated scenarios in which all controllers crash and restart, together with other faults. A counterexample consists
 * of scenario lines. To keep one, add it to test/scenarios/.
 */

const oldVersions = await loadOldVersions();

const MACHINE_LINES = 'versions present\nzones a b\nmachines 2 c8 a\nmachines 2 c8 b\ncapacity 4\n';
const JOB_LINES = [
  'at 2 submit job-1 array tasks=20 runtime=25',
  'at 3 submit job-2 gang tasks=3 cpus=2 runtime=30 checkpointInterval=5',
  'at 4 submit job-3 array tasks=12 runtime=8 zoneSpread',
  'at 5 submit job-4 service tasks=2 cpus=1 runtime=1000 estimatedRuntime=0',
];
const END_LINES = ['at 200 cancel job-4', 'until 330'];

const machine = machineName(4);
const scenarioLine = scenarioLineWithin(8, 90);

const coldStart = scenarioLine(constantWord('crash all'), halfSeconds(0.5, 25));
const fault = fc.oneof(
  coldStart,
  scenarioLine(constantWord('crash leader'), halfSeconds(0.5, 6)),
  scenarioLine(constantWord('crash-at'), fc.constantFrom('before-acquire', 'after-acquire'), constantWord('2 0.2')),
  scenarioLine(
    constantWord('partition'),
    machine,
    constantWord('*'),
    halfSeconds(2, 25),
    fc.constantFrom('delay', 'drop'),
  ),
  scenarioLine(constantWord('interrupt'), machine),
  scenarioLine(constantWord('hang'), machine, halfSeconds(1, 20)),
  scenarioLine(constantWord('duplicate-heartbeats'), halfSeconds(5, 40)),
  scenarioLine(constantWord('delay-heartbeats'), machine, halfSeconds(2, 20)),
  scenarioLine(constantWord('delay-writes 0.3'), halfSeconds(2, 15)),
  scenarioLine(constantWord('store-outage'), halfSeconds(1, 15)),
  scenarioLine(constantWord('store-refuse leader'), halfSeconds(2, 15)),
  scenarioLine(constantWord('cancel'), fc.constantFrom('job-1', 'job-2', 'job-3')),
  scenarioLine(constantWord('downgrade perch-1 latest'), halfSeconds(0.5, 3)),
);

function runGeneratedScenario(lines: readonly string[]): ReturnType<typeof runScenario> {
  const text = [MACHINE_LINES, ...JOB_LINES, ...lines, ...END_LINES].join('\n');
  return runScenario(parseScenarioText('generated', `# generated\n${text}\n`), oldVersions);
}

test('with any faults around cold starts no invariant is violated, and every accepted job has a final state', () => {
  const faults = fc.tuple(coldStart, fc.array(fault, { minLength: 1, maxLength: 6 }));
  const property = fc.property(faults, ([first, rest]) => {
    const { world, failures } = runGeneratedScenario([first, ...rest]);
    const unfinished = ['job-1', 'job-2', 'job-3', 'job-4'].filter((id) => {
      return world.invariants.isAccepted(id as JobId) && !world.invariants.finalStateOf(id as JobId);
    });
    assert.deepEqual([...failures, ...world.errors, ...unfinished], []);
    assert.equal(world.leader()?.recoverySummary()?.unreconciledMachines ?? 0, 0);
  });
  checkProperty(import.meta.url, property, 60);
});

test('if records and workers agree, crashes of all controllers stop no task and start no task twice', () => {
  const crashAll = fc
    .tuple(halfSeconds(8, 60), halfSeconds(0.5, 7))
    .map(([at, restartAfter]) => `at ${at} crash all ${restartAfter}`);
  const property = fc.property(fc.array(crashAll, { minLength: 1, maxLength: 3 }), (crashes) => {
    const { world } = runGeneratedScenario(crashes);
    // Crashes that overlap may keep all controllers down for longer than a lease.
    fc.pre(world.expiredLeases === 0);
    assert.deepEqual(world.invariants.violations, []);
    const tasks = new Map([
      ['job-1', 20],
      ['job-2', 3],
      ['job-3', 12],
      ['job-4', 2],
    ]);
    for (const [id, count] of tasks) assert.ok((world.invariants.startsByJob.get(id as JobId) ?? 0) <= count, id);
  });
  checkProperty(import.meta.url, property, 30);
});
