/**
 * Times two builds beside each other in one process: reading of heartbeats, controllers' steps and steps with a planning
 * round, on the same seeded worlds, in turns. Prints a table with medians and the ratio of the second to the first; of a
 * world's steps each counts with its fastest run.
 *   node target/check/test/measure/speed.js NAME=DRIVER.js NAME=DRIVER.js
 * A driver is a module that exports `driver`, such as speed_driver.js beside this file; one for an earlier build says what it
 * needs by that build's names.
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

/** A seeded world, by names of its own, so that a driver of any build can make it. */
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

/** How long steps of controllers took, in nanoseconds, in their order; `rounds`: those that planned. */
export interface StepTimes {
  readonly steps: readonly number[];
  readonly rounds: readonly number[];
}

/** What a build's driver offers. */
export interface SpeedDriver {
  /** Operations to be timed by name, the same names from every driver, on a heartbeat as it comes over the wire. */
  heartbeatOperations(wireHeartbeat: unknown, tasks: number): Readonly<Record<string, () => unknown>>;
  playWorld(plan: WorldPlan): StepTimes;
}

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
  const took = Number(process.hrtime.bigint() - before);
  // Looked at, so that the compiler can't leave the operations out.
  if (last === undefined) throw new Error('an operation made nothing');
  return took / times;
}

/** How many times an operation fits into a batch. */
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

/** Batches of both sides in turns, so that whatever else the machine does meets both alike. */
function compareOperation(name: string, operations: readonly [() => unknown, () => unknown]): void {
  const sizes = operations.map(batchSize) as [number, number];
  const times: [number[], number[]] = [[], []];
  for (let batch = 0; batch < WARM_UP_BATCHES + BATCHES; batch++) {
    const order = batch % 2 === 0 ? ([0, 1] as const) : ([1, 0] as const);
    for (const side of order) {
      const took = timeBatch(operations[side], sizes[side]);
      if (batch >= WARM_UP_BATCHES) times[side].push(took);
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

/** Machines that are full twice over, with gangs, services and arrays of all priorities, submitted within half a minute. */
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

/** The fastest run of each step, at the same index: a run of the same plan takes the same steps, whatever else is busy. */
function fastest(runs: readonly (readonly number[])[]): number[] {
  const [first = [], ...others] = runs;
  if (others.some(({ length }) => length !== first.length)) throw new Error('runs of one plan differ in their steps');
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
  if (!first || !second) throw new Error('two drivers are needed: NAME=DRIVER.js NAME=DRIVER.js');
  const pair = [await loadSide(first), await loadSide(second)] as const;
  console.log(`| | ${pair[0].name} | ${pair[1].name} | ratio |\n|---|---|---|---|`);
  compareHeartbeats(pair);
  for (const machines of [30, 120]) compareWorld(pair, machines);
}

// A driver imports types of this module alone; run as a program it compares.
if (process.argv[1] && fileURLToPath(import.meta.url) === resolve(process.argv[1])) await main();
