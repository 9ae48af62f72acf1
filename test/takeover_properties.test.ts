import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseScenarioText } from './sim/scenario/parser.js';
import { runScenario } from './sim/scenario/runner.js';
import { checkProperty } from './support/properties.js';
import { halfSeconds, machineName, scenarioLineWithin, constantWord as word } from './support/scenario_lines.js';

/*
 * Guards against a new leader that starts a task which still runs on another machine. In generated worlds the leader
 * changes while tasks fail, responses are lost and some machines are partitioned. One worker's status may then list an
 * attempt from the previous term while another attempt of the task runs on a partitioned machine. A counterexample
 * consists of scenario lines. To keep one, add it to test/scenarios/.
 */

/**
 * Number of worlds of each size in a CI run. FC_RUNS and FC_SEED select another number and other worlds for a long run.
 */
const SMALL_WORLDS = 400;
const LARGE_WORLDS = 25;

/** The machines of a world, its jobs, and how many machines a fault affects. */
interface WorldSize {
  readonly machines: number;
  /** Maximum number of machines that receive no messages around a takeover. */
  readonly maxInboundLossMachines: number;
  /** Number of machines that are partitioned during a takeover. */
  readonly partitionedMachines: number;
  readonly jobs: readonly string[];
  /** CPU limit of the team `limited`, in cores. */
  readonly cpuLimit: number;
}

const SMALL: WorldSize = {
  machines: 6,
  maxInboundLossMachines: 1,
  partitionedMachines: 1,
  jobs: [
    'every 6 66 4 submit job-1 array tasks=2 cpus=4 runtime=14',
    'at 7 submit job-200 gang tasks=2 cpus=4 runtime=30 checkpointInterval=5',
    'every 8 60 9 submit job-3 array team=limited tasks=2 cpus=3 runtime=16 checkpointInterval=4',
  ],
  cpuLimit: 9,
};
/** Arrays with a different image each, so that an image pull lies between the start of a task and its failure. */
const LARGE_ARRAYS = Array.from({ length: 30 }, (_, number) => {
  const at = 6 + 2 * number;
  return `at ${at} submit job-${100 + number} array tasks=40 cpus=4 runtime=10 image=img-${number} imageGb=3`;
});
const LARGE: WorldSize = {
  machines: 120,
  maxInboundLossMachines: 30,
  partitionedMachines: 40,
  jobs: [
    ...LARGE_ARRAYS,
    'every 7 60 13 submit job-200 gang tasks=6 cpus=4 runtime=20 checkpointInterval=5',
    'every 8 60 9 submit job-300 array team=limited tasks=20 cpus=3 runtime=16 checkpointInterval=4',
  ],
  cpuLimit: 120,
};

const machineOf = ({ machines }: WorldSize): fc.Arbitrary<string> => machineName(machines);
const scenarioLine = scenarioLineWithin(8, 70);

/**
 * Time from when a machine begins to fail tasks until it receives no messages. With more time it would be drained
 * first.
 */
const FAILING_BEFORE_SECONDS = 3;

/**
 * Generates faults around a change of leader: machines that may fail tasks receive no messages, others are partitioned.
 */
function takeoverFaults(size: WorldSize): fc.Arbitrary<string[]> {
  const group = fc.record({
    at: halfSeconds(14, 60),
    crash: fc.tuple(fc.constantFrom('leader', 'all'), halfSeconds(0.5, 3)),
    inboundLossMachines: fc.uniqueArray(machineOf(size), { minLength: 1, maxLength: size.maxInboundLossMachines }),
    isFailing: fc.boolean(),
    inboundLoss: fc.record({ before: halfSeconds(0.5, 9), after: halfSeconds(0.5, 5) }),
    partition: fc.record({
      before: halfSeconds(0, 2.5),
      after: halfSeconds(2, 12),
      how: fc.constantFrom('delay', 'drop'),
    }),
    partitionedMachine: machineOf(size),
  });
  return group.map(({ at, crash, inboundLossMachines, isFailing, inboundLoss, partition, partitionedMachine }) => {
    const targets = size.partitionedMachines === 1 ? partitionedMachine : `some:${size.partitionedMachines}`;
    return [
      ...inboundLossMachines.flatMap((machine) => [
        ...(isFailing ? [`at ${at - inboundLoss.before - FAILING_BEFORE_SECONDS} fail-tasks ${machine}`] : []),
        `at ${at - inboundLoss.before} machine-inbound-loss ${machine} ${inboundLoss.before + inboundLoss.after}`,
      ]),
      `at ${at - partition.before} partition ${targets} * ${partition.before + partition.after} ${partition.how}`,
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

const faultLines = (size: WorldSize): fc.Arbitrary<string[]> =>
  fc
    .tuple(
      fc.array(takeoverFaults(size), { minLength: 1, maxLength: 3 }).map((groups) => groups.flat()),
      fc.array(otherFault(size), { maxLength: 3 }),
    )
    .map((groups) => groups.flat());

function assertInvariantsHold({ machines, jobs, cpuLimit }: WorldSize, lines: readonly string[]): void {
  const setupLines = [
    `machines ${machines} c8 a`,
    `capacity ${machines}`,
    'team crew',
    `team limited cpuLimit=${cpuLimit}`,
  ];
  const text = [...setupLines, ...jobs, ...lines, 'until 330'].join('\n');
  const { world, failures } = runScenario(parseScenarioText('generated', `# generated\n${text}\n`), new Map());
  const { invariants } = world;
  const unfinished = [...invariants.submitted.keys()].filter(
    (id) => invariants.isAccepted(id) && !invariants.finalStateOf(id),
  );
  assert.deepEqual([...failures, ...world.errors, ...unfinished.map((id) => `${id} has not ended`)], []);
}

test('a new leader starts no task that still runs elsewhere, whatever the previous leader knew of ended tasks', () => {
  const property = fc.property(faultLines(SMALL), (lines) => assertInvariantsHold(SMALL, lines));
  checkProperty(import.meta.url, property, SMALL_WORLDS);
});

test('a new leader starts no task that still runs elsewhere, with many machines and tasks', () => {
  const property = fc.property(faultLines(LARGE), (lines) => assertInvariantsHold(LARGE, lines));
  checkProperty(import.meta.url, property, LARGE_WORLDS);
});
