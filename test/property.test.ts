import assert from 'node:assert/strict';
import { test } from 'node:test';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import type { ImageName, JobId, MachineId, MachineTypeName, TeamName, TeamQuota, ZoneName } from '../src/core/types.js';
import type { Build } from './sim/build.js';
import { makeSpec } from './sim/job_options.js';
import { loadOldVersions } from './sim/old_versions.js';
import { tuning } from './sim/scenario.js';
import { events } from './sim/scenario_events.js';
import { LIMITS, World } from './sim/world.js';

const DAY_S = 260;
const QUIET_S = 420;

const zones = ['a', 'b'] as ZoneName[];
const types = [
  {
    name: 'c8' as MachineTypeName,
    cpus: 8,
    gpus: 0,
    memoryGb: 32,
    imageCacheGb: 20,
    imagePullGbPerSecond: 0.5,
    pricePerHour: 0.4,
    spotPricePerHour: 0.1,
    bootSeconds: 15,
    zones,
  },
  {
    name: 'g4' as MachineTypeName,
    cpus: 24,
    gpus: 4,
    memoryGb: 144,
    imageCacheGb: 20,
    imagePullGbPerSecond: 0.5,
    pricePerHour: 10,
    spotPricePerHour: 3,
    bootSeconds: 15,
    zones,
  },
];
const team = (name: string, guaranteedGpus: number, gpuLimit: number): TeamQuota => ({
  name: name as TeamName,
  guaranteedCpus: 0,
  cpuLimit: 0,
  guaranteedGpus,
  gpuLimit,
});
const teams = [team('red', 4, 8), team('blue', 0, 0)];

/** A day of random jobs and random troubles: whatever happens, no rule breaks, and once all is quiet all work ends. */
function randomDay(seed: number): World {
  // On every other day leaders have cores enough to take workers' reports themselves.
  const limits = { ...LIMITS, cpuShare: seed % 2 === 0 ? 0.8 : 0.3 };
  const options = { seed, nodes: seed % 3 === 0 ? 3 : 5, zones, teams, types, capacity: 14, tuning, limits };
  // On every fourth day nodes begin with old versions, drawn for each, and are replaced in some order while troubles come.
  const rolled = seed % 4 === 1;
  const world = new World(rolled ? { ...options, builds: drawBuilds(seed, options.nodes), oldVersions } : options);
  const { clock } = world;
  for (let i = 0; i < 4; i++) {
    world.cloud.add(types[i % 2] as (typeof types)[0], clock.pick(zones), clock.between(0, 1) < 0.4, 1);
  }
  world.startNodes();
  for (let i = 0; i < 16; i++) addJob(world, i, clock.between(1, DAY_S * 0.8));
  if (rolled) scheduleRoll(world);
  // Nothing new is asked of the service before all have the new version.
  for (let i = 0; i < 2; i++) addService(world, i, clock.between(rolled ? 170 : 5, DAY_S * 0.8));
  for (let i = 0; i < 2; i++) addFaultyJob(world, i, clock.between(1, DAY_S * 0.6));
  if (seed % 10 === 0) addHugeArray(world, clock.between(5, DAY_S * 0.5));
  const troubles = Math.floor(clock.between(5, 12));
  for (let i = 0; i < troubles; i++) {
    const at = clock.between(5, DAY_S);
    addTrouble(world, at);
    // Troubles like company: some come in the middle of others.
    if (clock.between(0, 1) < 0.4) addTrouble(world, at + clock.between(0, 8));
  }
  clock.runUntil((DAY_S + QUIET_S) * 1000);
  world.trace?.end(`day-${seed}`);
  return world;
}

/** The nodes are replaced by the present version, one after the other in some order. */
function scheduleRoll(world: World): void {
  const { clock } = world;
  const order = [...world.nodes].sort(() => clock.between(-1, 1));
  let at = clock.between(5, 40);
  for (const node of order) {
    clock.in(at * 1000, () => events.upgrade?.(world, [node.name, String(clock.between(0.2, 6))]));
    at += clock.between(1, 25);
  }
}

/** Mostly both old versions are there; on some days all nodes run the same one. */
function drawBuilds(seed: number, nodes: number): Build[] {
  const known = [...oldVersions.values()];
  const random = xoroshiro128plus(seed);
  return Array.from({ length: nodes }, () => known[unsafeUniformIntDistribution(0, known.length - 1, random)] as Build);
}

