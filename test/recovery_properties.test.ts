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
import { checkProperty } from './support/properties.js';

/* Properties of what a new leader concludes, by models of what happened before (test/support/properties.ts on seeds). */

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
  checkProperty(import.meta.url, property, 3000);
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
  checkProperty(import.meta.url, property, 1000);
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
  checkProperty(import.meta.url, property, 300);
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
  checkProperty(import.meta.url, property, 500);
});
