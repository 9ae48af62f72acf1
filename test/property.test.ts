import assert from 'node:assert/strict';
import { test } from 'node:test';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import type { ImageName, JobId, TeamName, TeamQuota, ZoneName } from '../src/core/types.js';
import { type Build, CURRENT_BUILD } from './sim/build.js';
import { LIMITS } from './sim/deployment.js';
import { type JobOptions, makeJobSpec } from './sim/job_options.js';
import { C8, G4 } from './sim/machine_types.js';
import { loadOldVersions } from './sim/old_versions.js';
import { injectRandomFaults } from './sim/random_faults.js';
import { upgradeControllers } from './sim/scenario/events/controllers.js';
import { lateLargestJobs, servedShares } from './sim/served_jobs.js';
import { World } from './sim/world.js';

/*
 * Random jobs and random faults in simulated worlds, one world for each seed. The environment variables SEED_FROM and
 * SEEDS select the first seed and the number of seeds.
 */

const FAULTS_SECONDS = 260;
/** When all services that still run are cancelled, long after the faults. */
const SERVICES_END_SECONDS = FAULTS_SECONDS + 150;
/** Time after FAULTS_SECONDS in which all work must end. */
const QUIET_SECONDS = 420;

const zones = ['a', 'b'] as ZoneName[];
/** Small image caches and short boot times, so that images are evicted and machines are replaced within one run. */
const machineTypes = [C8, G4].map((type) => ({ ...type, imageCacheGb: 20, bootSeconds: 15, zones }));
const makeTeam = (name: string, guaranteedGpus: number, gpuLimit: number): TeamQuota => ({
  name: name as TeamName,
  guaranteed: { cpus: 0, gpus: guaranteedGpus },
  limit: { cpus: 0, gpus: gpuLimit },
});
const teams = [makeTeam('red', 4, 8), makeTeam('blue', 0, 0)];

/** Creates a world. With `isRollingUpgrade`, each controller begins with a randomly selected old version. */
function makeWorld(seed: number, isRollingUpgrade: boolean): World {
  // For every second seed, leaders have enough CPU to receive the workers' heartbeats directly.
  const limits = { ...LIMITS, cpuShare: seed % 2 === 0 ? 0.8 : 0.3 };
  const options = {
    seed,
    controllers: seed % 3 === 0 ? 3 : 5,
    zones,
    teams,
    types: machineTypes,
    capacity: 14,
    tuning: CURRENT_BUILD.tuning,
    limits,
  };
  return new World(
    isRollingUpgrade ? { ...options, builds: drawBuilds(seed, options.controllers), oldVersions } : options,
  );
}

/** Runs a world with random jobs and faults. All invariants must hold, and all work must end after the faults. */
function runRandomWorld(seed: number): World {
  // For every fourth seed, controllers begin with old versions and are upgraded in random order while faults occur.
  const isRollingUpgrade = seed % 4 === 1;
  const world = makeWorld(seed, isRollingUpgrade);
  const { clock } = world;
  for (let i = 0; i < 4; i++) {
    world.cloud.addMachine(
      machineTypes[i % 2] as (typeof machineTypes)[0],
      clock.pickRandom(zones),
      clock.randomBetween(0, 1) < 0.4,
      1,
    );
  }
  world.startControllers();
  for (let i = 0; i < 16; i++) addJob(world, i, clock.randomBetween(1, FAULTS_SECONDS * 0.8));
  if (isRollingUpgrade) scheduleRollingUpgrade(world);
  // In a rolling upgrade, services are submitted only after all controllers have the current version.
  for (let i = 0; i < 2; i++)
    addService(world, i, clock.randomBetween(isRollingUpgrade ? 170 : 5, FAULTS_SECONDS * 0.8));
  for (let i = 0; i < 2; i++) addFaultyJob(world, i, clock.randomBetween(1, FAULTS_SECONDS * 0.6));
  if (seed % 10 === 0) addHugeArray(world, clock.randomBetween(5, FAULTS_SECONDS * 0.5));
  injectRandomFaults(world, FAULTS_SECONDS);
  clock.schedule(SERVICES_END_SECONDS * 1000, () => repeatUnconfirmedCancellations(world));
  clock.runUntil((FAULTS_SECONDS + QUIET_SECONDS) * 1000);
  world.trace?.end(`day-${seed}`);
  return world;
}

