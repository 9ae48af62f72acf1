import { readFileSync } from 'node:fs';
import { basename } from 'node:path';
import type { MachineType, MachineTypeName, TeamName, TeamQuota, ZoneName } from '../../src/core/types.js';
import { type Build, CURRENT_BUILD } from './build.js';
import { numberOption, readOptions } from './job_options.js';
import { checks } from './scenario_checks.js';
import { buildNamed, events, NO_OLD_VERSIONS } from './scenario_events.js';
import { LIMITS, type Limits, World } from './world.js';

/*
 * A scenario is a text file, one statement a line, `#` for comments:
 *   seed N | nodes N | zones a b | capacity N | machines N TYPE ZONE [spot]
 *   limits key=value ...   (what the deployment allows: rps, writeRps, valueBytes, txnOps, cloudRps, reportMs, ...)
 *   team NAME key=value ...
 *   at S EVENT ...        (see scenario_events.ts)
 *   every FROM TO STEP EVENT ...   (the time is added to the first word, a job's id)
 *   versions NAME ...     (the nodes run these old versions at first, in turn, see test/old_versions.txt and `upgrade`)
 *   until S
 *   expect CHECK ...      (see scenario_checks.ts; "rules kept" is always checked)
 */
export interface Scenario {
  readonly file: string;
  readonly title: string;
  readonly lines: readonly ScenarioLine[];
}

interface ScenarioLine {
  /** Its number in the file. */
  readonly number: number;
  readonly words: readonly string[];
}

const STATEMENTS = new Set([
  'seed',
  'nodes',
  'zones',
  'capacity',
  'limits',
  'machines',
  'team',
  'at',
  'every',
  'until',
  'expect',
  'versions',
]);

export function parseScenario(file: string): Scenario {
  return parseScenarioText(file, readFileSync(file, 'utf8'));
}

