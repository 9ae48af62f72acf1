import { readFileSync } from 'node:fs';
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
import { type Build, LIMITS, type Limits, PRESENT, World } from './world.js';

/*
 * A scenario is a text file, one statement a line, `#` for comments:
 *   seed N | nodes N | zones a b | capacity N | machines N TYPE ZONE [spot]
 *   limits key=value ...   (what the deployment allows: rps, writeRps, valueBytes, txnOps, cloudRps, reportMs, ...)
 *   team NAME key=value ...
 *   at S EVENT ...        (see `events` below)
 *   every FROM TO STEP EVENT ...   (the time is added to the first word, a job's id)
 *   versions NAME ...     (the nodes run these old versions at first, in turn, see test/old_versions.txt and `upgrade`)
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

const NO_VERSIONS: ReadonlyMap<string, Build> = new Map();

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

function buildNamed(oldVersions: ReadonlyMap<string, Build>, name: string): Build {
  const build = name === PRESENT.name ? PRESENT : oldVersions.get(name);
  if (!build) throw new Error(`no version ${name}`);
  return build;
}

function nodesNamed(world: World, which: string | undefined): World['nodes'] {
  if (which === 'all') return world.nodes.slice();
  if (which === 'leader') return [world.leader() ?? world.nodes[0]].filter((n) => n !== undefined);
  if (which === 'followers') return world.nodes.filter((n) => n !== world.leader());
  return world.nodes.filter((n) => n.name === which);
}

function workersNamed(
  world: World,
  which: string | undefined,
): World['workers'] extends Map<unknown, infer W> ? W[] : never {
  const all = [...world.workers.values()];
  if (which === 'all') return all;
  if (which?.startsWith('zone:')) return all.filter((w) => w.zone === which.slice(5));
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
    for (const node of nodesNamed(world, which)) {
      node.crash();
      world.clock.in(lasts(world, back ?? '3'), () => node.start());
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
    for (const node of nodesNamed(world, which)) {
      world.state.refused.add(node.name);
      world.clock.in(lasts(world, s), () => world.state.refused.delete(node.name));
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
    for (const node of nodesNamed(world, which)) {
      for (const id of world.workers.keys()) world.network.cut(id, node.name, ms, 'drop', true);
    }
  },
  /** unanswered NODE S: what it says reaches the machines, and nothing that they say reaches it */
  unanswered(world, [which, s]) {
    const ms = lasts(world, s);
    for (const node of nodesNamed(world, which)) {
      for (const id of world.workers.keys()) world.network.cut(node.name, id, ms, 'drop', true);
    }
  },
  /** copies S: reports sent in this time come once more, 1 to 60 s late, to any node */
  copies(world, [s]) {
    world.copiesUntil = world.clock.now + lasts(world, s);
    world.rules.troublesUntil += 60_000;
  },
  /** mute MACHINE|all S: it reaches no controller, while direct commands reach it */
  mute(world, [which, s]) {
    const ms = lasts(world, s);
    for (const w of workersNamed(world, which)) w.muteUntil = world.clock.now + ms;
  },
  /** hold-reports MACHINE|all S: what they report meanwhile reaches whoever leads afterwards */
  'hold-reports'(world, [which, s]) {
    const ms = lasts(world, s);
    for (const w of workersNamed(world, which)) w.heldUntil = world.clock.now + ms;
  },
  /** slow-links NODE|MACHINE|all MS S: each message to and from it takes up to MS longer */
  'slow-links'(world, [which, delay, s]) {
    const ms = lasts(world, s);
    const hosts = [
      ...nodesNamed(world, which).map((n) => n.name as string),
      ...workersNamed(world, which).map((w) => w.id),
    ];
    for (const h of hosts) world.network.slow(h, Number(delay), ms);
  },
  /** slow-state FACTOR S: the state service takes so many times as long */
  'slow-state'(world, [factor, s]) {
    world.state.slow(Number(factor), lasts(world, s));
  },
  /** late-writes SHARE S: transactions without an answer, carried out 2 to 12 s later, after newer ones */
  'late-writes'(world, [share, s]) {
    world.state.lateWrites(Number(share), lasts(world, s));
    world.rules.troublesUntil += 12_000;
  },
  /** lower-limits valueBytes=N txnOps=N rps=N writeRps=N: the state service takes less from now on */
  'lower-limits'(world, words) {
    const o = readOptions(words);
    const { valueBytes, txnOps } = world.limits;
    world.state.lower({
      valueBytes: num(o, 'valueBytes', valueBytes),
      txnOps: num(o, 'txnOps', txnOps),
      rps: num(o, 'rps', Number.POSITIVE_INFINITY),
      writeRps: num(o, 'writeRps', Number.POSITIVE_INFINITY),
    });
  },
  /** upgrade NODE|all BACK [EVERY]: it ends and comes back with the present build, one after the other with EVERY */
  upgrade(world, [which, back, every]) {
    nodesNamed(world, which).forEach((node, i) => {
      const at = i * Number(every ?? 0) * 1000;
      lasts(world, String(at / 1000 + Number(back ?? 3)));
      world.clock.in(at, () => {
        node.become(PRESENT);
        events.crash?.(world, [node.name, back ?? '3']);
      });
    });
  },
  /** downgrade NODE VERSION BACK: it ends and comes back with an old version, as a process found old after a roll */
  downgrade(world, [which, version, back]) {
    for (const node of nodesNamed(world, which)) {
      node.become(buildNamed(world.options.oldVersions ?? NO_VERSIONS, version ?? ''));
      events.crash?.(world, [node.name, back ?? '3']);
    }
  },
  /** gap AFTER S: the leader alone is refused, jobs are called off, and AFTER seconds later the state service is out */
  gap(world, [after, s]) {
    events.refuse?.(world, ['leader', '14']);
    world.clock.in(Number(after) * 500, () => events['cancel-now']?.(world, ['3']));
    world.clock.in(Number(after) * 1000, () => events.outage?.(world, [s ?? '45']));
    lasts(world, String(Number(after) + Number(s ?? 45)));
  },
  /** zone-cut ZONE NODE S drop|hold: the machines of a zone and a node are cut off from all others, not from each other */
  'zone-cut'(world, [zone, which, s, mode]) {
    const ms = lasts(world, s);
    const names = nodesNamed(world, which).map((n) => n.name as string);
    const inside = [...world.workers.values()].filter((w) => w.zone === zone).map((w) => w.id as string);
    const outside = [
      ...world.nodes.map((n) => n.name as string).filter((n) => !names.includes(n)),
      ...[...world.workers.values()].filter((w) => w.zone !== zone).map((w) => w.id as string),
      'state',
      'cloud',
      'users',
    ];
    for (const a of [...names, ...inside]) {
      for (const b of outside) world.network.cut(a, b, ms, mode === 'hold' ? 'hold' : 'drop');
    }
  },
  /** blind NODE S: the state service tells it nothing of jobs, while its lease is renewed */
  blind(world, [which, s]) {
    for (const node of nodesNamed(world, which)) {
      world.state.blind.add(node.name);
      world.clock.in(lasts(world, s), () => world.state.blind.delete(node.name));
    }
  },
  /** flap N STEP BACK: whoever leads ends, so many times, every STEP seconds, and is back after BACK seconds */
  flap(world, [times, step, back]) {
    lasts(world, String(Number(times) * Number(step)));
    for (let i = 0; i < Number(times); i++) {
      world.clock.in(i * Number(step) * 1000, () => events.crash?.(world, ['leader', back ?? '1']));
    }
  },
  /** cancel-now N [HANG]: so many jobs that run are called off within a fifth of a second; eight of their machines hang */
  'cancel-now'(world, [n, hang]) {
    const running = [...world.rules.on].filter(([id, tasks]) => tasks.size > 0 && !world.rules.cancelAsked.has(id));
    const machines = new Set<string>();
    for (const [id, tasks] of running.slice(0, Number(n))) {
      for (const places of tasks.values()) for (const p of places) machines.add(p.machine);
      world.clock.in(world.clock.between(0, 200), () => world.cancel(id));
    }
    if (hang) for (const m of [...machines].slice(0, 8)) events.hang?.(world, [m, hang]);
  },
  /** cancel-at-end SHARE S: that share of the jobs that end is called off at the moment of the end */
  'cancel-at-end'(world, [share, s]) {
    world.cancelAtEnd = { share: Number(share), until: world.clock.now + lasts(world, s) };
  },
  /** odd-requests S: repeats of submissions, cancellations of what is done, jobs that fit no machine or lack a field */
  'odd-requests'(world, [s]) {
    const until = world.clock.now + lasts(world, s);
    const next = (n: number): void => {
      if (world.clock.now > until) return;
      oddRequest(world, n);
      world.clock.in(world.clock.between(300, 900), () => next(n + 1));
    };
    next(0);
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
    for (const worker of workersNamed(world, which)) {
      worker.noticeAt = world.clock.now + Number(s) * 1000;
      world.clock.in(Number(s) * 1000, () => world.cloud.take(worker.id));
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

/**
 * The version in production accepts gangs that are to be in one zone and in several. A later old version passes submissions
 * on to it unchecked; the present one never does, so its answers are always judged.
 */
function mayTakeSplitGangs(world: World, asked: Build): boolean {
  if (asked === PRESENT) return false;
  return asked.name === 'production' || world.nodes.some((n) => n.build.name === 'production');
}

/** One of the requests that users should not make, and some make. */
function oddRequest(world: World, n: number): void {
  const { clock, rules } = world;
  const all = [...rules.submitted.values()].filter((spec) => rules.isAccepted(spec.id));
  const id = `job-9${String(clock.now | 0)}${n}` as JobId;
  const impossible = (shape: JobSpec['shape'], o: Options, excused?: (asked: Build) => boolean): void => {
    const spec = makeSpec(id, shape, o);
    rules.neverRuns.add(id);
    world.request({ op: 'submit', id, spec, problem: '' }, excused);
  };
  switch (n % 8) {
    case 0:
      return impossible('array', { cpus: '1000' });
    case 1:
      return impossible('array', { types: 'nosuch' });
    case 2:
      return impossible(
        'gang',
        { tasks: '3', sameZone: 'yes', spread: 'yes', team: world.options.teams[0]?.name ?? '' },
        (asked) => mayTakeSplitGangs(world, asked),
      );
    case 3:
      return impossible('array', { team: 'nobody' });
    case 4:
      rules.neverRuns.add(id);
      return world.request({ op: 'submit', id, spec: null, problem: 'plumage is not a text' });
    case 5: {
      const spec = all.length > 0 ? clock.pick(all) : undefined;
      if (spec) world.request({ op: 'submit', id: spec.id, spec, problem: '' });
      return;
    }
    case 6: {
      const done = all.filter((spec) => rules.finalOf(spec.id) === 'done');
      if (done.length > 0) world.request({ op: 'cancel', id: clock.pick(done).id });
      return;
    }
    default:
      world.request({ op: 'poll', id });
  }
}

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
    return world.leader() ? null : 'nobody leads';
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
  /** expect late-writes at-least N: so many transactions were carried out late */
  'late-writes'(world, [, n]) {
    return world.state.lateDone >= Number(n) ? null : `only ${world.state.lateDone} transactions carried out late`;
  },
  /** expect late-starts at-most N: starts after the user was told that the job is cancelled */
  'late-starts'(world, [, n]) {
    const late = world.rules.lateStarts;
    return late <= Number(n) ? null : `${late} starts after a confirmed cancellation, more than ${n}`;
  },
  /** expect refused-sizes at-most N: transactions of the present build that the state service called too large */
  'refused-sizes'(world, [, n]) {
    return world.refusedSizes <= Number(n) ? null : `${world.refusedSizes} transactions too large, more than ${n}`;
  },
  /** expect terms at-most N: so often the lead was taken */
  terms(world, [, n]) {
    const term = (world.state.item('term')?.value as { n?: number } | undefined)?.n ?? 0;
    return term <= Number(n) ? null : `the lead was taken ${term} times, more than ${n}`;
  },
  /** expect throttled at-most N: calls that the state service refused for coming too often */
  throttled(world, [, n]) {
    return world.state.throttled <= Number(n) ? null : `${world.state.throttled} calls throttled, more than ${n}`;
  },
  /** expect cancelled-of N JOB ...: at least so many of them were cancelled */
  'cancelled-of'(world, [n, ...ids]) {
    const gone = ids.filter((id) => world.rules.finalOf(id as JobId) === 'cancelled');
    return gone.length >= Number(n) ? null : `only ${gone.length} cancelled`;
  },
  /** expect gone-within S JOB ...: no task on any machine, that long after its user was told that it is cancelled */
  'gone-within'(world, [s, ...ids]) {
    const late = ids.filter((id) => world.rules.goneMs(id as JobId) > Number(s) * 1000);
    return late.length === 0 ? null : `not gone in time: ${late.join(' ')}`;
  },
  /** expect up SHARE AFTER JOB ...: of the replica time from so many seconds on, that share was served */
  up(world, [share, after, ...ids]) {
    const low = ids.filter((id) => world.uptime.share(id as JobId, Number(after) * 1000) < Number(share));
    const told = low.map((id) => `${id} ${world.uptime.share(id as JobId, Number(after) * 1000).toFixed(3)}`);
    return low.length === 0 ? null : `not up enough: ${told.join(', ')}`;
  },
  /** expect up-now SHARE JOB ...: that part of the replicas runs at the end */
  'up-now'(world, [share, ...ids]) {
    const low = ids.filter((id) => world.uptime.last(id as JobId) < Number(share));
    return low.length === 0 ? null : `not up at the end: ${low.join(' ')}`;
  },
  /** expect running JOB ...: accepted and never told to be over */
  running(world, ids) {
    const over = ids.filter((id) => !world.rules.isAccepted(id as JobId) || world.rules.finalOf(id as JobId));
    return over.length === 0 ? null : `over: ${over.join(' ')}`;
  },
  /** expect refused JOB ...: answered that they can never run */
  refused(world, ids) {
    const taken = ids.filter((id) => !world.rules.refused.has(id as JobId));
    return taken.length === 0 ? null : `not refused: ${taken.join(' ')}`;
  },
  /** expect largest-page BYTES: no page of the registry is longer at the end */
  'largest-page'(world, [n]) {
    const longest = Math.max(...world.state.keys('m/').map((k) => JSON.stringify(world.state.item(k)?.value).length));
    return longest <= Number(n) ? null : `a page of ${longest} bytes`;
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
