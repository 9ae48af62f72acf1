import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type {
  Attempt,
  ExitReason,
  JobId,
  MachineId,
  MachineTypeName,
  MonotonicTime,
  TeamName,
  ZoneName,
} from '../src/core/types.js';
import {
  classify,
  encodeTerm,
  HeartbeatBacklog,
  nextTermRecord,
  type PreviousTermJob,
  Recovery,
  type StoredJob,
  trustedStartZones,
} from '../src/recovery/index.js';
import { loadOldVersions } from './sim/old_versions.js';
import { parseScenarioText } from './sim/scenario/parser.js';
import { runScenario } from './sim/scenario/runner.js';

/*
 * Properties of recovery. Seeds are fixed; FC_SEED, FC_PATH and FC_RUNS choose others, and a failure prints the line with
 * which it is played again. Counter-examples over whole worlds are lines of a scenario: kept, they go to test/scenarios/.
 */

const SEED = Number(process.env.FC_SEED ?? 28);
const RUNS = Number(process.env.FC_RUNS ?? 0);

function checkProperty<T>(property: fc.IProperty<T>, runs: number): void {
  const path = process.env.FC_PATH ? { path: process.env.FC_PATH } : {};
  const { failed, seed, counterexamplePath, counterexample, errorInstance } = fc.check(property, {
    seed: SEED,
    numRuns: RUNS || runs,
    ...path,
  });
  if (!failed) return;
  const replay = `FC_SEED=${seed} FC_PATH=${counterexamplePath} node --test target/check/test/recovery_properties.test.js`;
  assert.fail(`${fc.stringify(counterexample)}\n${String(errorInstance)}\nreplay: ${replay}`);
}

// ---- what may run unseen

const ZONES = ['a', 'b', 'c'] as ZoneName[];
const MACHINES = 6;
const JOBS = 3;
const TASKS = 3;
const CPUS = 8;
const zoneOf = (machine: number): ZoneName => ZONES[machine % ZONES.length] as ZoneName;
const nameOf = (machine: number): MachineId => `i-${machine}` as MachineId;
const NOW = 0 as MonotonicTime;
const TEAM = 'crew' as TeamName;

interface JobState {
  startTerm: number;
  /** The zones that the store holds, and those that the present leader goes by; null: any. */
  recordedZones: ZoneName[] | null;
  believedZones: ZoneName[] | null;
  /** The machine of each task; null: it is on none. */
  readonly machineByTask: (number | null)[];
}

type Step =
  | { readonly kind: 'elect'; readonly keepsZones: boolean }
  | { readonly kind: 'start'; readonly job: number; readonly task: number; readonly machine: number; writes: boolean }
  | { readonly kind: 'end'; readonly job: number; readonly task: number };

/** What is true: where tasks are, and what the store holds. Leaders come and go; some know nothing of zones. */
class ClusterModel {
  leaderTerm = 0;
  zonesKeptSince: number | null = null;
  readonly jobs: JobState[] = Array.from({ length: JOBS }, () => ({
    startTerm: 0,
    recordedZones: null,
    believedZones: null,
    machineByTask: Array(TASKS).fill(null),
  }));
  private term: unknown = null;

  apply(step: Step): void {
    if (step.kind === 'elect') {
      this.elect(step.keepsZones);
      return;
    }
    const job = this.jobs[step.job] as JobState;
    if (step.kind === 'end') job.machineByTask[step.task] = null;
    else if (job.machineByTask[step.task] === null) this.start(job, step.task, step.machine, step.writes);
  }

  elect(keepsZones: boolean): void {
    const value = nextTermRecord(this.term, keepsZones);
    this.term = encodeTerm(value);
    this.leaderTerm = value.term;
    this.zonesKeptSince = value.startZonesRecordedSince ?? null;
    for (const job of this.jobs) {
      const believed = keepsZones ? trustedStartZones(job.startTerm, job.recordedZones, this.zonesKeptSince) : null;
      job.believedZones = believed && [...believed];
    }
  }