/** `file`: what problems are said of. */
export function parseScenarioText(file: string, text: string): Scenario {
  const lines: ScenarioLine[] = [];
  let title = file;
  text.split('\n').forEach((line, i) => {
    if (i === 0 && line.startsWith('#')) title = line.slice(1).trim();
    const words = line.replace(/#.*/, '').trim().split(/\s+/).filter(Boolean);
    if (words.length === 0) return;
    if (!STATEMENTS.has(words[0] as string)) throw new Error(`${file}:${i + 1}: no statement ${words[0]}`);
    lines.push({ number: i + 1, words });
  });
  return { file, title, lines };
}

const MACHINE_TYPES: MachineType[] = [
  {
    name: 'c8',
    cpus: 8,
    gpus: 0,
    memoryGb: 32,
    imageCacheGb: 50,
    imagePullGbPerSecond: 0.5,
    pricePerHour: 0.4,
    spotPricePerHour: 0.1,
    bootSeconds: 20,
    zones: [],
  },
  {
    name: 'g4',
    cpus: 24,
    gpus: 4,
    memoryGb: 144,
    imageCacheGb: 60,
    imagePullGbPerSecond: 0.5,
    pricePerHour: 10,
    spotPricePerHour: 3,
    bootSeconds: 25,
    zones: [],
  },
].map((t) => ({ ...t, name: t.name as MachineTypeName }));

export const { tuning } = CURRENT_BUILD;

/** The old versions that its nodes run at first; none: all run the present one. */
const oldVersionNames = (scenario: Scenario): readonly string[] =>
  scenario.lines.find((line) => line.words[0] === 'versions')?.words.slice(1) ?? [];
export const usesOldVersions = (scenario: Scenario): boolean => oldVersionNames(scenario).length > 0;

function readLimits(scenario: Scenario): Limits {
  const limits: Record<keyof Limits, number> = { ...LIMITS };
  for (const { number, words } of scenario.lines.filter((line) => line.words[0] === 'limits')) {
    for (const [key, value] of Object.entries(readOptions(words.slice(1)))) {
      if (!(key in limits)) throw new Error(`${scenario.file}:${number}: no limit ${key}`);
      limits[key as keyof Limits] = Number(value);
    }
  }
  return limits;
}

export interface ScenarioResult {
  readonly world: World;
  readonly failures: string[];
}

const statements = (scenario: Scenario, statement: string): readonly ScenarioLine[] =>
  scenario.lines.filter(({ words }) => words[0] === statement);

/** What a statement that stands there once says, as a number. */
function numberStatement(scenario: Scenario, statement: string, otherwise: number): number {
  return Number(statements(scenario, statement)[0]?.words[1] ?? otherwise);
}

function readTeams(scenario: Scenario): TeamQuota[] {
  const teams = statements(scenario, 'team').map(({ words }) => {
    const options = readOptions(words.slice(2));
    const amount = (key: string): number => numberOption(options, key, 0);
    return {
      name: words[1] as TeamName,
      guaranteedCpus: amount('cpus'),
      guaranteedGpus: amount('gpus'),
      cpuLimit: amount('cpusMax'),
      gpuLimit: amount('gpusMax'),
    };
  });
  return teams.length > 0
    ? teams
    : [{ name: 'crew' as TeamName, guaranteedCpus: 0, guaranteedGpus: 0, cpuLimit: 0, gpuLimit: 0 }];
}

function makeWorld(scenario: Scenario, oldVersions: ReadonlyMap<string, Build>): World {
  const zones = (statements(scenario, 'zones')[0]?.words.slice(1) ?? ['a']) as ZoneName[];
  const builds = oldVersionNames(scenario).map((name) => buildNamed(oldVersions, name));
  return new World({
    seed: numberStatement(scenario, 'seed', 1),
    controllers: numberStatement(scenario, 'nodes', 3),
    zones,
    teams: readTeams(scenario),
    types: MACHINE_TYPES.map((type) => ({ ...type, zones })),
    capacity: numberStatement(scenario, 'capacity', 8),
    tuning,
    limits: readLimits(scenario),
    ...(builds.length > 0 ? { builds, oldVersions } : {}),
  });
}

/** Throws, naming file and line, where a word of the scenario isn't known. */
function requireKnown<T>(
  scenario: Scenario,
  line: ScenarioLine,
  what: string,
  word: string | undefined,
  found: T | undefined,
): T {
  if (found === undefined) throw new Error(`${scenario.file}:${line.number}: no ${what} ${word}`);
  return found;
}

function addMachines(scenario: Scenario, world: World): void {
  for (const line of statements(scenario, 'machines')) {
    const [, count, typeName, zone, kind] = line.words;
    const type = world.options.types.find(({ name }) => name === typeName);
    const rented = requireKnown(scenario, line, 'machine type', typeName, type);
    for (let i = 0; i < Number(count); i++) world.cloud.addMachine(rented, zone as ZoneName, kind === 'spot', 1);
  }
}

function scheduleEvents(scenario: Scenario, world: World): void {
  const { clock } = world;
  for (const line of statements(scenario, 'at')) {
    const [, at, name, ...words] = line.words;
    const event = requireKnown(scenario, line, 'event', name, events[name ?? '']);
    clock.schedule(Number(at) * 1000, () => event(world, words));
  }
  for (const line of statements(scenario, 'every')) {
    const [from, to, step] = line.words.slice(1, 4).map(Number) as [number, number, number];
    const [name, id, ...words] = line.words.slice(4);
    const event = requireKnown(scenario, line, 'event', name, events[name ?? '']);
    for (let at = from; at <= to; at += step) clock.schedule(at * 1000, () => event(world, [`${id}${at}`, ...words]));
  }
}

function failedChecks(scenario: Scenario, world: World): string[] {
  return statements(scenario, 'expect').flatMap((line) => {
    const [, name, ...words] = line.words;
    const check = requireKnown(scenario, line, 'check', name, checks[name ?? '']);
    const problem = check(world, words);
    return problem ? [`line ${line.number}: ${problem}`] : [];
  });
}

/** `oldVersions`: for scenarios that begin with some of them. */
export function runScenario(
  scenario: Scenario,
  oldVersions: ReadonlyMap<string, Build> = NO_OLD_VERSIONS,
): ScenarioResult {
  const world = makeWorld(scenario, oldVersions);
  addMachines(scenario, world);
  world.startControllers();
  scheduleEvents(scenario, world);
  world.clock.runUntil(numberStatement(scenario, 'until', 60) * 1000);
  world.trace?.end(basename(scenario.file));
  return { world, failures: [...world.invariants.violations, ...failedChecks(scenario, world)] };
}
