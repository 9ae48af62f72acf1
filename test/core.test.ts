import assert from 'node:assert/strict';
import { test } from 'node:test';
import { xoroshiro128plus } from 'pure-rand';
import { CallQueue } from '../src/core/calls/call_queue.js';
import { TokenBucket } from '../src/core/calls/token_bucket.js';
import { Job } from '../src/core/jobs/job.js';
import { RangeSet } from '../src/core/jobs/range_set.js';
import { RuntimeEstimator } from '../src/core/jobs/runtime_estimator.js';
import { Cluster } from '../src/core/leadership/cluster.js';
import { Machine } from '../src/core/machines/machine.js';
import { MachineRegistry } from '../src/core/machines/machine_registry.js';
import { expectedSpotDelaySeconds, SpotInterruptionRate } from '../src/core/machines/spot_interruption_rate.js';
import { StragglerDetector, type StragglerEvidence } from '../src/core/machines/straggler_detector.js';
import { encodeJob, encodePage, fitsWithStartZones, type MachineRecord } from '../src/core/records.js';
import { EvolutionarySearch } from '../src/core/scheduler/evolutionary_search.js';
import { reserveForOverdueGangs } from '../src/core/scheduler/gang_reservation.js';
import { NO_PENALTIES, type PlanJob, type PlanMachine } from '../src/core/scheduler/plan_types.js';
import { Planner } from '../src/core/scheduler/planner.js';
import { rankingScore } from '../src/core/scheduler/priority.js';
import type { Settings } from '../src/core/settings.js';
import { StepContext } from '../src/core/step_context.js';
import type {
  ClockReading,
  ImageName,
  JobId,
  MachineId,
  MachineType,
  MachineTypeName,
  MonotonicTime,
  WallClockTime,
  ZoneName,
} from '../src/core/types.js';
import { revision } from '../src/core/types.js';
import { makeJobSpec } from './sim/job_options.js';
import { tuning } from './sim/scenario.js';

test('range sets: any order of additions gives the same few ranges', () => {
  const set = new RangeSet();
  for (const n of [5, 3, 4, 9, 0, 1, 2, 4]) set.add(n);
  assert.deepEqual(set.pairs(), [
    [0, 5],
    [9, 9],
  ]);
  assert.equal(set.count, 7);
  assert.ok(set.has(4) && !set.has(6));
  assert.deepEqual(RangeSet.from(set.pairs()).pairs(), set.pairs());
  const many = new RangeSet();
  for (let n = 0; n < 100_000; n++) many.add((n * 7919) % 100_000);
  assert.deepEqual(many.pairs(), [[0, 99_999]]);
});

test('token buckets: renewals pass an empty bucket, the rest goes by priority, nothing waits for ever', () => {
  const bucket = new TokenBucket(10, 10, 0 as MonotonicTime);
  const queue = new CallQueue(bucket, null);
  const sent: string[] = [];
  const add = (priority: 0 | 1 | 2 | 3 | 4, name: string, expires = 10_000): void =>
    queue.add(priority, {
      writeTokens: 0,
      expiresAt: expires as MonotonicTime,
      send: () => sent.push(name),
      refuse: () => sent.push(`${name} given up`),
    });
  for (let i = 0; i < 10; i++) add(3, 'slow');
  queue.dispatch(0 as MonotonicTime);
  sent.length = 0;
  add(3, 'later');
  add(2, 'read', 50);
  add(1, 'record');
  add(0, 'renew');
  const next = queue.dispatch(0 as MonotonicTime);
  assert.deepEqual(sent, ['renew']);
  assert.ok(next !== null && next > 0);
  queue.dispatch(60 as MonotonicTime);
  assert.ok(sent.includes('read given up'));
  queue.dispatch(1000 as MonotonicTime);
  assert.deepEqual(sent.slice(-2), ['record', 'later']);
});

test('estimates: a class that runs long is expected to, with care while little was seen', () => {
  const estimates = new RuntimeEstimator();
  const spec = makeJobSpec('job-1', 'array', { estimate: '10' });
  assert.equal(estimates.expectedSeconds(spec), 10);
  estimates.observe(spec, 40);
  const once = estimates.expectedSeconds(spec);
  assert.ok(once > 10 && once < 15);
  for (let i = 0; i < 100; i++) estimates.observe(spec, 40);
  assert.ok(Math.abs(estimates.expectedSeconds(spec) - 40) < 5);
});

