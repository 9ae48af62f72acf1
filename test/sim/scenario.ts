import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { loadTuning } from '../../src/config/tuning.js';
import type { StoreOp } from '../../src/core/messages.js';
import type {
  ImageName,
  JobId,
  JobSpec,
  MachineType,
  Rank,
  Team,
  TeamName,
  TypeName,
  ZoneName,
} from '../../src/core/types.js';
import { LIMITS, type Limits, World } from './world.js';

/*
 * A scenario is a text file, one statement a line, `#` for comments:
 *   seed N | nodes N | zones a b | capacity N | machines N TYPE ZONE [spot]
 *   limits key=value ...   (what the deployment allows: rps, writeRps, valueBytes, txnOps, cloudRps, reportMs, ...)
 *   team NAME key=value ...
 *   at S EVENT ...        (see `events` below)
 *   every FROM TO STEP EVENT ...   (the time is added to the first word, a job's id)
 *   until S
 *   expect CHECK ...      (see `checks` below; "rules kept" is always checked)
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

export const tuning = loadTuning(fileURLToPath(new URL('../../../../deploy/tuning.toml', import.meta.url)));

type Options = Record<string, string>;

export function readOptions(words: readonly string[]): Options {
  const out: Options = {};
  for (const w of words) {
    const [k, v] = w.split('=');
    if (k !== undefined) out[k] = v ?? 'yes';
  }
  return out;
}

const num = (o: Options, key: string, otherwise: number): number => (o[key] === undefined ? otherwise : Number(o[key]));

export function makeSpec(id: string, shape: JobSpec['shape'], o: Options): JobSpec {
  return {
    id: id as JobId,
    jobClass: o.class ?? 'test',
    team: (o.team ?? 'crew') as TeamName,
    shape,
    rank: num(o, 'rank', 1) as Rank,
    tasks: num(o, 'tasks', 1),
    cpus: num(o, 'cpus', 1),
    gpus: num(o, 'gpus', 0),
    memGb: num(o, 'mem', 1),
    image: (o.image ?? 'img-1') as ImageName,
    imageGb: num(o, 'imageGb', 1),
    types: o.types === undefined ? null : (o.types.split(',') as TypeName[]),
    zone: (o.zone ?? null) as ZoneName | null,
    sameZone: o.sameZone !== undefined,
    spread: o.spread !== undefined,
    spotOk: o.spot !== undefined,
    estimateS: num(o, 'estimate', num(o, 'run', 10)),
    checkpointS: num(o, 'checkpoint', 0),
    saveS: num(o, 'save', 1),
    deadlineS: null,
  };
}

function readLimits(s: Scenario): Limits {
  const limits: Record<keyof Limits, number> = { ...LIMITS };
  for (const { n, words } of s.lines.filter((l) => l.words[0] === 'limits')) {
    for (const [key, value] of Object.entries(readOptions(words.slice(1)))) {
      if (!(key in limits)) throw new Error(`${s.file}:${n}: no limit ${key}`);
      limits[key as keyof Limits] = Number(value);
    }
  }
  return limits;
}

export interface Outcome {
  readonly world: World;
  readonly failures: string[];
}

export function runScenario(s: Scenario): Outcome {
  const value = (key: string): string | undefined => s.lines.find((l) => l.words[0] === key)?.words[1];
  const zones = (s.lines.find((l) => l.words[0] === 'zones')?.words.slice(1) ?? ['a']) as ZoneName[];
  const types = TYPES.map((t) => ({ ...t, zones }));
  const teams: Team[] = s.lines
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
    limits: readLimits(s),
  });
  for (const { n, words } of s.lines.filter((l) => l.words[0] === 'machines')) {
    const type = types.find((t) => t.name === words[2]);
    if (!type) throw new Error(`${s.file}:${n}: no machine type ${words[2]}`);
    for (let i = 0; i < Number(words[1]); i++) world.cloud.add(type, words[3] as ZoneName, words[4] === 'spot', 1);
  }
  world.startNodes();
  const failures: string[] = [];
  for (const { n, words } of s.lines.filter((l) => l.words[0] === 'at')) {
    const event = events[words[2] ?? ''];
    if (!event) throw new Error(`${s.file}:${n}: no event ${words[2]}`);
    world.clock.in(Number(words[1]) * 1000, () => event(world, words.slice(3)));
  }
  for (const { n, words } of s.lines.filter((l) => l.words[0] === 'every')) {
    const [from, to, step] = words.slice(1, 4).map(Number) as [number, number, number];
    const event = events[words[4] ?? ''];
    if (!event) throw new Error(`${s.file}:${n}: no event ${words[4]}`);
    for (let at = from; at <= to; at += step) {
      world.clock.in(at * 1000, () => event(world, [`${words[5]}${at}`, ...words.slice(6)]));
    }
  }
  world.clock.runUntil(Number(value('until') ?? 60) * 1000);
  failures.push(...world.rules.broken);
  for (const { n, words } of s.lines.filter((l) => l.words[0] === 'expect')) {
    const check = checks[words[1] ?? ''];
    if (!check) throw new Error(`${s.file}:${n}: no check ${words[1]}`);
    const problem = check(world, words.slice(2));
    if (problem) failures.push(`line ${n}: ${problem}`);
  }
  return { world, failures };
}

/** The leader as the store knows it. */
export function leaderOf(world: World): World['nodes'][number] | undefined {
  const value = world.state.item('leader')?.value as { node?: string } | undefined;
  return world.nodes.find((n) => n.name === value?.node);
}

