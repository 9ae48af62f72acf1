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

/*
 * Properties of the conclusions that a new leader draws, checked against models of what happened before its election.
 * test/support/properties.ts describes the seeds.
 */

// ---- tasks that may run on unreconciled machines

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
  /** The zones in the stored record, and the zones that the current leader relies on. Null means any zone. */
  recordedZones: ZoneName[] | null;
  trustedZones: ZoneName[] | null;
  /** The machine of each task. Null if the task is on no machine. */
  readonly machineByTask: (number | null)[];
}

type Step =
  | { readonly kind: 'elect'; readonly recordsZones: boolean }
  | { readonly kind: 'start'; readonly job: number; readonly task: number; readonly machine: number; writes: boolean }
  | { readonly kind: 'end'; readonly job: number; readonly task: number };

/**
 * A model of the actual positions of the tasks and of the contents of the state store. The leader changes, and some
 * leaders do not record zones.
 */
class ClusterModel {
  leaderTerm = 0;
  zonesRecordedSince: number | null = null;
  readonly jobs: JobState[] = Array.from({ length: JOBS }, () => ({
    startTerm: 0,
    recordedZones: null,
    trustedZones: null,
    machineByTask: Array(TASKS).fill(null),
  }));
  private term: unknown = null;

  apply(step: Step): void {
    if (step.kind === 'elect') {
      this.elect(step.recordsZones);
      return;
    }
    const job = this.jobs[step.job] as JobState;
    if (step.kind === 'end') job.machineByTask[step.task] = null;
    else if (job.machineByTask[step.task] === null) this.start(job, step.task, step.machine, step.writes);
  }

  elect(recordsZones: boolean): void {
    const value = nextTermRecord(this.term, recordsZones);
    this.term = encodeTerm(value);
    this.leaderTerm = value.term;
    this.zonesRecordedSince = value.startZonesRecordedSince ?? null;
    for (const job of this.jobs) {
      const trusted = recordsZones
        ? trustedStartZones(job.startTerm, job.recordedZones, this.zonesRecordedSince)
        : null;
      job.trustedZones = trusted && [...trusted];
    }
  }

  /**
   * Starts a task in the way a leader does, which first stores what has to be stored. `writes` tells whether the leader
   * has another reason to write the job's record.
   */
  private start(job: JobState, task: number, machine: number, writes: boolean): void {
    const isFirst = job.startTerm === 0;
    if (isFirst) {
      job.startTerm = this.leaderTerm;
      job.trustedZones = this.zonesRecordedSince === null ? null : [];
    }
    const zone = zoneOf(machine);
    const isNewZone = job.trustedZones !== null && !job.trustedZones.includes(zone);
    if (isNewZone) job.trustedZones?.push(zone);
    if (isFirst || isNewZone || writes) job.recordedZones = job.trustedZones && [...job.trustedZones];
    job.machineByTask[task] = machine;
  }

  unlistedTaskMachines(job: number, listed: ReadonlySet<number>): number[] {
    return (this.jobs[job] as JobState).machineByTask.filter(
      (place) => place !== null && !listed.has(place),
    ) as number[];
  }

  /** Returns what the current leader knows of a job after the `listed` machines have sent their statuses. */
  previousTermJob(job: number, listed: ReadonlySet<number>): PreviousTermJob {
    const { startTerm, trustedZones, machineByTask } = this.jobs[job] as JobState;
    const foundTasks = machineByTask.filter((place) => place !== null && listed.has(place)).length;
    const constraints = { allowedMachineTypes: null, zone: null, toleratesSpot: true, cpus: 1, gpus: 0 };
    const startZones = trustedZones && new Set(trustedZones);
    const facts = { id: `job-${job}` as JobId, team: TEAM, startTerm, startZones };
    return { ...facts, unaccountedCount: TASKS - foundTasks, ...constraints };
  }
}

const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('elect' as const), recordsZones: fc.boolean() }),
  fc.record({
    kind: fc.constant('start' as const),
    job: fc.nat(JOBS - 1),
    task: fc.nat(TASKS - 1),
    machine: fc.nat(MACHINES - 1),
    writes: fc.boolean(),
  }),
  fc.record({ kind: fc.constant('end' as const), job: fc.nat(JOBS - 1), task: fc.nat(TASKS - 1) }),
);

function makeRecovery(model: ClusterModel, listed: ReadonlySet<number>): Recovery {
  const recovery = new Recovery({ term: model.leaderTerm, electedAt: NOW });
  for (let machine = 0; machine < MACHINES; machine++) {
    const kind = { type: 'c8' as MachineTypeName, zone: zoneOf(machine), spot: false, cpus: CPUS, gpus: 0 };
    recovery.addMachine({ id: nameOf(machine), ...kind });
  }
  recovery.onLoaded();
  for (const machine of listed) recovery.onMachineReconciled(nameOf(machine), 'listed');
  return recovery;
}