/** Cancels services again whose users gave up after a minute without a confirmation, as in a long outage. */
function repeatUnconfirmedCancellations({ invariants, users }: World): void {
  for (const [id, { kind }] of invariants.submitted) {
    const isUnconfirmed = invariants.cancellationRequested.has(id) && !invariants.finalStateOf(id);
    if (kind === 'service' && isUnconfirmed && invariants.isAccepted(id)) users.cancel(id);
  }
}

/** Upgrades the controllers to the current version, one after the other in random order. */
function scheduleRollingUpgrade(world: World): void {
  const { clock } = world;
  const order = [...world.controllers].sort(() => clock.randomBetween(-1, 1));
  let at = clock.randomBetween(5, 40);
  for (const controller of order) {
    clock.schedule(at * 1000, () => upgradeControllers(world, controller.name, String(clock.randomBetween(0.2, 6)), 0));
    at += clock.randomBetween(1, 25);
  }
}

/**
 * Selects an old version for each controller. Most seeds mix the old versions, and some give all controllers the same.
 */
function drawBuilds(seed: number, controllers: number): Build[] {
  const known = [...oldVersions.values()];
  const random = xoroshiro128plus(seed);
  return Array.from(
    { length: controllers },
    () => known[unsafeUniformIntDistribution(0, known.length - 1, random)] as Build,
  );
}

function addJob(world: World, i: number, atS: number): void {
  const { clock } = world;
  const gang = clock.randomBetween(0, 1) < 0.35;
  const gpu = clock.randomBetween(0, 1) < 0.5;
  const options: JobOptions = {
    tasks: String(gang ? clock.pickRandom([1, 2, 3]) : clock.pickRandom([1, 4, 9, 25])),
    runtime: String(clock.pickRandom([3, 8, 20])),
    estimatedRuntime: String(clock.pickRandom([2, 8, 30])),
    cpus: String(clock.pickRandom([1, 2, 4])),
    gpus: gpu ? '1' : '0',
    team: clock.pickRandom(['red', 'blue']),
    checkpointInterval: clock.pickRandom(['0', '5']),
    priorityLevel: clock.pickRandom(['0', '1', '2']),
  };
  if (clock.randomBetween(0, 1) < 0.6) options.toleratesSpot = 'yes';
  if (clock.randomBetween(0, 1) < 0.3) options.singleZone = 'yes';
  else if (clock.randomBetween(0, 1) < 0.2) options.zoneSpread = 'yes';
  if (clock.randomBetween(0, 1) < 0.2) options.zone = options.zoneSpread ? '' : clock.pickRandom(zones);
  if (!options.zone) delete options.zone;
  const spec = {
    ...makeJobSpec(`job-${100 + i}`, gang ? 'gang' : 'array', options),
    image: `img-${i % 4}` as ImageName,
  };
  clock.schedule(atS * 1000, () => world.users.submit(spec, Number(options.runtime) * 1000));
  if (clock.randomBetween(0, 1) < 0.2)
    clock.schedule((atS + clock.randomBetween(0, 20)) * 1000, () => world.users.cancel(spec.id));
}

/** Submits a job whose tasks fail on every machine, until its user cancels it. */
function addFaultyJob(world: World, i: number, atS: number): void {
  const { clock } = world;
  const gang = clock.randomBetween(0, 1) < 0.5;
  const options: JobOptions = {
    class: 'faulty',
    tasks: String(gang ? clock.pickRandom([1, 2, 3]) : clock.pickRandom([1, 10, 30])),
    cpus: clock.pickRandom(['1', '4']),
    gpus: clock.pickRandom(['0', '1']),
    priorityLevel: clock.pickRandom(['0', '2']),
    team: clock.pickRandom(['red', 'blue']),
    toleratesSpot: 'yes',
  };
  const spec = makeJobSpec(`job-${300 + i}`, gang ? 'gang' : 'array', options);
  world.faultyJobs.add(spec.id);
  clock.schedule(atS * 1000, () => world.users.submit(spec, 10_000));
  clock.schedule((FAULTS_SECONDS + clock.randomBetween(5, 60)) * 1000, () => world.users.cancel(spec.id));
}