test('ranking: at the same wait a step of priority makes up for four times the size', () => {
  const low = makeJobSpec('job-1', 'array', { cpus: '1', estimate: '10', rank: '0' });
  const high = makeJobSpec('job-2', 'array', { cpus: '3', estimate: '10', rank: '1' });
  assert.ok(rankingScore(high, 1, 10, 100, 4) < rankingScore(low, 1, 10, 100, 4));
  assert.ok(rankingScore(high, 1, 10, 0, 4) > rankingScore(low, 1, 10, 0, 4));
});

test('slowness: a slow machine is told from a wrong estimate by several jobs, weighed by how sure they are', () => {
  const job = (n: number): JobId => `job-${n}` as JobId;
  const none = new Map<JobId, StragglerEvidence>();
  const sure = new StragglerDetector();
  sure.record(job(1), { logRatio: Math.log(4), logStandardDeviation: 0.2 });
  assert.ok(!sure.isStraggler(none));
  sure.record(job(2), { logRatio: Math.log(4), logStandardDeviation: 0.2 });
  assert.ok(sure.isStraggler(none));
  const unsure = new StragglerDetector();
  for (let i = 0; i < 2; i++) unsure.record(job(i), { logRatio: Math.log(4), logStandardDeviation: 0.8 });
  assert.ok(!unsure.isStraggler(none));
  for (let i = 0; i < 6; i++) unsure.record(job(i), { logRatio: Math.log(4), logStandardDeviation: 0.8 });
  assert.ok(unsure.isStraggler(none));
  const usual = new StragglerDetector();
  for (let i = 0; i < 50; i++) usual.record(job(i), { logRatio: i % 2 === 0 ? 0.3 : -0.3, logStandardDeviation: 0.2 });
  assert.ok(!usual.isStraggler(new Map([[job(99), { logRatio: Math.log(3), logStandardDeviation: 0.5 }]])));
});

test('spot losses: long work without checkpoints is the dearer to start there the more machines are lost', () => {
  const interruptions = new SpotInterruptionRate();
  interruptions.observe(4, 60);
  const calm = interruptions.perSecond;
  for (let i = 0; i < 3; i++) interruptions.recordInterruption();
  assert.ok(interruptions.perSecond > 5 * calm);
  assert.ok(
    expectedSpotDelaySeconds(interruptions.perSecond, 100, 0) >
      expectedSpotDelaySeconds(interruptions.perSecond, 100, 10),
  );
  assert.ok(
    expectedSpotDelaySeconds(interruptions.perSecond, 100, 0) >
      4 * expectedSpotDelaySeconds(interruptions.perSecond, 30, 0),
  );
  for (let i = 0; i < 100; i++) interruptions.observe(4, 10);
  assert.ok(interruptions.perSecond < 2 * calm);
});

test('ranking: small and short first, and waiting makes up for size', () => {
  const small = makeJobSpec('job-1', 'array', { cpus: '1', estimate: '10' });
  const large = makeJobSpec('job-2', 'gang', { gpus: '4', estimate: '100' });
  assert.ok(rankingScore(small, 1, 10, 0, 2) < rankingScore(large, 2, 100, 0, 2));
  assert.ok(rankingScore(small, 1, 10, 0, 2) > rankingScore(large, 2, 100, 600, 2));
});

const makeMachineType = (name: string, cpus: number, gpus: number): MachineType => ({
  name: name as MachineTypeName,
  cpus,
  gpus,
  memoryGb: 64,
  imageCacheGb: 50,
  imagePullGbPerSecond: 1,
  pricePerHour: 1,
  spotPricePerHour: 0.5,
  bootSeconds: 30,
  zones: ['a' as ZoneName],
});

function makePlanMachine(index: number, zone: string, type: MachineType, freeCpus: number, fetchS = 0): PlanMachine {
  return {
    index,
    zone: zone as ZoneName,
    type: type,
    spot: false,
    times: freeCpus < type.cpus ? [0, 20] : [0],
    cpus: freeCpus < type.cpus ? [freeCpus, type.cpus] : [type.cpus],
    gpus: freeCpus < type.cpus ? [type.gpus, type.gpus] : [type.gpus],
    memGb: freeCpus < type.cpus ? [64, 64] : [64],
    servesGpuWork: true,
    spareCpus: type.cpus,
    spareMemoryGb: type.memoryGb,
    reservedForGangs: false,
    imagePullSeconds: () => fetchS,
    largestCachedImageShare: 0,
  };
}

