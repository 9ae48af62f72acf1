/** Golden tests of the settings files and the command line. */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { parse, stringify, type TomlTable } from 'smol-toml';
import { loadFeatures } from '../../src/config/features.js';
import { loadPlatform } from '../../src/config/platform.js';
import { loadTuning } from '../../src/config/tuning.js';
import { GoldenFile, type GoldenValue } from './golden_file.js';

type Load = (file: string) => unknown;

const directory = mkdtempSync(join(tmpdir(), 'golden-settings-'));
const fileOf = (name: string, text: string): string => {
  const file = join(directory, name);
  writeFileSync(file, text);
  return file;
};
const repositoryFile = (path: string): string => fileURLToPath(new URL(`../../../../${path}`, import.meta.url));

/** Returns all values of a parsed result as a sorted list, without the names that the code gives them. */
function leafValues(value: unknown): string[] {
  if (typeof value === 'object' && value !== null) return Object.values(value).flatMap(leafValues).sort();
  return [JSON.stringify(value) ?? 'undefined'];
}

function difference(list: readonly string[], others: readonly string[]): string[] {
  const left = [...list];
  for (const other of others) {
    const index = left.indexOf(other);
    if (index >= 0) left.splice(index, 1);
  }
  return left;
}

/**
 * Returns the values that the file loses (`goes`) and gains (`comes`) in comparison with `base`, or the error message
 * if the file is rejected.
 */
function effectOf(load: Load, text: string, base: readonly string[]): GoldenValue {
  const file = fileOf('settings.toml', text);
  try {
    const read = leafValues(load(file));
    return { goes: difference(base, read), comes: difference(read, base) };
  } catch (error) {
    return (error as Error).message.replaceAll(file, 'FILE');
  }
}

/** Returns the path of every value and table in a TOML document. */
function pathsOf(value: unknown, path: readonly string[] = []): string[][] {
  const own = path.length > 0 ? [[...path]] : [];
  if (typeof value !== 'object' || value === null) return own;
  return [...own, ...Object.entries(value).flatMap(([key, part]) => pathsOf(part, [...path, key]))];
}

/** Returns the document as text with another value at the path; undefined removes the value. */
function withValueAt(table: TomlTable, path: readonly string[], value: unknown): string {
  const copy = structuredClone(table);
  let at = copy as Record<string, unknown>;
  for (const key of path.slice(0, -1)) at = at[key] as Record<string, unknown>;
  const last = path.at(-1) as string;
  if (value !== undefined) at[last] = value;
  else if (Array.isArray(at)) at.splice(Number(last), 1);
  else delete at[last];
  return stringify(copy);
}

const OTHER_VALUES: readonly unknown[] = [
  0,
  0.015,
  0.5,
  1,
  3,
  30.5,
  3333,
  61_000,
  -1,
  'text',
  '',
  'host:77',
  'host:x',
  true,
  false,
  [],
  {},
  Number.NaN,
  Number.POSITIVE_INFINITY,
];

/** A platform's file that has every key, with distinct values. */
const PLATFORM: TomlTable = {
  host_name: 'perch-1',
  area: 'a1',
  listen: '10.0.0.1:8001',
  peer_bind: '10.0.0.1:8002',
  siblings: [
    { host_name: 'perch-2', area: 'a2', address: '10.0.0.2:8003' },
    { host_name: 'perch-3', area: 'a3', address: '10.0.0.3:8004' },
  ],
  endpoints: { cloud: '10.0.0.4:8005', state: '10.0.0.5:8006' },
  deployment: {
    initial_size: 5,
    zones: ['z1', 'z2'],
    skew_ms: 26,
    teams: [
      { name: 'red', cpus: 101, cpus_max: 102, gpus: 103, gpus_max: 104 },
      { name: 'blue', cpus: 105, cpus_max: 106, gpus: 107, gpus_max: 108 },
    ],
    objectives: [
      { kind: 'wait', class: 'c1', within_s: 201, times: 1.25 },
      { kind: 'finished', class: 'c2', within_s: 202, times: 1.5 },
      { kind: 'deadline', class: 'c3', within_s: 203, times: 1.75 },
      { kind: 'cost', class: 'c4', within_s: 204, times: 1.875 },
    ],
    workers: { report_s: 2.1, lease_s: 10.2, gang_wait_s: 40.3, gang_peer_s: 5.4, cancel_s: 39.5 },
    state: {
      rps: 301,
      write_rps: 31,
      value_kb: 9,
      txn_ops: 11,
      next: { rps: 299, write_rps: 29, value_kb: 7, txn_ops: 10 },
    },
    cloud: { rps: 6, list_lag_s: 3.1 },
    machine_limits: { cpu_share: 0.31, memory_mb: 128, max_connections: 2001 },
  },
};