/** Submits an array of 2500 small tasks for a team without guaranteed resources. */
function addHugeArray(world: World, atS: number): void {
  const options = {
    class: 'huge',
    tasks: '2500',
    cpus: '0.1',
    estimatedRuntime: '3',
    team: 'blue',
    toleratesSpot: 'yes',
    priorityLevel: '0',
  };
  const spec = makeJobSpec('job-400', 'array', options);
  world.clock.schedule(atS * 1000, () => world.users.submit(spec, 3000));
}

function addService(world: World, i: number, atS: number): void {
  const { clock } = world;
  const options: JobOptions = {
    class: 'service',
    tasks: String(clock.pickRandom([1, 2, 4])),
    cpus: '1',
    team: clock.pickRandom(['red', 'blue']),
    priorityLevel: clock.pickRandom(['1', '3']),
    estimatedRuntime: '0',
  };
  if (clock.randomBetween(0, 1) < 0.4) options.zoneSpread = 'yes';
  const spec = { ...makeJobSpec(`job-${200 + i}`, 'service', options), image: `img-${i % 4}` as ImageName };
  clock.schedule(atS * 1000, () => world.users.submit(spec, 1e9));
  clock.schedule(SERVICES_END_SECONDS * 1000, () => {
    // A service that was not accepted because of an outage need not run.
    if (!world.invariants.isAccepted(spec.id) || world.invariants.cancellationRequested.has(spec.id)) return;
    availabilityAtEnd.set(world, [
      ...(availabilityAtEnd.get(world) ?? []),
      `${spec.id} ${world.availability.latestRunningShare(spec.id)}`,
    ]);
    world.users.cancel(spec.id);
  });
}

/**
 * For each world, one text per service: its id and the share of its replicas that ran when it was cancelled, long after
 * all faults.
 */
const availabilityAtEnd = new WeakMap<World, string[]>();

const oldVersions = await loadOldVersions();
const seedCount = process.env.SEEDS ? Number(process.env.SEEDS) : 120;
const firstSeed = process.env.SEED_FROM ? Number(process.env.SEED_FROM) : 1;

test(`random jobs and faults violate no invariant (${seedCount} seeds)`, () => {
  for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
    const world = runRandomWorld(seed);
    assert.deepEqual(world.invariants.violations, [], `seed ${seed} violated an invariant`);
    assert.deepEqual(world.errors, [], `seed ${seed} logged an error`);
    const unavailableServices = (availabilityAtEnd.get(world) ?? []).filter((line) => !line.endsWith(' 1'));
    assert.deepEqual(unavailableServices, [], `seed ${seed} left services without all of their replicas`);
    const unfinished = [...world.invariants.submitted.keys()].filter(
      (id: JobId) => world.invariants.isAccepted(id) && !world.invariants.finalStateOf(id),
    );
    assert.deepEqual(unfinished, [], `seed ${seed} left accepted jobs without a final state`);
    const unserved = [...servedShares(world.invariants)].filter(([, share]) => share < 1);
    assert.deepEqual(unserved, [], `seed ${seed} did not finish all jobs of every class and team`);
    assert.deepEqual(lateLargestJobs(world.invariants), [], `seed ${seed} started the largest jobs too late`);
  }
});

test('two runs with the same seed are identical', () => {
  const world = runRandomWorld(7);
  const second = runRandomWorld(7);
  assert.equal(world.invariants.starts, second.invariants.starts);
  assert.equal(world.stateStore.changesApplied, second.stateStore.changesApplied);
});