test('tasks on unreconciled machines are always considered possible, and count against their team’s quota', () => {
  const listedMachines = fc.uniqueArray(fc.nat(MACHINES - 1));
  const history = fc.array(arbitraryStep, { maxLength: 40 });
  const property = fc.property(history, fc.boolean(), listedMachines, (steps, lastRecordsZones, listedNumbers) => {
    const model = new ClusterModel();
    model.elect(true);
    for (const each of steps) model.apply(each);
    model.elect(lastRecordsZones);
    const listed = new Set(listedNumbers);
    const recovery = makeRecovery(model, listed);
    const jobs = model.jobs.map((_, job) => model.previousTermJob(job, listed));
    jobs.forEach((job, i) => {
      const machines = model.unlistedTaskMachines(i, listed);
      if (machines.length > 0)
        assert.ok(
          recovery.mayRunOnUnreconciledMachine(job, NOW),
          `${job.id} runs on unreconciled ${machines.join(' ')}`,
        );
    });
    const unlistedTasks = jobs.reduce((sum, _, job) => sum + model.unlistedTaskMachines(job, listed).length, 0);
    const countedCpus = recovery.teamExposure(jobs, NOW)?.get(TEAM)?.cpus ?? 0;
    assert.ok(
      countedCpus >= unlistedTasks,
      `${unlistedTasks} tasks run on unreconciled machines, but only ${countedCpus} are counted`,
    );
    const isAllListed = listed.size === MACHINES;
    assert.equal(recovery.isReconciled(NOW), isAllListed);
    if (isAllListed) assert.ok(jobs.every((job) => !recovery.mayRunOnUnreconciledMachine(job, NOW)));
  });
  checkProperty(import.meta.url, property, 3000);
});

// ---- classification of tasks

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
const arbitraryOtherPlacement = fc.option(
  fc.record({ machine: fc.constant('i-9' as MachineId), attempt: arbitraryAttempt }),
);

test('tasks of unreadable jobs are ignored, unread records are looked up, and each result is recorded once', () => {
  const property = fc.property(
    arbitraryAttempt,
    arbitraryExitReason,
    arbitraryStoredJob,
    arbitraryOtherPlacement,
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

test('of two placements of a task only the older one is stopped, regardless of which one is found first', () => {
  const property = fc.property(
    arbitraryAttempt,
    fc.bigInt({ min: 1n, max: 6n }),
    arbitraryRecordedJob,
    (lower, by, job) => {
      const machine = 'i-9' as MachineId;
      const higher = (lower + by) as Attempt;
      const actionFor = (attempt: Attempt, first: Attempt): string =>
        classify({ attempt, exitReason: null, job, otherPlacement: { machine, attempt: first } }).action;
      assert.equal(actionFor(lower, higher), 'stop');
      assert.equal(actionFor(higher, lower), 'adoptAndStopOther');
    },
  );
  checkProperty(import.meta.url, property, 300);
});

// ---- bursts of heartbeats

test('admitted heartbeats stay within the limit per window, and the newest of each machine is processed last', () => {
  const arrivals = fc.array(fc.record({ afterMs: fc.nat(20), machine: fc.nat(8) }), { maxLength: 200 });
  const property = fc.property(fc.integer({ min: 1, max: 5 }), arrivals, (perWindow, steps) => {
    const backlog = new HeartbeatBacklog<{ machine: number; number: number }>(perWindow);
    const processed: { at: number; machine: number; number: number }[] = [];
    const newest = new Map<number, number>();
    let now = 0;
    const processDue = (): void => {
      for (const heartbeat of backlog.takeDue(now as MonotonicTime)) processed.push({ at: now, ...heartbeat });
    };
    steps.forEach(({ afterMs, machine }, number) => {
      now += afterMs;
      processDue();
      newest.set(machine, number);
      if (backlog.admit(now as MonotonicTime)) {
        backlog.remove(nameOf(machine));
        processed.push({ at: now, machine, number });
      } else backlog.add(nameOf(machine), { machine, number });
      assert.ok(backlog.size <= newest.size);
    });
    for (let next = backlog.nextDueAt(); next !== null; next = backlog.nextDueAt()) {
      now = next;
      processDue();
    }
    for (const [machine, number] of newest) {
      assert.equal(processed.filter((heartbeat) => heartbeat.machine === machine).at(-1)?.number, number);
    }
    for (const { at } of processed) {
      // Windows of 50 ms can begin at any time, so any interval of 50 ms overlaps at most two of them.
      const within = processed.filter((heartbeat) => heartbeat.at >= at && heartbeat.at < at + 50).length;
      assert.ok(
        within <= 2 * perWindow,
        `${within} heartbeats processed in 50 ms, which is more than two windows allow`,
      );
    }
  });
  checkProperty(import.meta.url, property, 500);
});