function nodesNamed(world: World, which: string | undefined): World['nodes'] {
  if (which === 'all') return world.nodes.slice();
  if (which === 'leader') return [leaderOf(world) ?? world.nodes[0]].filter((n) => n !== undefined);
  if (which === 'followers') return world.nodes.filter((n) => n !== leaderOf(world));
  return world.nodes.filter((n) => n.name === which);
}

function workersNamed(
  world: World,
  which: string | undefined,
): World['workers'] extends Map<unknown, infer W> ? W[] : never {
  const all = [...world.workers.values()];
  if (which === 'all') return all;
  if (which === 'busy') return all.filter((w) => w.tasks.size > 0).slice(0, 1);
  if (which?.startsWith('some:')) {
    // So many of them, spread over all.
    const step = Math.max(1, Math.floor(all.length / Number(which.slice(5))));
    const from = Math.floor(world.clock.between(0, step));
    return all.filter((_, i) => i % step === from % step).slice(0, Number(which.slice(5)));
  }
  return all.filter((w) => w.id === which);
}

type Event = (world: World, words: string[]) => void;

/** Notes when a trouble is over, so that the rules know when all is quiet. */
function lasts(world: World, s: string | undefined): number {
  const ms = Number(s) * 1000;
  world.rules.troublesUntil = Math.max(world.rules.troublesUntil, world.clock.now + ms);
  return ms;
}

/** At which step of an election a node ends: before or after its lease is granted, or its transaction carried out. */
const TRIPS: Readonly<Record<string, (op: StoreOp, carriedOut: boolean) => boolean>> = {
  'before-grant': (op, after) => op.op === 'grant' && !after,
  'after-grant': (op, after) => op.op === 'grant' && after,
  'before-take': (op, after) => takesLead(op) && !after,
  'after-take': (op, after) => takesLead(op) && after,
};
const takesLead = (op: StoreOp): boolean => op.op === 'txn' && op.changes.some((c) => 'put' in c && c.put === 'leader');