  /** As a leader starts a task: what has to be on record is written first. `writes`: it has another reason to write. */
  private start(job: JobState, task: number, machine: number, writes: boolean): void {
    const isFirst = job.startTerm === 0;
    if (isFirst) {
      job.startTerm = this.leaderTerm;
      job.believedZones = this.zonesKeptSince === null ? null : [];
    }
    const zone = zoneOf(machine);
    const isNewZone = job.believedZones !== null && !job.believedZones.includes(zone);
    if (isNewZone) job.believedZones?.push(zone);
    if (isFirst || isNewZone || writes) job.recordedZones = job.believedZones && [...job.believedZones];
    job.machineByTask[task] = machine;
  }

  unseenMachines(job: number, listed: ReadonlySet<number>): number[] {
    return (this.jobs[job] as JobState).machineByTask.filter(
      (place) => place !== null && !listed.has(place),
    ) as number[];
  }

  /** What the present leader knows of a job once these machines have told their lists. */
  factsOf(job: number, listed: ReadonlySet<number>): PreviousTermJob {
    const { startTerm, believedZones, machineByTask } = this.jobs[job] as JobState;
    const found = machineByTask.filter((place) => place !== null && listed.has(place)).length;
    const asks = { allowedMachineTypes: null, zone: null, toleratesSpot: true, cpus: 1, gpus: 0 };
    const startZones = believedZones && new Set(believedZones);
    const facts = { id: `job-${job}` as JobId, team: TEAM, startTerm, startZones };
    return { ...facts, unaccountedCount: TASKS - found, ...asks };
  }
}

const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('elect' as const), keepsZones: fc.boolean() }),
  fc.record({
    kind: fc.constant('start' as const),
    job: fc.nat(JOBS - 1),
    task: fc.nat(TASKS - 1),
    machine: fc.nat(MACHINES - 1),
    writes: fc.boolean(),
  }),
  fc.record({ kind: fc.constant('end' as const), job: fc.nat(JOBS - 1), task: fc.nat(TASKS - 1) }),
);

function recoveryWith(truth: ClusterModel, listed: ReadonlySet<number>): Recovery {
  const recovery = new Recovery({ term: truth.leaderTerm, electedAt: NOW });
  for (let machine = 0; machine < MACHINES; machine++) {
    const kind = { type: 'c8' as MachineTypeName, zone: zoneOf(machine), spot: false, cpus: CPUS, gpus: 0 };
    recovery.addMachine({ id: nameOf(machine), ...kind });
  }
  recovery.onLoaded();
  for (const machine of listed) recovery.onMachineReconciled(nameOf(machine), 'listed');
  return recovery;
}

test('whatever runs on a machine that told nothing is held to be possible, and counts against its team', () => {
  const listedMachines = fc.uniqueArray(fc.nat(MACHINES - 1));
  const history = fc.array(arbitraryStep, { maxLength: 40 });
  const property = fc.property(history, fc.boolean(), listedMachines, (steps, lastKeeps, listedList) => {
    const truth = new ClusterModel();
    truth.elect(true);
    for (const each of steps) truth.apply(each);
    truth.elect(lastKeeps);
    const listed = new Set(listedList);
    const recovery = recoveryWith(truth, listed);
    const jobs = truth.jobs.map((_, job) => truth.factsOf(job, listed));
    jobs.forEach((job, i) => {
      const places = truth.unseenMachines(i, listed);
      if (places.length > 0) assert.ok(recovery.mayRunUnreconciled(job, NOW), `${job.id} runs on ${places.join(' ')}`);
    });
    const unseen = jobs.reduce((sum, _, job) => sum + truth.unseenMachines(job, listed).length, 0);
    const counted = recovery.teamExposure(jobs, NOW)?.get(TEAM)?.cpus ?? 0;
    assert.ok(counted >= unseen, `${unseen} tasks run unseen, ${counted} count`);
    const isAllListed = listed.size === MACHINES;
    assert.equal(recovery.isReconciled(NOW), isAllListed);
    if (isAllListed) assert.ok(jobs.every((job) => !recovery.mayRunUnreconciled(job, NOW)));
  });
  checkProperty(property, 3000);
});

// ---- what a task is

