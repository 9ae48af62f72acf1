/**
 * Compares the speed of two builds in one process: the decoding of heartbeats, and the controllers' steps without and
 * with a planning round. Both builds take turns on the same seeded worlds. Prints a table with medians and the ratio
 * of the second build to the first. For each step of a world, the fastest run counts.
 *   node target/check/test/measure/speed.js NAME=DRIVER.js NAME=DRIVER.js
 * A driver is a module that exports `driver`, such as speed_driver.js in this directory. A driver for an earlier
 * build uses the names of that build.
 */
import { resolve } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';

interface JobPlan {
  readonly id: string;
  readonly kind: 'array' | 'gang' | 'service';
  readonly tasks: number;
  readonly cpus: number;
  readonly runSeconds: number;
  readonly priority: number;
  readonly atMs: number;
}

/** A seeded world, described without types of the core, so that a driver of any build can create it. */
export interface WorldPlan {
  readonly seed: number;
  readonly controllers: number;
  readonly machines: number;
  readonly zones: readonly string[];
  readonly machineType: {
    readonly name: string;
    readonly cpus: number;
    readonly gpus: number;
    readonly memoryGb: number;
  };
  readonly jobs: readonly JobPlan[];
  readonly seconds: number;
}

/** Durations of the controllers' steps in order, in nanoseconds. `rounds` has only the steps with a planning round. */
export interface StepTimes {
  readonly steps: readonly number[];
  readonly rounds: readonly number[];
}

/** The interface of a build's driver. */
export interface SpeedDriver {
  /** Returns the operations to time on a heartbeat in wire format, by name. All drivers must use the same names. */
  heartbeatOperations(wireHeartbeat: unknown, tasks: number): Readonly<Record<string, () => unknown>>;
  /** Runs a world and returns the durations of its controllers' steps. */
  playWorld(plan: WorldPlan): StepTimes;
}

/** A build in the comparison, with the name under which its driver was given. */
interface Side {
  readonly name: string;
  readonly driver: SpeedDriver;
}

type Pair = readonly [Side, Side];

const BATCH_MS = 8;
const BATCHES = 60;
const WARM_UP_BATCHES = 15;
const WORLD_RUNS = 7;
const WARM_UP_WORLD_RUNS = 2;
const HEARTBEAT_TASKS = [0, 2, 8, 40];
const NS_PER_MS = 1e6;
const NS_PER_US = 1e3;

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

function timeBatch(operation: () => unknown, times: number): number {
  let last: unknown;
  const before = process.hrtime.bigint();
  for (let i = 0; i < times; i++) last = operation();
  const elapsedNs = Number(process.hrtime.bigint() - before);
  // Using the result keeps the compiler from removing the operations.
  if (last === undefined) throw new Error('a timed operation returned undefined');
  return elapsedNs / times;
}

/** Returns how many times an operation must be repeated for a batch to take at least `BATCH_MS`. */
function batchSize(operation: () => unknown): number {
  let times = 16;
  while (timeBatch(operation, times) * times < BATCH_MS * NS_PER_MS) times *= 2;
  return times;
}

function printRow(what: string, unit: string, [first, second]: readonly [number, number]): void {
  const digits = unit === 'ns' ? 0 : 2;
  console.log(
    `| ${what} | ${first.toFixed(digits)} ${unit} | ${second.toFixed(digits)} ${unit} | ${(second / first).toFixed(3)} |`,
  );
}

function wireHeartbeat(tasks: number): unknown {
  const chicks = Array.from({ length: tasks }, (_, i) => ({
    chick: `job-${1000 + (i % 7)}/${i}`,
    hop: 3 + (i % 2),
    mood: i % 5 === 4 ? 'exited' : 'running',
    cause: i % 5 === 4 ? 'done' : null,
  }));
  const place = { breed: 'g8', grove: 'a', loaners: true };
  return {
    perch: 'i-000231',
    addr: '10.1.0.232:9000',
    ...place,
    roost: 2,
    chirp: 88,
    crest: 4123,
    warning_s: null,
    chicks,
  };
}

/** Runs batches of both builds in turns, so that other load on the computer affects both alike. */
function compareOperation(name: string, operations: readonly [() => unknown, () => unknown]): void {
  const sizes = operations.map(batchSize) as [number, number];
  const times: [number[], number[]] = [[], []];
  for (let batch = 0; batch < WARM_UP_BATCHES + BATCHES; batch++) {
    const order = batch % 2 === 0 ? ([0, 1] as const) : ([1, 0] as const);
    for (const side of order) {
      const nsPerOperation = timeBatch(operations[side], sizes[side]);
      if (batch >= WARM_UP_BATCHES) times[side].push(nsPerOperation);
    }
  }
  printRow(name, 'ns', [median(times[0]), median(times[1])]);
}

