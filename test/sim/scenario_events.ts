import type { Output, StateStoreOperation } from '../../src/core/messages.js';
import type { JobId } from '../../src/core/types.js';
import { type Build, CURRENT_BUILD, CURRENT_BUILDS } from './build.js';
import { sendInvalidRequest } from './invalid_requests.js';
import { makeJobSpec, numberOption, readOptions } from './job_options.js';
import { recoveryEvents } from './recovery_events.js';
import type { World } from './world.js';

/** Where a scenario names no old versions. */
export const NO_OLD_VERSIONS: ReadonlyMap<string, Build> = new Map();

export function buildNamed(oldVersions: ReadonlyMap<string, Build>, name: string): Build {
  const build = CURRENT_BUILDS.find((known) => known.name === name) ?? oldVersions.get(name);
  if (!build) throw new Error(`no version ${name}`);
  return build;
}

function controllersNamed(world: World, which: string | undefined): World['controllers'] {
  if (which === 'all') return world.controllers.slice();
  if (which === 'leader') return [world.leader() ?? world.controllers[0]].filter((node) => node !== undefined);
  if (which === 'followers') return world.controllers.filter((node) => node !== world.leader());
  return world.controllers.filter((node) => node.name === which);
}

function workersNamed(
  world: World,
  which: string | undefined,
): World['workers'] extends Map<unknown, infer W> ? W[] : never {
  const all = [...world.workers.values()];
  if (which === 'all') return all;
  if (which?.startsWith('zone:')) return all.filter((worker) => worker.zone === which.slice(5));
  if (which === 'busy') return all.filter((worker) => worker.tasks.size > 0).slice(0, 1);
  if (which?.startsWith('some:')) {
    // So many of them, spread over all.
    const step = Math.max(1, Math.floor(all.length / Number(which.slice(5))));
    const from = Math.floor(world.clock.randomBetween(0, step));
    return all.filter((_, i) => i % step === from % step).slice(0, Number(which.slice(5)));
  }
  return all.filter((worker) => worker.id === which);
}

/** Nodes and machines of that name. */
function hostsNamed(world: World, which: string | undefined): string[] {
  return [
    ...controllersNamed(world, which).map((node) => node.name as string),
    ...workersNamed(world, which).map((worker) => worker.id as string),
  ];
}

/** The hosts that a cut separates from, by the word of the scenario. */
function partitionPeers(world: World, from: string | undefined): string[] {
  if (from === 'workers') return [...world.workers.keys()];
  if (from === 'control') return ['state', ...world.controllers.map((node) => node.name as string)];
  return [from ?? '*'];
}

export type ScenarioEvent = (world: World, words: string[]) => void;

/** Notes when a trouble is over, so that the rules know when all is quiet. */
function noteFault(world: World, seconds: string | undefined): number {
  const ms = Number(seconds) * 1000;
  world.invariants.faultsUntil = Math.max(world.invariants.faultsUntil, world.clock.now + ms);
  return ms;
}

/** At which call a node ends: before or after its lease is granted, or a transaction carried out. */
const CRASH_POINTS: Readonly<Record<string, (op: StateStoreOperation, carriedOut: boolean) => boolean>> = {
  'before-grant': (op, after) => op.op === 'grant' && !after,
  'after-grant': (op, after) => op.op === 'grant' && after,
  'before-take': (op, after) => takesLeadership(op) && !after,
  'after-take': (op, after) => takesLeadership(op) && after,
  'before-results': (op, after) => recordsResults(op) && !after,
};
const recordsResults = (op: StateStoreOperation): boolean =>
  op.op === 'compareAndSwap' && op.changes.some((change) => 'put' in change && hasResults(change.value));
const hasResults = (value: unknown): boolean => ((value as { done?: unknown[] }).done?.length ?? 0) > 0;
const takesLeadership = (op: StateStoreOperation): boolean =>
  op.op === 'compareAndSwap' && op.changes.some((change) => 'put' in change && change.put === 'leader');

/** Outputs that only a leader may make. */
const PAUSABLE_OUTPUTS: Readonly<Record<string, (output: Output) => boolean>> = {
  return: (output) => output.kind === 'cloudCall' && output.operation.op === 'terminate',
  rent: (output) => output.kind === 'cloudCall' && output.operation.op === 'provision',
  commands: (output) => output.kind === 'commandPush' && output.operation.commands.length > 0,
  answers: (output) => output.kind === 'heartbeatResponse' && output.response.status === 200,
};