function addJob(world: World, i: number, atS: number): void {
  const { clock } = world;
  const gang = clock.between(0, 1) < 0.35;
  const gpu = clock.between(0, 1) < 0.5;
  const options: Record<string, string> = {
    tasks: String(gang ? clock.pick([1, 2, 3]) : clock.pick([1, 4, 9, 25])),
    run: String(clock.pick([3, 8, 20])),
    estimate: String(clock.pick([2, 8, 30])),
    cpus: String(clock.pick([1, 2, 4])),
    gpus: gpu ? '1' : '0',
    team: clock.pick(['red', 'blue']),
    checkpoint: clock.pick(['0', '5']),
    rank: clock.pick(['0', '1', '2']),
  };
  if (clock.between(0, 1) < 0.6) options.spot = 'yes';
  if (clock.between(0, 1) < 0.3) options.sameZone = 'yes';
  else if (clock.between(0, 1) < 0.2) options.spread = 'yes';
  if (clock.between(0, 1) < 0.2) options.zone = options.spread ? '' : clock.pick(zones);
  if (!options.zone) delete options.zone;
  const spec = { ...makeSpec(`job-${100 + i}`, gang ? 'gang' : 'array', options), image: `img-${i % 4}` as ImageName };
  clock.in(atS * 1000, () => world.submit(spec, Number(options.run) * 1000));
  if (clock.between(0, 1) < 0.2) clock.in((atS + clock.between(0, 20)) * 1000, () => world.cancel(spec.id));
}

/** A job that fails wherever it runs, until its user calls it off. */
function addFaultyJob(world: World, i: number, atS: number): void {
  const { clock } = world;
  const gang = clock.between(0, 1) < 0.5;
  const options: Record<string, string> = {
    class: 'faulty',
    tasks: String(gang ? clock.pick([1, 2, 3]) : clock.pick([1, 10, 30])),
    cpus: clock.pick(['1', '4']),
    gpus: clock.pick(['0', '1']),
    rank: clock.pick(['0', '2']),
    team: clock.pick(['red', 'blue']),
    spot: 'yes',
  };
  const spec = makeSpec(`job-${300 + i}`, gang ? 'gang' : 'array', options);
  world.faulty.add(spec.id);
  clock.in(atS * 1000, () => world.submit(spec, 10_000));
  clock.in((DAY_S + clock.between(5, 60)) * 1000, () => world.cancel(spec.id));
}

/** A guest's array of very many small tasks. */
function addHugeArray(world: World, atS: number): void {
  const options = { class: 'huge', tasks: '2500', cpus: '0.1', estimate: '3', team: 'blue', spot: 'yes', rank: '0' };
  const spec = makeSpec('job-400', 'array', options);
  world.clock.in(atS * 1000, () => world.submit(spec, 3000));
}

function addService(world: World, i: number, atS: number): void {
  const { clock } = world;
  const options: Record<string, string> = {
    class: 'service',
    tasks: String(clock.pick([1, 2, 4])),
    cpus: '1',
    team: clock.pick(['red', 'blue']),
    rank: clock.pick(['1', '3']),
    estimate: '0',
  };
  if (clock.between(0, 1) < 0.4) options.spread = 'yes';
  const spec = { ...makeSpec(`job-${200 + i}`, 'service', options), image: `img-${i % 4}` as ImageName };
  clock.in(atS * 1000, () => world.submit(spec, 1e9));
  clock.in((DAY_S + 150) * 1000, () => {
    // One that an outage kept from being accepted is owed nothing.
    if (world.rules.cancelAsked.has(spec.id) || !world.rules.isAccepted(spec.id)) return;
    lowAtEnd.set(world, [...(lowAtEnd.get(world) ?? []), `${spec.id} ${world.uptime.last(spec.id)}`]);
    world.cancel(spec.id);
  });
}

/** Which part of each service was up when it was called off, long after all troubles. */
const lowAtEnd = new WeakMap<World, string[]>();