function compareHeartbeats([first, second]: Pair): void {
  for (const tasks of HEARTBEAT_TASKS) {
    const heartbeat = wireHeartbeat(tasks);
    const operations = first.driver.heartbeatOperations(heartbeat, tasks);
    const others = second.driver.heartbeatOperations(heartbeat, tasks);
    for (const [name, operation] of Object.entries(operations)) {
      const other = others[name];
      if (!other) throw new Error(`${second.name} has no operation ${name}`);
      compareOperation(name, [operation, other]);
    }
  }
}

/**
 * Returns a world whose jobs need twice the capacity of its machines. Gangs, services and arrays of all priorities are
 * submitted within half a minute.
 */
function makeWorldPlan(machines: number): WorldPlan {
  const kinds = ['array', 'array', 'gang', 'service'] as const;
  const jobs = Array.from({ length: machines }, (_, i): JobPlan => {
    const kind = kinds[i % kinds.length] ?? 'array';
    const tasks = kind === 'array' ? 10 + (i % 13) : 1 + (i % 4);
    const runSeconds = kind === 'service' ? 0 : 5 + ((i * 7) % 30);
    return { id: `job-${1000 + i}`, kind, tasks, cpus: 1 + (i % 3), runSeconds, priority: i % 4, atMs: 3000 + i * 250 };
  });
  const machineType = { name: 'c8', cpus: 8, gpus: 0, memoryGb: 32 };
  return { seed: 11, controllers: 3, machines, zones: ['a', 'b', 'c'], machineType, jobs, seconds: 60 };
}

/**
 * Returns the shortest duration of each step over all runs. Runs of the same plan take the same steps, whatever the
 * load on the computer, so steps correspond by index.
 */
function fastest(runs: readonly (readonly number[])[]): number[] {
  const [first = [], ...others] = runs;
  if (others.some(({ length }) => length !== first.length))
    throw new Error('runs of the same plan must have the same number of steps');
  return first.map((ns, i) => others.reduce((least, run) => Math.min(least, run[i] ?? least), ns));
}

function runWorlds(pair: Pair, plan: WorldPlan): [StepTimes[], StepTimes[]] {
  const runs: [StepTimes[], StepTimes[]] = [[], []];
  for (let run = 0; run < WARM_UP_WORLD_RUNS + WORLD_RUNS; run++) {
    const order = run % 2 === 0 ? ([0, 1] as const) : ([1, 0] as const);
    for (const side of order) {
      const times = pair[side].driver.playWorld(plan);
      if (run >= WARM_UP_WORLD_RUNS) runs[side].push(times);
    }
  }
  return runs;
}

const fastestRun = (runs: readonly StepTimes[]): StepTimes => ({
  steps: fastest(runs.map(({ steps }) => steps)),
  rounds: fastest(runs.map(({ rounds }) => rounds)),
});

function compareWorld(pair: Pair, machines: number): void {
  const [firstRuns, secondRuns] = runWorlds(pair, makeWorldPlan(machines));
  const [first, second] = [fastestRun(firstRuns), fastestRun(secondRuns)];
  const what = `${machines} machines`;
  const row = (name: string, unit: string, figure: (times: StepTimes) => number): void =>
    printRow(`${what}: ${name}`, unit, [figure(first), figure(second)]);
  row('a step, median', 'µs', ({ steps }) => median(steps) / NS_PER_US);
  row('a step with a planning round, median', 'µs', ({ rounds }) => median(rounds) / NS_PER_US);
  row('all steps with a planning round', 'ms', ({ rounds }) => sum(rounds) / NS_PER_MS);
  row('all other steps', 'ms', ({ steps, rounds }) => (sum(steps) - sum(rounds)) / NS_PER_MS);
  const counts = [first, second].map(({ steps, rounds }, i) => `${pair[i]?.name} ${steps.length}, ${rounds.length}`);
  console.log(`${what}: steps, and those with a planning round: ${counts.join('; ')}`);
}

async function loadSide(argument: string): Promise<Side> {
  const [name = '', file = ''] = argument.split('=');
  const { driver } = (await import(pathToFileURL(resolve(file)).href)) as { driver: SpeedDriver };
  return { name, driver };
}

async function main(): Promise<void> {
  const [first, second] = process.argv.slice(2);
  if (!first || !second) throw new Error('expected two drivers as arguments: NAME=DRIVER.js NAME=DRIVER.js');
  const pair = [await loadSide(first), await loadSide(second)] as const;
  console.log(`| | ${pair[0].name} | ${pair[1].name} | ratio |\n|---|---|---|---|`);
  compareHeartbeats(pair);
  for (const machines of [30, 120]) compareWorld(pair, machines);
}

// Drivers import only the types of this module. The comparison runs only if this module is the main program.
if (process.argv[1] && fileURLToPath(import.meta.url) === resolve(process.argv[1])) await main();