function makePlanJob(index: number, over: Partial<PlanJob>): PlanJob {
  return {
    index,
    isGang: false,
    tasks: 1,
    durationSeconds: 10,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    image: 'i' as ImageName,
    imageGb: 1,
    types: null,
    fitsTypesWithoutGpus: false,
    toleratesSpot: true,
    spotDelaySeconds: 0,
    singleZone: false,
    zoneAllowance: null,
    feasibleZones: ['a' as ZoneName],
    boundZone: null,
    priorityWeight: 1,
    waitedSeconds: 0,
    penaltyFactor: 1,
    excludedMachines: null,
    ...over,
  };
}

const makePlanner = (): Planner => new Planner({ averageWait: 1, maximumWait: 1, idleShare: 1 });
const zoneA = 'a' as ZoneName;
const zoneB = 'b' as ZoneName;

const makeMachine = (
  id: string,
  address: string,
  phase: 'booting' | 'up',
  now: MonotonicTime,
  provisionedByThisLeader: boolean,
): Machine =>
  new Machine({
    id: id as MachineId,
    type: makeMachineType('g4', 24, 4),
    zone: zoneA,
    spot: false,
    address,
    reconciled: true,
    phase,
    provisionedByThisLeader,
    now,
  });

test('machines: a machine known only from a report or a list gets no work before it has shown that it hears us', () => {
  const now = 1000 as MonotonicTime;
  const reported = makeMachine('i-1', 'i-1', 'up', now, false);
  assert.equal(reported.isSchedulable(now, 2000), false);
  reported.confirmReachable();
  assert.equal(reported.isSchedulable(now, 2000), true);
  // What we rented ourselves can't be a late copy of something gone.
  const rented = makeMachine('i-2', '', 'booting', now, true);
  rented.phase = 'up';
  assert.equal(rented.isSchedulable(now, 2000), true);
  // A list is late: what it shows as booting may be gone as well.
  const listed = makeMachine('i-3', '', 'booting', now, false);
  listed.phase = 'up';
  assert.equal(listed.isSchedulable(now, 2000), false);
});

test('planner: filling free room looks only where something could begin, and ends with its steps', () => {
  const machines = Array.from({ length: 300 }, (_, i) => makePlanMachine(i, 'a', makeMachineType('g4', 24, 4), 24));
  const jobs = Array.from({ length: 200 }, (_, i) => makePlanJob(i, { cpus: 2, gpus: 4 }));
  const fill = (steps: number): { steps: number; starts: number } => {
    const evolution = makePlanner();
    const plan = evolution.plan(machines, [], null);
    const starts = evolution.backfill(plan, jobs, steps).length;
    return { steps: evolution.steps, starts };
  };
  const free = fill(1_000_000);
  assert.equal(free.starts, 200);
  const bounded = fill(1500);
  assert.ok(bounded.steps < 1500 + 300 && bounded.starts > 0 && bounded.starts < 200, JSON.stringify(bounded));
  // With nothing free for any of them, none of the 200 looks over the 300 machines.
  for (const machine of machines) machine.gpus[0] = 3;
  assert.deepEqual(fill(1_000_000), { steps: 0, starts: 0 });
});

test('planner: earliest start counts the image fetch; ties go to the machine with least room', () => {
  const eightCores = makeMachineType('c8', 8, 0);
  const cached = makePlanner().plan(
    [makePlanMachine(0, 'a', eightCores, 8, 30), makePlanMachine(1, 'a', eightCores, 8, 0)],
    [makePlanJob(0, {})],
    [zoneA],
  );
  assert.equal(cached.starts[0]?.machine, 1);
  const tight = makePlanner().plan(
    [makePlanMachine(0, 'a', eightCores, 8), makePlanMachine(1, 'a', eightCores, 3)],
    [makePlanJob(0, {})],
    [zoneA],
  );
  assert.equal(tight.starts[0]?.machine, 1);
});

