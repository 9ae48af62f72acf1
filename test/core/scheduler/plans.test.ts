import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { describe, test } from 'node:test';
import { type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { EvolutionarySearch } from '../../../src/core/scheduler/evolutionary_search.js';
import type { Plan, PlanJob, PlanMachine, PlannedStart } from '../../../src/core/scheduler/plan_types.js';
import { Planner } from '../../../src/core/scheduler/planner.js';
import type { PlacementPenalties } from '../../../src/core/scheduler/policy.js';
import type { ImageName, MachineType, MachineTypeName, ZoneName } from '../../../src/core/types.js';

/**
 * Compares plans of seeded random inputs with the recorded digests in golden/plans.txt, which has one line for each
 * seed. A change that intentionally alters plans replaces the file.
 */
const GOLDEN = 'test/golden/plans.txt';
const SEEDS = 300;
/** Interval between seeds with a fleet so large that the planner does not consider all machines. */
const LARGE_FLEET_SEED_INTERVAL = 50;

const ZONES = ['a', 'b', 'c'] as ZoneName[];
const IMAGES = ['i0', 'i1', 'i2', 'i3', 'i4'] as ImageName[];

const machineType = (name: string, cpus: number, gpus: number, memoryGb: number): MachineType => ({
  name: name as MachineTypeName,
  cpus,
  gpus,
  memoryGb,
  imageCacheGb: 100,
  imagePullGbPerSecond: 0.5,
  pricePerHour: 1,
  spotPricePerHour: 0.4,
  bootSeconds: 30,
  zones: ZONES,
});
const TYPES = [
  machineType('c8', 8, 0, 32),
  machineType('c64', 64, 0, 256),
  machineType('g4', 24, 4, 144),
  machineType('g8', 96, 8, 800),
];

/** Generates the random parts of an input. The same seed gives the same values. */
class Draw {
  private readonly random: RandomGenerator;

  constructor(seed: number) {
    this.random = xoroshiro128plus(seed);
  }

  int(from: number, to: number): number {
    return unsafeUniformIntDistribution(from, to, this.random);
  }

  chance(percent: number): boolean {
    return this.int(0, 99) < percent;
  }

  pick<T>(values: readonly T[]): T {
    return values[this.int(0, values.length - 1)] as T;
  }

  some<T>(values: readonly T[]): T[] {
    const chosen = values.filter(() => this.chance(60));
    return chosen.length > 0 ? chosen : [this.pick(values)];
  }
}

function drawMachine(draw: Draw, index: number): PlanMachine {
  const type = draw.pick(TYPES);
  const stepTimesSeconds = [draw.chance(20) ? draw.int(1, 60) : 0];
  const freeCpus = [draw.int(0, type.cpus)];
  const freeGpus = [draw.int(0, type.gpus)];
  const freeMemoryGb = [draw.int(0, type.memoryGb)];
  for (let ends = draw.int(0, 5); ends > 0; ends--) {
    stepTimesSeconds.push((stepTimesSeconds.at(-1) as number) + draw.int(1, 90));
    freeCpus.push(Math.min(type.cpus, (freeCpus.at(-1) as number) + draw.int(0, 8)));
    freeGpus.push(Math.min(type.gpus, (freeGpus.at(-1) as number) + draw.int(0, 2)));
    freeMemoryGb.push(Math.min(type.memoryGb, (freeMemoryGb.at(-1) as number) + draw.int(0, 32)));
  }
  const hasGpus = type.gpus > 0;
  const spareCpus = hasGpus ? draw.int(0, type.cpus / 2) : Number.POSITIVE_INFINITY;
  const spareMemoryGb = hasGpus ? draw.int(0, type.memoryGb / 2) : Number.POSITIVE_INFINITY;
  const pullSeconds = new Map(IMAGES.map((image) => [image, draw.chance(40) ? 0 : draw.int(1, 40) / 2]));
  return {
    index,
    zone: draw.pick(ZONES),
    type,
    spot: draw.chance(40),
    stepTimesSeconds,
    freeCpus,
    freeGpus,
    freeMemoryGb,
    spareCpus,
    spareMemoryGb,
    servesGpuWork: hasGpus && draw.chance(70),
    imagePullSeconds: (image) => pullSeconds.get(image) ?? 0,
    reservedForGangs: hasGpus && draw.chance(30),
    largestCachedImageShare: draw.int(0, 100) / 100,
  };
}

function drawJob(draw: Draw, index: number, machines: number): PlanJob {
  const isGang = draw.chance(30);
  const gpus = draw.chance(40) ? draw.pick([1, 2, 4, 8]) : 0;
  const isLarge = !isGang && draw.chance(5);
  const tasks = isGang ? draw.int(1, 6) : isLarge ? draw.int(400, 900) : draw.int(1, 30);
  const feasibleZones = draw.some(ZONES);
  const zoneLimit = Math.ceil(tasks / 2);
  return {
    index,
    isGang,
    tasks,
    durationSeconds: draw.int(5, 600),
    cpus: draw.pick([0, 0.5, 1, 2, 4, 8]),
    gpus,
    memoryGb: draw.pick([0, 1, 2.5, 8, 16]),
    image: draw.pick(IMAGES),
    imageGb: draw.int(1, 20),
    allowedMachineTypes: draw.chance(20) ? draw.some(TYPES).map(({ name }) => name) : null,
    fitsTypesWithoutGpus: gpus === 0 && draw.chance(60),
    toleratesSpot: draw.chance(60),
    spotDelaySeconds: draw.int(0, 20) / 4,
    singleZone: draw.chance(30),
    zoneAllowance: draw.chance(15) ? new Map(feasibleZones.map((zone) => [zone, draw.int(0, zoneLimit)])) : null,
    feasibleZones,
    requiredZone: null,
    priorityWeight: draw.pick([1, 4, 16, 64]),
    waitedSeconds: draw.int(0, 300),
    penaltyFactor: draw.pick([0, 0.5, 1]),
    excludedMachines: draw.chance(10) ? new Set([draw.int(0, machines - 1)]) : null,
  };
}

const drawPenalties = (draw: Draw): PlacementPenalties => ({
  gpuMachineSeconds: draw.int(0, 40),
  onDemandSeconds: draw.int(0, 20),
  reservedTypeSeconds: draw.int(0, 40),
  cachedImageSeconds: draw.int(0, 10),
  futureDiscount: draw.pick([0, 0.5, 1]),
  gangFutureDiscount: draw.pick([0, 0.5, 2]),
});

const startLine = ({ jobIndex, machineIndex, tasks, freeAtSeconds, startAtSeconds }: PlannedStart): unknown[] => [
  jobIndex,
  machineIndex,
  tasks,
  freeAtSeconds,
  startAtSeconds,
];

/**
 * Returns the content of a plan as nested lists without field names, so that renaming a field does not change digests.
 */
const planLines = (plan: Plan): unknown[] => [
  plan.starts.map(startLine),
  [...plan.unplacedTasks],
  plan.cost,
  plan.steps,
  plan.machines.map(({ stepTimesSeconds, freeCpus, freeGpus, freeMemoryGb, spareCpus, spareMemoryGb }) => [
    stepTimesSeconds,
    freeCpus,
    freeGpus,
    freeMemoryGb,
    String(spareCpus),
    String(spareMemoryGb),
  ]),
];

/** Freezes an object and its arrays, so that any later write to them throws. */
function freeze<T extends object>(value: T): T {
  for (const part of Object.values(value)) if (Array.isArray(part)) Object.freeze(part);
  return Object.freeze(value);
}

/**
 * Returns, as JSON, all plans for the input of one seed: the plan over all zones, two plans of the search, and the
 * subsequent backfill. The input is frozen, so that a planner that modifies it fails the test.
 */
function plansOf(seed: number): string {
  const draw = new Draw(seed);
  const isLargeFleet = seed % LARGE_FLEET_SEED_INTERVAL === 0;
  const fleet = isLargeFleet ? draw.int(900, 1300) : draw.int(1, 60);
  const machines = Array.from({ length: fleet }, (_, index) => freeze(drawMachine(draw, index)));
  const jobs = Array.from({ length: draw.int(1, isLargeFleet ? 10 : 25) }, (_, index) =>
    freeze(drawJob(draw, index, fleet)),
  );
  const backfillJobs = Array.from({ length: draw.int(1, 20) }, (_, i) => freeze(drawJob(draw, jobs.length + i, fleet)));
  const planner = new Planner(
    { averageWait: 1, maximumWait: draw.int(0, 2), idleShare: draw.int(0, 50) },
    drawPenalties(draw),
  );
  const overAllZones = planner.plan(machines, jobs, null);
  const settings = { populationSize: 8, generations: 5, mutationRate: 0.3, maxPlanSteps: 40_000 };
  const evolution = new EvolutionarySearch(planner, xoroshiro128plus(seed), settings);
  const best = evolution.search(machines, jobs);
  const seeded = evolution.search(
    machines,
    jobs,
    jobs.map(({ feasibleZones }) => feasibleZones[0] as ZoneName),
  );
  const backfilled = planner.backfill(seeded, backfillJobs, draw.pick([200, 20_000]));
  return JSON.stringify([
    planLines(overAllZones),
    planLines(best),
    planLines(seeded),
    backfilled.map(startLine),
    planner.steps,
  ]);
}

describe('plans', () => {
  test('the same inputs and seeds give exactly the recorded plans, and the inputs are not modified', () => {
    const lines: string[] = [];
    for (let seed = 1; seed <= SEEDS; seed++) {
      lines.push(`${seed} ${createHash('sha256').update(plansOf(seed)).digest('hex')}`);
    }
    assert.deepEqual(lines, readFileSync(GOLDEN, 'utf8').trimEnd().split('\n'));
  });
});