const REASONS: ExitReason[] = [
  'done',
  'stopped',
  'gang_member_lost',
  'gang_incomplete',
  'error',
  'no_capacity',
  'busy',
  'unknown',
];
const arbitraryExitReason = fc.constantFrom<ExitReason | null>(null, ...REASONS);
const arbitraryAttempt = fc.bigInt({ min: 1n, max: 6n }).map((value) => value as Attempt);
const arbitraryRecordedJob = fc.record({
  kind: fc.constant('recorded' as const),
  cancelled: fc.boolean(),
  taskDone: fc.boolean(),
  isService: fc.boolean(),
});
const arbitraryStoredJob: fc.Arbitrary<StoredJob> = fc.oneof(
  arbitraryRecordedJob,
  fc.constantFrom<StoredJob>({ kind: 'unreadable' }, { kind: 'unread' }, { kind: 'absent' }),
);
const arbitraryOtherPlace = fc.option(
  fc.record({ machine: fc.constant('i-9' as MachineId), attempt: arbitraryAttempt }),
);

test('nothing is concluded from what can’t be read, nothing dropped without a record, and results are recorded once', () => {
  const property = fc.property(
    arbitraryAttempt,
    arbitraryExitReason,
    arbitraryStoredJob,
    arbitraryOtherPlace,
    (attempt, reason, job, otherPlacement) => {
      const { action } = classify({ attempt, exitReason: reason, job, otherPlacement });
      if (job.kind === 'unreadable') assert.equal(action, 'ignore');
      if (job.kind === 'unread') assert.equal(action, 'lookUpRecord');
      if (action === 'acknowledge') assert.notEqual(reason, null);
      if (job.kind !== 'recorded') return;
      const isNewResult = reason === 'done' && !job.isService && !job.taskDone && !job.cancelled;
      assert.equal(action === 'recordResult', isNewResult);
      if (reason === null && otherPlacement === null) assert.equal(action === 'adopt', !job.cancelled && !job.taskDone);
    },
  );
  checkProperty(property, 1000);
});

test('of two places of a task one alone is stopped, the same one whichever is found first', () => {
  const property = fc.property(
    arbitraryAttempt,
    fc.bigInt({ min: 1n, max: 6n }),
    arbitraryRecordedJob,
    (lower, by, job) => {
      const machine = 'i-9' as MachineId;
      const higher = (lower + by) as Attempt;
      const found = (attempt: Attempt, first: Attempt): string =>
        classify({ attempt, exitReason: null, job, otherPlacement: { machine, attempt: first } }).action;
      assert.equal(found(lower, higher), 'stop');
      assert.equal(found(higher, lower), 'adoptAndStopOther');
    },
  );
  checkProperty(property, 300);
});

// ---- the storm

test('lists take turns: no more than so many in a window, and the newest of each machine is looked at in the end', () => {
  const arrivals = fc.array(fc.record({ afterMs: fc.nat(20), machine: fc.nat(8) }), { maxLength: 200 });
  const property = fc.property(fc.integer({ min: 1, max: 5 }), arrivals, (perWindow, steps) => {
    const backlog = new HeartbeatBacklog<{ machine: number; number: number }>(perWindow);
    const looked: { at: number; machine: number; number: number }[] = [];
    const newest = new Map<number, number>();
    let now = 0;
    const drain = (): void => {
      for (const list of backlog.takeDue(now as MonotonicTime)) looked.push({ at: now, ...list });
    };
    steps.forEach(({ afterMs, machine }, number) => {
      now += afterMs;
      drain();
      newest.set(machine, number);
      if (backlog.admit(now as MonotonicTime)) {
        backlog.remove(nameOf(machine));
        looked.push({ at: now, machine, number });
      } else backlog.add(nameOf(machine), { machine, number });
      assert.ok(backlog.size <= newest.size);
    });
    for (let next = backlog.nextDueAt(); next !== null; next = backlog.nextDueAt()) {
      now = next;
      drain();
    }
    for (const [machine, number] of newest) {
      assert.equal(looked.filter((list) => list.machine === machine).at(-1)?.number, number);
    }
    for (const { at } of looked) {
      // A window of 50 ms may begin anywhere: two of them touch any other.
      const within = looked.filter((list) => list.at >= at && list.at < at + 50).length;
      assert.ok(within <= 2 * perWindow, `${within} lists in 50 ms`);
    }
  });
  checkProperty(property, 500);
});

// ---- whole worlds

const oldVersions = await loadOldVersions();