test('planner: of very many machines those that are not open to a job do not stand in for those that are', () => {
  const eightCores = makeMachineType('c8', 8, 0);
  const fourGpus = makeMachineType('g4', 24, 4);
  const unused = Array.from({ length: 500 }, (_, slot) => ({
    ...makePlanMachine(slot, 'a', fourGpus, 24),
    servesGpuWork: false,
  }));
  const cores = Array.from({ length: 400 }, (_, i) => makePlanMachine(500 + i, 'a', eightCores, 8));
  const job = makePlanJob(0, { tasks: 40, fitsTypesWithoutGpus: true, penaltyFactor: 1 });
  const plan = makePlanner().plan([...unused, ...cores], [job], [zoneA]);
  assert.equal(plan.unplacedTasks.size, 0);
  assert.ok(plan.starts.every((start) => start.machine >= 500));
  const bound = makePlanJob(0, {
    tasks: 40,
    types: ['c8' as MachineTypeName],
    fitsTypesWithoutGpus: true,
    penaltyFactor: 0,
  });
  const boundPlan = makePlanner().plan([...unused, ...cores], [bound], [zoneA]);
  assert.equal(boundPlan.unplacedTasks.size, 0);
});

test('planner: work without GPUs takes of a GPU machine only what GPU work cannot use', () => {
  const fourGpus = makeMachineType('g4', 24, 4);
  const tight = { ...makePlanMachine(0, 'a', fourGpus, 24), spareCpus: 3 };
  const plan = makePlanner().plan([tight], [makePlanJob(0, { tasks: 8 })], [zoneA]);
  assert.equal(
    plan.starts.reduce((n, start) => n + start.tasks, 0),
    3,
  );
  const gpus = makePlanner().plan([tight], [makePlanJob(0, { tasks: 4, gpus: 1, cpus: 6 })], [zoneA]);
  assert.equal(gpus.starts[0]?.tasks, 4);
});

test('planner: a gang waits for room for all of it, and later jobs don’t take that room', () => {
  const eightCores = makeMachineType('c8', 8, 0);
  const jobs = [makePlanJob(0, { isGang: true, tasks: 2, cpus: 8 }), makePlanJob(1, { cpus: 8, durationSeconds: 60 })];
  const plan = makePlanner().plan(
    [makePlanMachine(0, 'a', eightCores, 8), makePlanMachine(1, 'a', eightCores, 2)],
    jobs,
    [zoneA, zoneA],
  );
  const gang = plan.starts.filter((start) => start.job === 0);
  assert.deepEqual(
    gang.map((start) => start.startAtS),
    [20, 20],
  );
  assert.ok((plan.starts.find((start) => start.job === 1)?.startAtS ?? 0) >= 30);
});

test('planner: a spread job keeps to its zones’ limits', () => {
  const eightCores = makeMachineType('c8', 8, 0);
  const zoneAllowance = new Map([
    [zoneA, 3],
    [zoneB, 3],
  ]);
  const job = makePlanJob(0, { tasks: 5, feasibleZones: [zoneA, zoneB], zoneAllowance });
  const plan = makePlanner().plan(
    [makePlanMachine(0, 'a', eightCores, 8), makePlanMachine(1, 'b', eightCores, 8)],
    [job],
    [zoneA],
  );
  const inA = plan.starts.filter((start) => start.machine === 0).reduce((n, start) => n + start.tasks, 0);
  assert.equal(inA, 3);
});

test('evolution: finds the zones that end waits, the same way for the same seed, within its plan steps', () => {
  const eightCores = makeMachineType('c8', 8, 0);
  const machines = [makePlanMachine(0, 'a', eightCores, 8), makePlanMachine(1, 'b', eightCores, 8)];
  const jobs = Array.from({ length: 8 }, (_, i) =>
    makePlanJob(i, { cpus: 2, durationSeconds: 30, feasibleZones: [zoneA, zoneB] }),
  );
  const settings = { individuals: 20, generations: 15, mutation: 0.1, planSteps: 1_000_000 };
  const search = (seed: number, steps = 1_000_000) =>
    new EvolutionarySearch(makePlanner(), xoroshiro128plus(seed), { ...settings, planSteps: steps }).search(
      machines,
      jobs,
    );
  const best = search(1);
  assert.ok(best.starts.every((start) => start.startAtS === 0));
  assert.equal(search(1).cost, best.cost);
  assert.ok(search(2, 50).starts.length > 0);
});

