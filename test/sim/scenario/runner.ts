/** Runs scenarios: builds their simulated world, schedules their events and evaluates their checks at the end. */
import { basename } from 'node:path';
import type { TeamName, TeamQuota, ZoneName } from '../../../src/core/types.js';
import { type Build, CURRENT_BUILD } from '../build.js';
import { LIMITS, type Limits } from '../deployment.js';
import { numberOption, readOptions } from '../job_options.js';
import { C8, G4 } from '../machine_types.js';
import { World } from '../world.js';
import { checks } from './checks/index.js';
import { buildNamed, NO_OLD_VERSIONS } from './events/controllers.js';
import { events } from './events/index.js';
import { numberStatement, requireKnown, type Scenario, statements } from './parser.js';

/** The machine types that the statement `machines` accepts. */
const MACHINE_TYPES = [C8, G4];

/** Returns the names of the builds that the controllers run at first. Empty if all run the current build. */
const versionNames = (scenario: Scenario): readonly string[] =>
  statements(scenario, 'versions')[0]?.words.slice(1) ?? [];

/** Returns whether the scenario names builds, so that the old versions have to be loaded. */
export const usesOldVersions = (scenario: Scenario): boolean => versionNames(scenario).length > 0;

function readLimits(scenario: Scenario): Limits {
  const limits: Record<keyof Limits, number> = { ...LIMITS };
  for (const line of statements(scenario, 'limits')) {
    for (const [key, value] of Object.entries(readOptions(line.words.slice(1)))) {
      requireKnown(scenario, line, 'limit', key, limits[key as keyof Limits]);
      limits[key as keyof Limits] = Number(value);
    }
  }
  return limits;
}

/** The outcome of a scenario. */
export interface ScenarioResult {
  /** The world at the end of the scenario. */
  readonly world: World;
  /** Violated invariants and failed checks. */
  readonly failures: string[];
}

function readTeams(scenario: Scenario): TeamQuota[] {
  const teams = statements(scenario, 'team').map(({ words }) => {
    const options = readOptions(words.slice(2));
    const amount = (key: string): number => numberOption(options, key, 0);
    return {
      name: words[1] as TeamName,
      guaranteed: { cpus: amount('guaranteedCpus'), gpus: amount('guaranteedGpus') },
      limit: { cpus: amount('cpuLimit'), gpus: amount('gpuLimit') },
    };
  });
  return teams.length > 0
    ? teams
    : [{ name: 'crew' as TeamName, guaranteed: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } }];
}

function makeWorld(scenario: Scenario, oldVersions: ReadonlyMap<string, Build>): World {
  const zones = (statements(scenario, 'zones')[0]?.words.slice(1) ?? ['a']) as ZoneName[];
  const builds = versionNames(scenario).map((name) => buildNamed(oldVersions, name));
  return new World({
    seed: numberStatement(scenario, 'seed', 1),
    controllers: numberStatement(scenario, 'controllers', 3),
    zones,
    teams: readTeams(scenario),
    types: MACHINE_TYPES.map((type) => ({ ...type, zones })),
    capacity: numberStatement(scenario, 'capacity', 8),
    tuning: CURRENT_BUILD.tuning,
    limits: readLimits(scenario),
    ...(builds.length > 0 ? { builds, oldVersions } : {}),
  });
}

function addMachines(scenario: Scenario, world: World): void {
  for (const line of statements(scenario, 'machines')) {
    const [, count, typeName, zone, kind] = line.words;
    const type = world.options.types.find(({ name }) => name === typeName);
    const machineType = requireKnown(scenario, line, 'machine type', typeName, type);
    for (let i = 0; i < Number(count); i++) world.cloud.addMachine(machineType, zone as ZoneName, kind === 'spot', 1);
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

/** Runs a scenario to its end. `oldVersions` holds the builds of old versions, by name, for scenarios that use them. */
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
