import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseScenarioText } from './sim/scenario/parser.js';
import { runScenario } from './sim/scenario/runner.js';
import { checkProperty } from './support/properties.js';
import { halfSeconds, machineName, scenarioLineWithin, constantWord as word } from './support/scenario_lines.js';

/*
 * Generated worlds in which leaders change while tasks fail, responses are lost and single machines are cut off: what a worker
 * shows of an earlier term meets what another machine does not show. Counter-examples are lines of a scenario: kept, they go to
 * test/scenarios/.
 */

/** CI plays so many worlds of each size; FC_RUNS and FC_SEED choose others for a long run. */
const SMALL_WORLDS = 400;
const LARGE_WORLDS = 25;

/** The machines of a world and the work that they are given. */
interface WorldSize {
  readonly machines: number;
  /** How many machines hear nothing round a takeover. */
  readonly deaf: number;
  /** How many machines a takeover finds silent. */
  readonly cut: number;
  readonly jobs: readonly string[];
  /** Cores that the team `limited` may use. */
  readonly cpuLimit: number;
}

const SMALL: WorldSize = {
  machines: 6,
  deaf: 1,
  cut: 1,
  jobs: [
    'every 6 66 4 submit job-1 array tasks=2 cpus=4 runtime=14',
    'at 7 submit job-200 gang tasks=2 cpus=4 runtime=30 checkpointInterval=5',
    'every 8 60 9 submit job-3 array team=limited tasks=2 cpus=3 runtime=16 checkpointInterval=4',
  ],
  cpuLimit: 9,
};
/** Arrays with an image each: the time that it takes to pull lies between a start and the failure that follows. */
const LARGE_ARRAYS = Array.from({ length: 30 }, (_, number) => {
  const at = 6 + 2 * number;
  return `at ${at} submit job-${100 + number} array tasks=40 cpus=4 runtime=10 image=img-${number} imageGb=3`;
});
const LARGE: WorldSize = {
  machines: 120,
  deaf: 30,
  cut: 40,
  jobs: [
    ...LARGE_ARRAYS,
    'every 7 60 13 submit job-200 gang tasks=6 cpus=4 runtime=20 checkpointInterval=5',
    'every 8 60 9 submit job-300 array team=limited tasks=20 cpus=3 runtime=16 checkpointInterval=4',
  ],
  cpuLimit: 120,
};

const machineOf = ({ machines }: WorldSize): fc.Arbitrary<string> => machineName(machines);
const scenarioLine = scenarioLineWithin(8, 70);

/** A machine begins to fail tasks so long before it goes deaf: earlier, it would be drained by then. */
const FAILING_BEFORE_SECONDS = 3;

/** Machines that fail tasks hear nothing from before a change of leader to after it, and others are cut off meanwhile. */
function takeover(size: WorldSize): fc.Arbitrary<string[]> {
  const group = fc.record({
    at: halfSeconds(14, 60),
    crash: fc.tuple(fc.constantFrom('leader', 'all'), halfSeconds(0.5, 3)),
    deafMachines: fc.uniqueArray(machineOf(size), { minLength: 1, maxLength: size.deaf }),
    isFailing: fc.boolean(),
    deaf: fc.record({ before: halfSeconds(0.5, 9), after: halfSeconds(0.5, 5) }),
    cut: fc.record({ before: halfSeconds(0, 2.5), after: halfSeconds(2, 12), how: fc.constantFrom('delay', 'drop') }),
    cutMachine: machineOf(size),
  });
  return group.map(({ at, crash, deafMachines, isFailing, deaf, cut, cutMachine }) => {
    const cutMachines = size.cut === 1 ? cutMachine : `some:${size.cut}`;
    return [
      ...deafMachines.flatMap((machine) => [
        ...(isFailing ? [`at ${at - deaf.before - FAILING_BEFORE_SECONDS} fail-tasks ${machine}`] : []),
        `at ${at - deaf.before} machine-inbound-loss ${machine} ${deaf.before + deaf.after}`,
      ]),
      `at ${at - cut.before} partition ${cutMachines} * ${cut.before + cut.after} ${cut.how}`,
      `at ${at} crash ${crash.join(' ')}`,
    ];
  });
}

function otherFault(size: WorldSize): fc.Arbitrary<string> {
  const machine = machineOf(size);
  return fc.oneof(
    scenarioLine(word('crash leader'), halfSeconds(0.5, 5)),
    scenarioLine(word('fail-tasks'), machine),
    scenarioLine(word('lose-heartbeats'), machine, halfSeconds(3, 12)),
    scenarioLine(word('hang'), machine, halfSeconds(2, 14)),
    scenarioLine(word('interruption-notice'), machine, halfSeconds(4, 10)),
    scenarioLine(word('store-outage'), halfSeconds(1, 12)),
    scenarioLine(word('add-latency leader 400'), halfSeconds(3, 15)),
    scenarioLine(word('duplicate-heartbeats'), halfSeconds(5, 40)),
    scenarioLine(word('cancel-running 2')),
  );
}

const troubles = (size: WorldSize): fc.Arbitrary<string[]> =>
  fc
    .tuple(
      fc.array(takeover(size), { minLength: 1, maxLength: 3 }).map((groups) => groups.flat()),
      fc.array(otherFault(size), { maxLength: 3 }),
    )
    .map((groups) => groups.flat());

function assertRulesHold({ machines, jobs, cpuLimit }: WorldSize, lines: readonly string[]): void {
  const setting = [
    `machines ${machines} c8 a`,
    `capacity ${machines}`,
    'team crew',
    `team limited cpuLimit=${cpuLimit}`,
  ];
  const text = [...setting, ...jobs, ...lines, 'until 330'].join('\n');
  const { world, failures } = runScenario(parseScenarioText('generated', `# generated\n${text}\n`), new Map());
  const { invariants } = world;
  const open = [...invariants.submitted.keys()].filter(
    (id) => invariants.isAccepted(id) && !invariants.finalStateOf(id),
  );
  assert.deepEqual([...failures, ...world.errors, ...open.map((id) => `${id} has not ended`)], []);
}

test('whatever an earlier leader knew of ended tasks, the next one starts nothing that still runs elsewhere', () => {
  const property = fc.property(troubles(SMALL), (lines) => assertRulesHold(SMALL, lines));
  checkProperty(import.meta.url, property, SMALL_WORLDS);
});

test('the same with many machines and tasks', () => {
  const property = fc.property(troubles(LARGE), (lines) => assertRulesHold(LARGE, lines));
  checkProperty(import.meta.url, property, LARGE_WORLDS);
});