test('registry: a page that is understood only in part is never written over; its machines are known and need no other', () => {
  const registry = new MachineRegistry(8192);
  const known = { id: 'i-1', address: 'i-1', type: 'c8', zone: 'a', spot: false, images: [], imagePullSpeed: 1 };
  const value = encodePage([known as unknown as MachineRecord], 0) as { machines: unknown[] };
  const odd = { key: 'm/0', value: { ...value, machines: [...value.machines, { later: 1 }] }, version: revision(7) };
  const page = registry.load(odd);
  assert.equal(page.complete, false);
  assert.deepEqual(
    page.machines.map(({ id }) => id),
    ['i-1'],
  );
  const restored = makeMachine('i-1', 'i-1', 'up', 0 as MonotonicTime, false);
  registry.restore(restored, 'm/0');
  assert.equal(restored.registered, true);
  registry.add(restored);
  registry.add(makeMachine('i-2', 'i-2', 'up', 0 as MonotonicTime, false));
  const due = registry.duePages(0 as MonotonicTime, true);
  assert.deepEqual(
    due.map(({ index }) => index),
    [1],
  );
  registry.remove(restored.id);
  assert.equal(registry.duePages(0 as MonotonicTime, true).length, 1);
});

test('planner: a gang begins to fetch where there is room rather than wait for what is expected to end', () => {
  const fourGpus = makeMachineType('g4', 24, 4);
  const fetching = { ...makePlanMachine(0, 'a', fourGpus, 24, 40), gpus: [4] };
  const holding = {
    ...makePlanMachine(1, 'a', fourGpus, 0, 0),
    times: [0, 20],
    cpus: [0, 24],
    gpus: [0, 4],
    memGb: [0, 144],
  };
  const gang = makePlanJob(0, { isGang: true, gpus: 4, cpus: 20 });
  const penalties = { ...NO_PENALTIES, futureDiscount: 0.5 };
  const chosen = (gangFutureDiscount: number): number | undefined =>
    new Planner({ averageWait: 1, maximumWait: 1, idleShare: 1 }, { ...penalties, gangFutureDiscount }).plan(
      [fetching, holding],
      [gang],
      [zoneA],
    ).starts[0]?.machine;
  assert.equal(chosen(0.5), 1);
  assert.equal(chosen(2), 0);
});

test('scheduler: the machines planned for a zone’s longest overdue gang are kept for it, and for no other gang of the zone', () => {
  const now: ClockReading = { monotonic: 500_000 as MonotonicTime, wallClock: 1_790_000_000_000 as WallClockTime };
  const stateStore = {
    requestsPerSecond: 10,
    writesPerSecond: 10,
    announcedRequestsPerSecond: 10,
    announcedWritesPerSecond: 10,
    maxValueBytes: 8192,
    maxChangesPerTransaction: 8,
  };
  const cloud = { requestsPerSecond: 5, listStalenessMs: 0 };
  const settings = { controllerCount: 1, teamQuotas: [], stateStore, cloud } as unknown as Settings;
  const cluster = new Cluster(new StepContext(settings, tuning, now), 1);
  const gang = (id: string, waitedS: number): Job => {
    const spec = { ...makeJobSpec(id, 'gang', { tasks: '2', gpus: '4' }) };
    const submittedAt = (now.wallClock - waitedS * 1000) as WallClockTime;
    return new Job(
      { spec, submittedAt, state: 'accepted', startTerm: 0, startZone: null, startZones: null, done: new RangeSet() },
      revision(1),
    );
  };
  const jobs = [gang('job-1', 130), gang('job-2', 200), gang('job-3', 20)];
  const machines = [0, 1, 2, 3, 4, 5].map((i) => makeMachine(`i-${i}`, '', 'up', now.monotonic, false));
  const starts = machines.map((_, slot) => ({
    job: Math.floor(slot / 2),
    machine: slot,
    tasks: 1,
    roomAtS: 20,
    startAtS: 30,
  }));
  reserveForOverdueGangs(cluster, starts, jobs, machines);
  const keptFor = machines.map((kept) => kept.reservedFor(now.monotonic));
  assert.deepEqual(keptFor, [null, null, 'job-2', 'job-2', null, null]);
  assert.equal(machines[2]?.isReservedForOther('job-1' as JobId, now.monotonic), true);
  assert.equal(machines[2]?.reservedFor((now.monotonic + 5000) as MonotonicTime), null);
});

test('records: the zones of a job are kept only where its record has room for all of them', () => {
  const zones = ['north', 'south'] as ZoneName[];
  const spec = makeJobSpec('job-1', 'array', { tasks: '4' });
  const record = { spec, submittedAt: 1 as WallClockTime, state: 'accepted', startTerm: 1, startZone: zoneA } as const;
  const full = { ...record, startZones: zones, done: new RangeSet() };
  const bytes = JSON.stringify(encodeJob(full, 8192)).length;
  assert.equal(fitsWithStartZones(record, zones, bytes + 48), true);
  assert.equal(fitsWithStartZones(record, zones, bytes + 47), false);
});