export const events: Readonly<Record<string, ScenarioEvent>> = {
  ...recoveryEvents,
  submit(world, [id, shape, ...rest]) {
    const options = readOptions(rest);
    const spec = makeJobSpec(id ?? '', shape === 'gang' || shape === 'service' ? shape : 'array', options);
    if (options.faulty) world.faultyJobs.add(spec.id);
    world.submit(spec, numberOption(options, 'run', 10) * 1000);
  },
  cancel(world, [id]) {
    world.cancel(id as JobId);
  },
  /** crash NODE|leader|all [back after S seconds, default 3] */
  crash(world, [which, back]) {
    for (const node of controllersNamed(world, which)) {
      node.crash();
      world.clock.schedule(noteFault(world, back ?? '3'), () => node.start());
    }
  },
  /** freeze NODE|leader|all S: it stands still while its clocks run on */
  freeze(world, [which, seconds]) {
    for (const node of controllersNamed(world, which)) node.freeze(noteFault(world, seconds));
  },
  /** pause-sending NODE S return|rent|commands|answers: it stands still between making the next of these and sending them */
  'pause-sending'(world, [which, seconds, what]) {
    const isSuch = PAUSABLE_OUTPUTS[what ?? ''];
    if (!isSuch) throw new Error(`nothing sent is called ${what}`);
    for (const node of controllersNamed(world, which)) {
      node.pauseBeforeOutputs = { ms: noteFault(world, seconds), isDue: (outputs) => outputs.some(isSuch) };
    }
  },
  outage(world, [seconds]) {
    world.stateStore.outage(noteFault(world, seconds));
  },
  /** refuse NODE S: the state service answers 503 to this node alone */
  refuse(world, [which, seconds]) {
    for (const node of controllersNamed(world, which)) {
      world.stateStore.refusedHosts.add(node.name);
      world.clock.schedule(noteFault(world, seconds), () => world.stateStore.refusedHosts.delete(node.name));
    }
  },
  /** cut NODE|MACHINE state|cloud|workers|users|control|* S drop|hold|refuse; control: state service and other nodes */
  cut(world, [which, from, seconds, mode]) {
    const refused = mode === 'refuse';
    const others = partitionPeers(world, from).filter((other) => !refused || other !== 'state');
    const ms = noteFault(world, seconds);
    for (const host of hostsNamed(world, which)) {
      if (refused) {
        world.stateStore.refusedHosts.add(host);
        world.clock.schedule(ms, () => world.stateStore.refusedHosts.delete(host));
      }
      for (const other of others) {
        if (other !== host) world.network.partition(host, other, ms, mode === 'hold' ? 'hold' : 'drop');
      }
    }
  },
  /** one-way MACHINE|all S: its reports arrive, answers and commands don't reach it */
  'one-way'(world, [which, seconds]) {
    for (const worker of workersNamed(world, which))
      world.network.partition(worker.id, '*', noteFault(world, seconds), 'drop', true);
  },
  /** one-way-from NODE S: nothing that this node says reaches any machine, by whatever way it goes */
  'one-way-from'(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const node of controllersNamed(world, which)) {
      for (const id of world.workers.keys()) world.network.partition(id, node.name, ms, 'drop', true);
    }
  },
  /** unanswered NODE S: what it says reaches the machines, and nothing that they say reaches it */
  unanswered(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const node of controllersNamed(world, which)) {
      for (const id of world.workers.keys()) world.network.partition(node.name, id, ms, 'drop', true);
    }
  },
  /** duplicate-reports S: reports sent in this time come once more, 1 to 60 s late, to any node */
  'duplicate-reports'(world, [seconds]) {
    world.duplicateHeartbeatsUntil = world.clock.now + noteFault(world, seconds);
    world.invariants.faultsUntil += 60_000;
  },
  /** no-reports MACHINE|all S: it reaches no controller, while direct commands reach it */
  'no-reports'(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const worker of workersNamed(world, which)) worker.heartbeatsLostUntil = world.clock.now + ms;
  },
  /** hold-reports MACHINE|all S: what they report meanwhile reaches whoever leads afterwards */
  'hold-reports'(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const worker of workersNamed(world, which)) worker.heartbeatsDelayedUntil = world.clock.now + ms;
  },
  /** slow-links NODE|MACHINE|all MS S: each message to and from it takes up to MS longer */
  'slow-links'(world, [which, delay, seconds]) {
    const ms = noteFault(world, seconds);
    for (const host of hostsNamed(world, which)) world.network.addLatency(host, Number(delay), ms);
  },
  /** slow-state FACTOR S: the state service takes so many times as long */
  'slow-state'(world, [factor, seconds]) {
    world.stateStore.slowDown(Number(factor), noteFault(world, seconds));
  },
  /** late-writes SHARE S: transactions without an answer, carried out 2 to 12 s later, after newer ones */
  'late-writes'(world, [share, seconds]) {
    world.stateStore.delayWrites(Number(share), noteFault(world, seconds));
    world.invariants.faultsUntil += 12_000;
  },
  /** lower-limits valueBytes=N txnOps=N rps=N writeRps=N: the state service takes less from now on */
  'lower-limits'(world, words) {
    const options = readOptions(words);
    const { valueBytes, txnOps } = world.limits;
    world.stateStore.lowerLimits({
      valueBytes: numberOption(options, 'valueBytes', valueBytes),
      txnOps: numberOption(options, 'txnOps', txnOps),
      rps: numberOption(options, 'rps', Number.POSITIVE_INFINITY),
      writeRps: numberOption(options, 'writeRps', Number.POSITIVE_INFINITY),
    });
  },
  /** upgrade NODE|all BACK [EVERY]: it ends and comes back with the present build, one after the other with EVERY */
  upgrade(world, [which, back, every]) {
    controllersNamed(world, which).forEach((node, i) => {
      const at = i * Number(every ?? 0) * 1000;
      noteFault(world, String(at / 1000 + Number(back ?? 3)));
      world.clock.schedule(at, () => {
        node.installBuild(CURRENT_BUILD);
        events.crash?.(world, [node.name, back ?? '3']);
      });
    });
  },
  /** downgrade NODE VERSION BACK: it ends and comes back with an old version, as a process found old after a roll */
  downgrade(world, [which, version, back]) {
    for (const node of controllersNamed(world, which)) {
      node.installBuild(buildNamed(world.options.oldVersions ?? NO_OLD_VERSIONS, version ?? ''));
      events.crash?.(world, [node.name, back ?? '3']);
    }
  },
  /** refusal-then-outage AFTER S: the leader alone is refused, jobs are called off, and AFTER seconds later the state service is out */
  'refusal-then-outage'(world, [after, seconds]) {
    events.refuse?.(world, ['leader', '14']);
    world.clock.schedule(Number(after) * 500, () => events['cancel-now']?.(world, ['3']));
    world.clock.schedule(Number(after) * 1000, () => events.outage?.(world, [seconds ?? '45']));
    noteFault(world, String(Number(after) + Number(seconds ?? 45)));
  },
  /** zone-cut ZONE NODE S drop|hold: the machines of a zone and a node are cut off from all others, not from each other */
  'zone-cut'(world, [zone, which, seconds, mode]) {
    const ms = noteFault(world, seconds);
    const names = controllersNamed(world, which).map((node) => node.name as string);
    const inside = [...world.workers.values()]
      .filter((worker) => worker.zone === zone)
      .map((worker) => worker.id as string);
    const outside = [
      ...world.controllers.map((node) => node.name as string).filter((name) => !names.includes(name)),
      ...[...world.workers.values()].filter((worker) => worker.zone !== zone).map((worker) => worker.id as string),
      'state',
      'cloud',
      'users',
    ];
    for (const inner of [...names, ...inside]) {
      for (const outer of outside) world.network.partition(inner, outer, ms, mode === 'hold' ? 'hold' : 'drop');
    }
  },
  /** no-job-news NODE S: the state service tells it nothing of jobs, while its lease is renewed */
  'no-job-news'(world, [which, seconds]) {
    for (const node of controllersNamed(world, which)) {
      world.stateStore.jobReadsRefusedFor.add(node.name);
      world.clock.schedule(noteFault(world, seconds), () => world.stateStore.jobReadsRefusedFor.delete(node.name));
    }
  },
  /** flap N STEP BACK: whoever leads ends, so many times, every STEP seconds, and is back after BACK seconds */
  flap(world, [times, step, back]) {
    noteFault(world, String(Number(times) * Number(step)));
    for (let i = 0; i < Number(times); i++) {
      world.clock.schedule(i * Number(step) * 1000, () => events.crash?.(world, ['leader', back ?? '1']));
    }
  },
  /** cancel-now N [HANG]: so many jobs that run are called off within a fifth of a second; eight of their machines hang */
  'cancel-now'(world, [count, hang]) {
    const running = [...world.invariants.tasksOnMachines].filter(
      ([id, tasks]) => tasks.size > 0 && !world.invariants.cancellationRequested.has(id),
    );
    const machines = new Set<string>();
    for (const [id, tasks] of running.slice(0, Number(count))) {
      for (const places of tasks.values()) for (const place of places) machines.add(place.machine);
      world.clock.schedule(world.clock.randomBetween(0, 200), () => world.cancel(id));
    }
    if (hang) for (const machine of [...machines].slice(0, 8)) events.hang?.(world, [machine, hang]);
  },
  /** cancel-at-end SHARE S: that share of the jobs that end is called off at the moment of the end */
  'cancel-at-end'(world, [share, seconds]) {
    world.cancelAtEnd = { share: Number(share), until: world.clock.now + noteFault(world, seconds) };
  },
  /** close-looks S: users ask all nodes within milliseconds after a job was accepted, ended or cancelled */
  'close-looks'(world, [seconds]) {
    world.pollBurstsUntil = world.clock.now + noteFault(world, seconds);
  },
  /** invalid-requests S: repeats of submissions, cancellations of what is done, jobs that fit no machine or lack a field */
  'invalid-requests'(world, [seconds]) {
    const until = world.clock.now + noteFault(world, seconds);
    const next = (turn: number): void => {
      if (world.clock.now > until) return;
      sendInvalidRequest(world, turn);
      world.clock.schedule(world.clock.randomBetween(300, 900), () => next(turn + 1));
    };
    next(0);
  },
  /** crash-at STEP TIMES BACK: whoever next gets to this step ends there, and is back after BACK seconds */
  'crash-at'(world, [step, times, back]) {
    const hits = CRASH_POINTS[step ?? ''];
    if (!hits) throw new Error(`no step ${step}`);
    let left = Number(times ?? 1);
    const before = world.stateStore.onOperation;
    world.stateStore.onOperation = (from, op, carriedOut) => {
      before(from, op, carriedOut);
      if (left <= 0 || !hits(op, carriedOut)) return;
      left -= 1;
      events.crash?.(world, [from, back ?? '0.1']);
    };
  },
  hang(world, [which, seconds]) {
    for (const worker of workersNamed(world, which)) worker.hungUntil = world.clock.now + noteFault(world, seconds);
  },
  'fail-tasks'(world, [which]) {
    for (const worker of workersNamed(world, which)) worker.failsTasks = true;
  },
  slow(world, [which, factor]) {
    for (const worker of workersNamed(world, which)) worker.speed = 1 / Number(factor ?? 4);
  },
  /** notice MACHINE S: the cloud takes it after S seconds */
  notice(world, [which, seconds]) {
    for (const worker of workersNamed(world, which)) {
      worker.interruptionAt = world.clock.now + Number(seconds) * 1000;
      world.clock.schedule(Number(seconds) * 1000, () => world.cloud.interrupt(worker.id));
    }
  },
  take(world, [which]) {
    for (const worker of workersNamed(world, which)) world.cloud.interrupt(worker.id);
  },
  fail(world, [which]) {
    for (const worker of workersNamed(world, which)) world.cloud.failMachine(worker.id);
  },
  'cloud-outage'(world, [seconds]) {
    world.cloud.isDown = true;
    world.clock.schedule(noteFault(world, seconds), () => {
      world.cloud.isDown = false;
    });
  },
  /** boot-trouble FACTOR SHARE S [ZONE]: machines rented meanwhile boot FACTOR times as long, or, that share, never */
  'boot-trouble'(world, [factor, share, seconds, zone]) {
    const until = world.clock.now + noteFault(world, seconds);
    world.cloud.addBootFault({ factor: Number(factor), neverBootsShare: Number(share), until, zone: zone ?? null });
  },
  'never-boot'(world, [count]) {
    world.cloud.neverBootCount = Number(count);
  },
};
