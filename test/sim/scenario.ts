import { readFileSync } from 'node:fs';
import type { MachineType, Team, TeamName, TypeName, ZoneName } from '../../src/core/types.js';
import { type Build, PRESENT } from './build.js';
import { num, readOptions } from './job_options.js';
import { checks } from './scenario_checks.js';
import { buildNamed, events, NO_VERSIONS } from './scenario_events.js';
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
  readonly lines: readonly { n: number; words: string[] }[];
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
  const lines: { n: number; words: string[] }[] = [];
  let title = file;
  readFileSync(file, 'utf8')
    .split('\n')
    .forEach((line, i) => {
      if (i === 0 && line.startsWith('#')) title = line.slice(1).trim();
      const words = line.replace(/#.*/, '').trim().split(/\s+/).filter(Boolean);
      if (words.length === 0) return;
      if (!STATEMENTS.has(words[0] as string)) throw new Error(`${file}:${i + 1}: no statement ${words[0]}`);
      lines.push({ n: i + 1, words });
    });
  return { file, title, lines };
}

const TYPES: MachineType[] = [
  {
    name: 'c8',
    cpus: 8,
    gpus: 0,
    memGb: 32,
    cacheGb: 50,
    fetchGbPerS: 0.5,
    price: 0.4,
    spotPrice: 0.1,
    bootS: 20,
    zones: [],
  },
  {
    name: 'g4',
    cpus: 24,
    gpus: 4,
    memGb: 144,
    cacheGb: 60,
    fetchGbPerS: 0.5,
    price: 10,
    spotPrice: 3,
    bootS: 25,
    zones: [],
  },
].map((t) => ({ ...t, name: t.name as TypeName }));

export const { tuning } = PRESENT;

/** The old versions that its nodes run at first; none: all run the present one. */
const versionNames = (scenario: Scenario): readonly string[] =>
  scenario.lines.find((l) => l.words[0] === 'versions')?.words.slice(1) ?? [];
export const usesOldVersions = (s: Scenario): boolean => versionNames(s).length > 0;

function readLimits(scenario: Scenario): Limits {
  const limits: Record<keyof Limits, number> = { ...LIMITS };
  for (const { n, words } of scenario.lines.filter((l) => l.words[0] === 'limits')) {
    for (const [key, value] of Object.entries(readOptions(words.slice(1)))) {
      if (!(key in limits)) throw new Error(`${scenario.file}:${n}: no limit ${key}`);
      limits[key as keyof Limits] = Number(value);
    }
  }
  return limits;
}

export interface Outcome {
  readonly world: World;
  readonly failures: string[];
}

/** `oldVersions`: for scenarios that begin with some of them. */
export function runScenario(scenario: Scenario, oldVersions: ReadonlyMap<string, Build> = NO_VERSIONS): Outcome {
  const value = (key: string): string | undefined => scenario.lines.find((l) => l.words[0] === key)?.words[1];
  const zones = (scenario.lines.find((l) => l.words[0] === 'zones')?.words.slice(1) ?? ['a']) as ZoneName[];
  const types = TYPES.map((t) => ({ ...t, zones }));
  const teams: Team[] = scenario.lines
    .filter((l) => l.words[0] === 'team')
    .map((l) => {
      const o = readOptions(l.words.slice(2));
      const n = (k: string): number => num(o, k, 0);
      return {
        name: l.words[1] as TeamName,
        cpus: n('cpus'),
        gpus: n('gpus'),
        cpusMax: n('cpusMax'),
        gpusMax: n('gpusMax'),
      };
    });
  if (teams.length === 0) teams.push({ name: 'crew' as TeamName, cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 });
  const world = new World({
    seed: Number(value('seed') ?? 1),
    nodes: Number(value('nodes') ?? 3),
    zones,
    teams,
    types,
    capacity: Number(value('capacity') ?? 8),
    tuning,
    limits: readLimits(scenario),
    ...(usesOldVersions(scenario)
      ? { builds: versionNames(scenario).map((name) => buildNamed(oldVersions, name)), oldVersions }
      : {}),
  });
  for (const { n, words } of scenario.lines.filter((l) => l.words[0] === 'machines')) {
    const type = types.find((t) => t.name === words[2]);
    if (!type) throw new Error(`${scenario.file}:${n}: no machine type ${words[2]}`);
    for (let i = 0; i < Number(words[1]); i++) world.cloud.add(type, words[3] as ZoneName, words[4] === 'spot', 1);
  }
  world.startNodes();
  const failures: string[] = [];
  for (const { n, words } of scenario.lines.filter((l) => l.words[0] === 'at')) {
    const event = events[words[2] ?? ''];
    if (!event) throw new Error(`${scenario.file}:${n}: no event ${words[2]}`);
    world.clock.in(Number(words[1]) * 1000, () => event(world, words.slice(3)));
  }
  for (const { n, words } of scenario.lines.filter((l) => l.words[0] === 'every')) {
    const [from, to, step] = words.slice(1, 4).map(Number) as [number, number, number];
    const event = events[words[4] ?? ''];
    if (!event) throw new Error(`${scenario.file}:${n}: no event ${words[4]}`);
    for (let at = from; at <= to; at += step) {
      world.clock.in(at * 1000, () => event(world, [`${words[5]}${at}`, ...words.slice(6)]));
    }
  }
  world.clock.runUntil(Number(value('until') ?? 60) * 1000);
  failures.push(...world.rules.broken);
  for (const { n, words } of scenario.lines.filter((l) => l.words[0] === 'expect')) {
    const check = checks[words[1] ?? ''];
    if (!check) throw new Error(`${scenario.file}:${n}: no check ${words[1]}`);
    const problem = check(world, words.slice(2));
    if (problem) failures.push(`line ${n}: ${problem}`);
  }
  return { world, failures };
}