const MACHINE_LINES = 'versions present\nzones a b\nmachines 2 c8 a\nmachines 2 c8 b\ncapacity 4\n';
const JOB_LINES = [
  'at 2 submit job-1 array tasks=20 runtime=25',
  'at 3 submit job-2 gang tasks=3 cpus=2 runtime=30 checkpointInterval=5',
  'at 4 submit job-3 array tasks=12 runtime=8 zoneSpread',
  'at 5 submit job-4 service tasks=2 cpus=1 runtime=1000 estimatedRuntime=0',
];
const END_LINES = ['at 200 cancel job-4', 'until 330'];

const halfSeconds = (from: number, to: number): fc.Arbitrary<number> =>
  fc.integer({ min: from * 2, max: to * 2 }).map((half) => half / 2);
const machineName = fc.nat(3).map((number) => `i-00000${number}`);
const scenarioLine = (...parts: fc.Arbitrary<string | number>[]): fc.Arbitrary<string> =>
  fc.tuple(halfSeconds(8, 90), ...parts).map(([at, ...words]) => `at ${at} ${words.join(' ')}`);
const constantWord = (text: string): fc.Arbitrary<string> => fc.constant(text);

const coldStart = scenarioLine(constantWord('crash all'), halfSeconds(0.5, 25));
const fault = fc.oneof(
  coldStart,
  scenarioLine(constantWord('crash leader'), halfSeconds(0.5, 6)),
  scenarioLine(constantWord('crash-at'), fc.constantFrom('before-acquire', 'after-acquire'), constantWord('2 0.2')),
  scenarioLine(
    constantWord('partition'),
    machineName,
    constantWord('*'),
    halfSeconds(2, 25),
    fc.constantFrom('delay', 'drop'),
  ),
  scenarioLine(constantWord('interrupt'), machineName),
  scenarioLine(constantWord('hang'), machineName, halfSeconds(1, 20)),
  scenarioLine(constantWord('duplicate-heartbeats'), halfSeconds(5, 40)),
  scenarioLine(constantWord('delay-heartbeats'), machineName, halfSeconds(2, 20)),
  scenarioLine(constantWord('delay-writes 0.3'), halfSeconds(2, 15)),
  scenarioLine(constantWord('store-outage'), halfSeconds(1, 15)),
  scenarioLine(constantWord('store-refuse leader'), halfSeconds(2, 15)),
  scenarioLine(constantWord('cancel'), fc.constantFrom('job-1', 'job-2', 'job-3')),
  scenarioLine(constantWord('downgrade perch-1 latest'), halfSeconds(0.5, 3)),
);

function runGeneratedScenario(lines: readonly string[]): ReturnType<typeof runScenario> {
  const text = [MACHINE_LINES, ...JOB_LINES, ...lines, ...END_LINES].join('\n');
  return runScenario(parseScenarioText('generated', `# generated\n${text}\n`), oldVersions);
}

test('after any troubles round cold starts no rule is broken, and every job has one final answer', () => {
  const troubles = fc.tuple(coldStart, fc.array(fault, { minLength: 1, maxLength: 6 }));
  const property = fc.property(troubles, ([first, rest]) => {
    const { world, failures } = runGeneratedScenario([first, ...rest]);
    const open = ['job-1', 'job-2', 'job-3', 'job-4'].filter((id) => {
      return world.invariants.isAccepted(id as JobId) && !world.invariants.finalStateOf(id as JobId);
    });
    assert.deepEqual([...failures, ...world.errors, ...open], []);
    assert.equal(world.leader()?.recoverySummary()?.unreconciledMachines ?? 0, 0);
  });
  checkProperty(property, 60);
});

test('where truth and record agree nothing is stopped and nothing begun twice, however often all controllers fall', () => {
  const fall = fc.tuple(halfSeconds(8, 60), halfSeconds(0.5, 7)).map(([at, back]) => `at ${at} crash all ${back}`);
  const property = fc.property(fc.array(fall, { minLength: 1, maxLength: 3 }), (falls) => {
    const { world } = runGeneratedScenario(falls);
    // Falls that meet may keep all controllers away for longer than a lease.
    fc.pre(world.expiredLeases === 0);
    assert.deepEqual(world.invariants.violations, []);
    const tasks = new Map([
      ['job-1', 20],
      ['job-2', 3],
      ['job-3', 12],
      ['job-4', 2],
    ]);
    for (const [id, count] of tasks) assert.ok((world.invariants.startsByJob.get(id as JobId) ?? 0) <= count, id);
  });
  checkProperty(property, 30);
});