export const events: Readonly<Record<string, Event>> = {
  submit(world, [id, shape, ...rest]) {
    const o = readOptions(rest);
    const spec = makeSpec(id ?? '', shape === 'gang' || shape === 'service' ? shape : 'array', o);
    if (o.faulty) world.faulty.add(spec.id);
    world.submit(spec, num(o, 'run', 10) * 1000);
  },
  cancel(world, [id]) {
    world.cancel(id as JobId);
  },
  /** crash NODE|leader|all [back after S seconds, default 3] */
  crash(world, [which, back]) {
    for (const n of nodesNamed(world, which)) {
      n.crash();
      world.clock.in(lasts(world, back ?? '3'), () => n.start());
    }
  },
  /** freeze NODE|leader|all S: it stands still while its clocks run on */
  freeze(world, [which, s]) {
    for (const n of nodesNamed(world, which)) n.freeze(lasts(world, s));
  },
  outage(world, [s]) {
    world.state.outage(lasts(world, s));
  },
  /** refuse NODE S: the state service answers 503 to this node alone */
  refuse(world, [which, s]) {
    for (const n of nodesNamed(world, which)) {
      world.state.refused.add(n.name);
      world.clock.in(lasts(world, s), () => world.state.refused.delete(n.name));
    }
  },
  /** cut NODE|MACHINE state|cloud|workers|users|control|* S drop|hold|refuse; control: state service and other nodes */
  cut(world, [which, from, s, mode]) {
    const hosts = [
      ...nodesNamed(world, which).map((n) => n.name as string),
      ...workersNamed(world, which).map((w) => w.id),
    ];
    const peers = world.nodes.map((n) => n.name as string);
    const others =
      from === 'workers' ? [...world.workers.keys()] : from === 'control' ? ['state', ...peers] : [from ?? '*'];
    const ms = lasts(world, s);
    for (const h of hosts) {
      if (mode === 'refuse') {
        world.state.refused.add(h);
        world.clock.in(ms, () => world.state.refused.delete(h));
      }
      for (const o of others) {
        if (o === h || (mode === 'refuse' && o === 'state')) continue;
        world.network.cut(h, o, ms, mode === 'hold' ? 'hold' : 'drop');
      }
    }
  },
  /** deaf MACHINE|all S: its reports arrive, answers and commands don't reach it */
  deaf(world, [which, s]) {
    for (const w of workersNamed(world, which)) world.network.cut(w.id, '*', lasts(world, s), 'drop', true);
  },
  /** deaf-from NODE S: nothing that this node says reaches any machine, by whatever way it goes */
  'deaf-from'(world, [which, s]) {
    const ms = lasts(world, s);
    for (const n of nodesNamed(world, which)) {
      for (const id of world.workers.keys()) world.network.cut(id, n.name, ms, 'drop', true);
    }
  },
  /** copies S: reports sent in this time come once more, 1 to 60 s late, to any node */
  copies(world, [s]) {
    world.copiesUntil = world.clock.now + lasts(world, s);
    world.rules.troublesUntil += 60_000;
  },
  /** trip STEP TIMES BACK: whoever next gets to this step of an election ends there, and is back after BACK seconds */
  trip(world, [step, times, back]) {
    const hits = TRIPS[step ?? ''];
    if (!hits) throw new Error(`no step ${step}`);
    let left = Number(times ?? 1);
    const before = world.state.onOp;
    world.state.onOp = (from, op, carriedOut) => {
      before(from, op, carriedOut);
      if (left <= 0 || !hits(op, carriedOut)) return;
      left -= 1;
      events.crash?.(world, [from, back ?? '0.1']);
    };
  },
  hang(world, [which, s]) {
    for (const w of workersNamed(world, which)) w.hungUntil = world.clock.now + lasts(world, s);
  },
  sick(world, [which]) {
    for (const w of workersNamed(world, which)) w.sick = true;
  },
  slow(world, [which, factor]) {
    for (const w of workersNamed(world, which)) w.speed = 1 / Number(factor ?? 4);
  },
  /** notice MACHINE S: the cloud takes it after S seconds */
  notice(world, [which, s]) {
    for (const w of workersNamed(world, which)) {
      w.noticeAt = world.clock.now + Number(s) * 1000;
      world.clock.in(Number(s) * 1000, () => world.cloud.take(w.id));
    }
  },
  take(world, [which]) {
    for (const w of workersNamed(world, which)) world.cloud.take(w.id);
  },
  fail(world, [which]) {
    for (const w of workersNamed(world, which)) world.cloud.fail(w.id);
  },
  'cloud-outage'(world, [s]) {
    world.cloud.down = true;
    world.clock.in(lasts(world, s), () => {
      world.cloud.down = false;
    });
  },
  'never-boot'(world, [n]) {
    world.cloud.neverBoot = Number(n);
  },
};

/** What `expect most` can ask for. Calls and changes are of the busiest second, of all nodes together. */
const METERS: Readonly<Record<string, (world: World) => number>> = {
  'steps-a-round': (w) => w.meters.steps,
  'state-calls': (w) => w.meters.calls,
  'state-changes': (w) => w.meters.changes,
  'cloud-calls': (w) => w.meters.cloud,
  'direct-calls-open': (w) => w.meters.directs,
  'value-bytes': (w) => w.state.longest,
  'frame-bytes': (w) => w.meters.frameBytes,
};