function addTrouble(world: World, atS: number): void {
  const { clock } = world;
  const node = clock.pick(['perch-0', 'perch-1', 'perch-2', 'perch-4', 'leader', 'leader']);
  const secs = (low: number, high: number): string => String(clock.between(low, high));
  const mode = clock.pick(['drop', 'hold']);
  const machine = (): string => clock.pick([...world.workers.keys(), 'none' as MachineId]);
  const choices: [string, () => string[]][] = [
    ['crash', () => [node, secs(0.1, 6)]],
    ['crash', () => ['all', secs(0.1, 6)]],
    ['outage', () => [secs(1, 25)]],
    ['refuse', () => [node, secs(3, 30)]],
    ['cut', () => [node, clock.pick(['state', 'workers', 'cloud', '*', 'users', 'perch-0']), secs(2, 30), mode]],
    ['cut', () => [node, 'control', secs(2, 30), clock.pick(['drop', 'hold', 'refuse'])]],
    ['one-way', () => [machine(), secs(5, 40)]],
    ['one-way-from', () => [node, secs(5, 30)]],
    ['duplicate-reports', () => [secs(5, 60)]],
    ['crash', () => [node, secs(0.02, 0.4)]],
    ['crash', () => ['followers', secs(0.02, 0.4)]],
    [
      'crash-at',
      () => [clock.pick(['before-grant', 'after-grant', 'before-take', 'after-take']), '2', secs(0.02, 0.4)],
    ],
    ['freeze', () => [node, secs(1, 30)]],
    ['freeze', () => ['all', secs(1, 20)]],
    ['cut', () => [machine(), '*', secs(2, 30), mode]],
    ['hang', () => [machine(), secs(2, 30)]],
    ['fail-tasks', () => [machine()]],
    ['slow', () => [machine(), '4']],
    ['notice', () => [machine(), secs(4, 12)]],
    ['take', () => [machine()]],
    ['fail', () => [machine()]],
    ['cloud-outage', () => [secs(3, 20)]],
    ['freeze', () => [node, secs(30, 80)]],
    ['freeze', () => [node, clock.pick(['3.6', '4.4', '13.6', '14.6'])]],
    ['pause-sending', () => [node, secs(2, 40), clock.pick(['return', 'rent', 'commands', 'answers'])]],
    ['cut', () => [node, clock.pick(['state', 'workers', 'control', '*']), secs(60, 95), mode]],
    ['refuse', () => [node, secs(60, 95)]],
    ['boot-trouble', () => [clock.pick(['0.04', '4']), clock.pick(['0', '0.5', '1']), secs(20, 80)]],
    ['boot-trouble', () => ['1', '1', secs(20, 80), clock.pick(zones)]],
    ['never-boot', () => ['1']],
    ['no-reports', () => [machine(), secs(5, 40)]],
    ['no-reports', () => ['all', secs(5, 40)]],
    ['hold-reports', () => [clock.pick([machine(), 'all']), secs(2, 25)]],
    ['slow-links', () => [clock.pick([machine(), node, 'all']), String(clock.pick([300, 2000, 6000])), secs(5, 40)]],
    ['slow-state', () => [String(clock.pick([20, 100, 400])), secs(5, 40)]],
    ['late-writes', () => [String(clock.pick([0.1, 0.5, 0.9])), secs(5, 30)]],
    ['flap', () => ['10', secs(2, 12), secs(0.1, 4)]],
    ['cancel-now', () => ['4', clock.pick(['', secs(5, 30)])]],
    ['cancel-at-end', () => ['0.5', secs(20, 60)]],
    ['invalid-requests', () => [secs(10, 60)]],
    ['close-looks', () => [secs(20, 80)]],
    ['refusal-then-outage', () => [secs(0.5, 3), secs(20, 60)]],
  ];
  const [name, words] = clock.pick(choices);
  clock.in(atS * 1000, () => events[name]?.(world, words()));
}

const oldVersions = await loadOldVersions();
const seeds = process.env.SEEDS ? Number(process.env.SEEDS) : 120;
const from = process.env.SEED_FROM ? Number(process.env.SEED_FROM) : 1;

test(`random days of troubles keep every rule (${seeds} seeds)`, () => {
  for (let seed = from; seed < from + seeds; seed++) {
    const world = randomDay(seed);
    assert.deepEqual(world.rules.broken, [], `seed ${seed} broke a rule`);
    assert.deepEqual(world.errors, [], `seed ${seed} logged an error`);
    const down = (lowAtEnd.get(world) ?? []).filter((line) => !line.endsWith(' 1'));
    assert.deepEqual(down, [], `seed ${seed} left services without all of their replicas`);
    const open = [...world.rules.submitted.keys()].filter(
      (id: JobId) => world.rules.isAccepted(id) && !world.rules.finalOf(id),
    );
    assert.deepEqual(open, [], `seed ${seed} left accepted jobs without an end`);
    const unserved = [...world.rules.servedShares()].filter(([, share]) => share < 1);
    assert.deepEqual(unserved, [], `seed ${seed} did not serve everybody`);
    assert.deepEqual(world.rules.largestLate(), [], `seed ${seed} let the largest wait`);
  }
});

test('a day with the same seed is the same day', () => {
  const world = randomDay(7);
  const second = randomDay(7);
  assert.equal(world.rules.starts, second.rules.starts);
  assert.equal(world.state.writes, second.state.writes);
});