/** The keys of the operators' files as first delivered. Later versions may have more keys. */
const TUNING: TomlTable = {
  leadership: { lease_share: 0.3, margin_ms: 401, resign_after_ms: 6001, backoff_ms: 15_001, reports_cpu_share: 0.51 },
  scheduler: {
    period_ms: 2001,
    spacing_ms: 402,
    spacing_per_machine_ms: 0.52,
    spacing_per_step_ms: 0.05,
    individuals: 21,
    generations: 16,
    mutation: 0.1,
    plan_steps: 10_001,
    jobs_planned: 24,
    weight_average: 1.1,
    weight_maximum: 1.2,
    weight_idle: 1.3,
    gpu_penalty_s: 41,
    on_demand_penalty_s: 3.1,
    reserved_type_penalty_s: 62,
    cached_image_penalty_s: 22,
    future_discount: 0.53,
    gang_future_discount: 2.1,
    overdue_share: 0.31,
    priority_base: 4.1,
    overdue_after_s: 100,
    urgency: 6.1,
    urgency_horizon_s: 63,
  },
  machines: {
    idle_return_s: 12,
    rent_horizon_s: 64,
    rent_round_up: 0.7,
    rent_margin_s: 3.2,
    refused_backoff_s: 12.5,
    boot_give_up: 3.3,
    error_limit: 2,
    keep_guarantees: true,
  },
};
const FEATURES: TomlTable = {
  recovery: { enabled: true, record_zones: true, lists_per_window: 64, ask_after_ms: 301 },
};

const OLD_TUNING_KEYS = [
  'gpu_reluctance_s',
  'ordinary_reluctance_s',
  'wanted_reluctance_s',
  'warm_reluctance_s',
  'future_doubt',
];

function fileTests(golden: GoldenFile, name: string, load: Load, table: TomlTable): void {
  test(`golden: every key of the ${name} file has the same effect as before`, () => {
    const base = leafValues(load(fileOf('base.toml', stringify(table))));
    golden.check(`${name}: all keys`, base);
    for (const path of pathsOf(table)) {
      const key = `${name}: ${path.join('.')}`;
      golden.check(`${key}, missing`, effectOf(load, withValueAt(table, path, undefined), base));
      golden.check(
        `${key}, other values`,
        OTHER_VALUES.map((value) => effectOf(load, withValueAt(table, path, value), base)),
      );
    }
    for (const path of pathsOf(table).filter((place) => place.length < 3)) {
      golden.check(
        `${name}: a key beside ${path.join('.')}`,
        effectOf(load, withValueAt(table, [...path.slice(0, -1), 'unheard_of'], 7), base),
      );
    }
    for (const text of ['', 'no toml', 'a = 1\na = 2']) golden.check(`${name}: "${text}"`, effectOf(load, text, base));
  });
}

/** Tests that run the program from the command line, as operators do. */
function programTests(golden: GoldenFile): void {
  test('golden: command line, exit codes and messages are unchanged', () => {
    const main = fileURLToPath(new URL('../../src/main.js', import.meta.url));
    const config = fileOf('platform.toml', stringify(PLATFORM));
    const wrong = fileOf('wrong.toml', withValueAt(PLATFORM, ['deployment', 'state', 'rps'], 0));
    const files = [
      '--tuning',
      repositoryFile('deploy/tuning.toml'),
      '--features',
      repositoryFile('deploy/features.toml'),
    ];
    const commands: readonly (readonly string[])[] = [
      ['--help'],
      ['check', '--help'],
      ['check', '--config', config, ...files],
      ['check', '--config', wrong, ...files],
      ['--config', wrong, ...files],
      ['check', '--config', join(directory, 'nowhere.toml'), ...files],
      ['check'],
      [],
      ['unheard-of'],
      ['--unheard-of'],
      ['check', '--config'],
    ];
    for (const words of commands) {
      const { status, stdout, stderr } = spawnSync(process.execPath, [main, ...words], {
        encoding: 'utf8',
        env: { ...process.env, COLUMNS: '80' },
      });
      const plain = (text: string): string =>
        text.replaceAll(directory, 'DIRECTORY').replaceAll(repositoryFile(''), 'REPOSITORY/');
      golden.check(`command line: ${plain(words.join(' '))}`, { status, stdout: plain(stdout), stderr: plain(stderr) });
    }
  });
}

/** Tests for every key of the settings files, the values that are read, and the error messages for invalid files. */
export function settingsTests(): void {
  const golden = new GoldenFile('settings');
  fileTests(golden, 'platform', loadPlatform, PLATFORM);
  fileTests(golden, 'tuning', loadTuning, TUNING);
  fileTests(golden, 'features', loadFeatures, FEATURES);

  test('golden: old names of renamed keys are rejected', () => {
    for (const key of OLD_TUNING_KEYS) {
      const table = { ...TUNING, scheduler: { ...(TUNING.scheduler as TomlTable), [key]: 1 } };
      golden.check(`tuning: old key ${key}`, effectOf(loadTuning, stringify(table), []));
    }
  });

  test('golden: the keys of the files in deploy are unchanged', () => {
    for (const name of ['tuning', 'features', 'service']) {
      const table = parse(readFileSync(repositoryFile(`deploy/${name}.toml`), 'utf8'));
      golden.check(
        `keys of deploy/${name}.toml`,
        pathsOf(table).map((path) => path.join('.')),
      );
    }
  });

  programTests(golden);
  golden.checkComplete();
}