type Check = (world: World, words: string[]) => string | null;

const checks: Readonly<Record<string, Check>> = {
  /** expect done JOB ... */
  done(world, ids) {
    const open = ids.filter((id) => world.rules.finalOf(id as JobId) !== 'done');
    return open.length === 0 ? null : `not told done: ${open.join(' ')}`;
  },
  cancelled(world, ids) {
    const open = ids.filter((id) => world.rules.finalOf(id as JobId) !== 'cancelled');
    return open.length === 0 ? null : `not told cancelled: ${open.join(' ')}`;
  },
  /** expect starts at-most N */
  starts(world, [, n]) {
    return world.rules.starts <= Number(n) ? null : `${world.rules.starts} starts, more than ${n}`;
  },
  /** expect leader: somebody holds the lead at the end */
  leader(world) {
    return leaderOf(world) ? null : 'nobody leads';
  },
  /** expect begun-within S JOB ... */
  'begun-within'(world, [s, ...ids]) {
    const late = ids.filter(
      (id) => !world.rules.hasBegun(id as JobId) || world.rules.beginMs(id as JobId) > Number(s) * 1000,
    );
    const told = late.map((id) => `${id} after ${(world.rules.beginMs(id as JobId) / 1000).toFixed(0)} s`);
    return late.length === 0 ? null : `not begun in time: ${told.join(', ')}`;
  },
  /** expect done-within S JOB ...: told so, that long after it was submitted */
  'done-within'(world, [s, ...ids]) {
    const late = ids.filter((id) => world.rules.doneMs(id as JobId) > Number(s) * 1000);
    const told = late.map((id) => `${id} after ${(world.rules.doneMs(id as JobId) / 1000).toFixed(0)} s`);
    return late.length === 0 ? null : `not done in time: ${told.join(', ')}`;
  },
  /** expect served SHARE: of every class, every team and every class's largest jobs */
  served(world, [share]) {
    const low = [...world.rules.servedShares()].filter(([, part]) => part < Number(share));
    return low.length === 0 ? null : low.map(([key, part]) => `${key}: ${part.toFixed(2)} served`).join(', ');
  },
  /** expect used MACHINE ...: some task ran there */
  used(world, ids) {
    const idle = ids.filter((id) => !world.rules.usedMachines.has(id));
    return idle.length === 0 ? null : `nothing ran on ${idle.join(' ')}`;
  },
  accepted(world, ids) {
    const open = ids.filter((id) => !world.rules.isAccepted(id as JobId));
    return open.length === 0 ? null : `not accepted: ${open.join(' ')}`;
  },
  /** expect gone MACHINE ... */
  gone(world, ids) {
    const there = ids.filter((id) => world.cloud.machines.has(id as never));
    return there.length === 0 ? null : `still rented: ${there.join(' ')}`;
  },
  /** expect leases-lost at-most N: workers whose lease ended under their tasks */
  'leases-lost'(world, [, n]) {
    return world.leasesLost <= Number(n) ? null : `${world.leasesLost} leases ran out under tasks, more than ${n}`;
  },
  rented(world, [, n]) {
    return world.cloud.rentals <= Number(n) ? null : `${world.cloud.rentals} machines rented, more than ${n}`;
  },
  /** expect machines at-most N: rented at the end */
  machines(world, [, n]) {
    return world.cloud.machines.size <= Number(n) ? null : `${world.cloud.machines.size} machines, more than ${n}`;
  },
  /** expect most WHAT N: what the controllers used of what is scarce, see `METERS` */
  most(world, [what, n]) {
    const meter = METERS[what ?? ''];
    if (!meter) return `no meter ${what}`;
    const used = meter(world);
    return used <= Number(n) ? null : `${what}: ${used}, more than ${n}`;
  },
  empty(world) {
    const left = [...world.rules.on.values()].reduce((sum, tasks) => sum + tasks.size, 0);
    return left === 0 ? null : `${left} tasks still on machines`;
  },
};
