import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ImageName, MachineType, TeamName, TeamQuota, ZoneName } from '../src/core/types.js';
import { CURRENT_BUILD } from './sim/build.js';
import { type JobOptions, makeJobSpec } from './sim/job_options.js';
import { C8, G4 } from './sim/machine_types.js';
import { events } from './sim/scenario/events/index.js';
import { World } from './sim/world.js';

/*
 * Days without faults in which a crowd of jobs has no room and other jobs wait behind it, while the owners' estimates
 * of run times are wrong by half. On every third day, a machine becomes slow. The cloud has no further machines. The environment variables SEED_FROM and SEEDS
 * select the first seed and the number of seeds.
 */

/** Number of jobs in the crowd. It exceeds the number of jobs that a round looks at. */
const CROWD_JOBS = 320;
/** Number of jobs for which there may be room behind the crowd. */
const OTHER_JOBS = 24;
const DAY_SECONDS = 420;
/** Time within which the jobs are submitted, in seconds. */
const SUBMISSIONS_END_SECONDS = 200;

const zones = ['a', 'b'] as ZoneName[];
const machineTypes = [C8, G4].map((type) => ({ ...type, zones }));
const makeTeam = (name: string, gpuLimit: number): TeamQuota => ({
  name: name as TeamName,
  guaranteed: { cpus: 0, gpus: 0 },
  limit: { cpus: 0, gpus: gpuLimit },
});
const teams = [makeTeam('red', 5), makeTeam('blue', 0)];

/** What keeps the jobs of a crowd from starting. */
const OBSTACLES = ['gpus', 'cores', 'zone', 'type'] as const;

class CrowdedDay {
  readonly world: World;
  private readonly hasSlowMachine: boolean;
  private jobCount = 0;

  constructor(seed: number) {
    const machines = 3 + (seed % 5);
    this.hasSlowMachine = seed % 3 === 0;
    this.world = new World({
      seed,
      controllers: 3,
      zones,
      teams,
      types: machineTypes,
      capacity: machines,
      tuning: CURRENT_BUILD.tuning,
    });
    const { cloud, clock } = this.world;
    for (let i = 0; i < machines; i++) {
      cloud.addMachine(machineTypes[i % 2] as MachineType, clock.pickRandom(zones), false, 1);
    }
  }

  run(): void {
    const { world } = this;
    const { clock } = world;
    world.startControllers();
    if (this.hasSlowMachine) clock.schedule(20_000, () => events['slow-machine']?.(world, ['busy']));
    for (let i = 0; i < 6; i++) this.submitAt(clock.randomBetween(1, 4), 'array', this.longWork());
    const obstacle = clock.pickRandom(OBSTACLES);
    for (let i = 0; i < CROWD_JOBS; i++) this.submitAt(clock.randomBetween(8, 40), 'array', this.crowdJob(obstacle));
    for (let i = 0; i < OTHER_JOBS; i++) {
      const kind = clock.pickRandom(['array', 'array', 'gang', 'service'] as const);
      this.submitAt(clock.randomBetween(5, SUBMISSIONS_END_SECONDS), kind, this.otherJob());
    }
    clock.runUntil(DAY_SECONDS * 1000);
  }

  private submitAt(atS: number, kind: 'array' | 'gang' | 'service', options: JobOptions): void {
    this.jobCount += 1;
    const { clock, users } = this.world;
    const image = `img-${this.jobCount % 4}` as ImageName;
    const spec = { ...makeJobSpec(`job-${1000 + this.jobCount}`, kind, options), image };
    const runtimeMs = kind === 'service' ? 1e9 : Number(options.runtime) * 1000;
    clock.schedule(atS * 1000, () => users.submit(spec, runtimeMs));
  }

  /** Draws a run time, and an estimate that is right, half of it, or one and a half times as long. */
  private runtime(from: number, to: number): JobOptions {
    const { clock } = this.world;
    const runtime = Math.round(clock.randomBetween(from, to));
    return { runtime: String(runtime), estimatedRuntime: String(runtime * clock.pickRandom([1, 0.5, 0.5, 1.5])) };
  }

  /** Work that takes GPUs and cores for minutes. */
  private longWork(): JobOptions {
    const { clock } = this.world;
    return {
      ...this.runtime(100, 300),
      tasks: clock.pickRandom(['2', '3', '4']),
      cpus: clock.pickRandom(['2', '3', '5']),
      gpus: clock.pickRandom(['0', '1', '1']),
      zone: clock.pickRandom(zones),
      team: 'blue',
    };
  }

  private crowdJob(obstacle: (typeof OBSTACLES)[number]): JobOptions {
    const { clock } = this.world;
    const base: JobOptions = {
      ...this.runtime(60, 200),
      team: 'blue',
      priorityLevel: clock.pickRandom(['1', '2']),
      tasks: clock.pickRandom(['1', '2', '5']),
      memoryGb: String(clock.randomBetween(1, 9)),
      cpus: String(clock.randomBetween(1, 4)),
    };
    switch (obstacle) {
      case 'gpus':
        return { ...base, gpus: clock.pickRandom(['2', '3', '4']) };
      case 'cores':
        return { ...base, cpus: String(clock.randomBetween(7, 20)) };
      case 'zone':
        return { ...base, zone: 'b', cpus: String(clock.randomBetween(3, 8)) };
      case 'type':
        return { ...base, machineTypes: clock.pickRandom(['c8', 'g4']), cpus: String(clock.randomBetween(4, 8)) };
    }
  }

  private otherJob(): JobOptions {
    const { clock } = this.world;
    const options: JobOptions = {
      ...this.runtime(5, 60),
      team: clock.pickRandom(['red', 'blue']),
      priorityLevel: clock.pickRandom(['0', '1', '2']),
      tasks: clock.pickRandom(['1', '2', '3', '12']),
      cpus: clock.pickRandom(['0.25', '1', '3']),
      gpus: clock.pickRandom(['0', '0', '1']),
      imageGb: clock.pickRandom(['0.1', '5', '20']),
    };
    if (clock.randomBetween(0, 1) < 0.2) options.singleZone = 'yes';
    else if (clock.randomBetween(0, 1) < 0.3) options.zoneSpread = 'yes';
    return options;
  }
}

const seedCount = process.env.SEEDS ? Number(process.env.SEEDS) : 40;
const firstSeed = process.env.SEED_FROM ? Number(process.env.SEED_FROM) : 1;

test(`no job waits 90 s beside free capacity, behind a crowd without room (${seedCount} seeds)`, () => {
  for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
    const day = new CrowdedDay(seed);
    day.run();
    assert.deepEqual(day.world.invariants.violations, [], `seed ${seed} violated an invariant`);
    assert.deepEqual(day.world.errors, [], `seed ${seed} logged an error`);
  }
});
