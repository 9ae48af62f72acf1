import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Planner } from '../../../src/core/scheduler/planner.js';
import { NO_PENALTIES } from '../../../src/core/scheduler/policy.js';
import type { MachineTypeName } from '../../../src/core/types.js';
import { makeMachineType, zoneA, zoneB } from '../../support/machine_fixtures.js';
import { makePlanJob, makePlanMachine, makePlanner } from '../../support/plan_fixtures.js';

describe('Planner', () => {
  test('backfills only on machines where a job could start, and stops at its plan step limit', () => {
    const machines = Array.from({ length: 300 }, (_, i) => makePlanMachine(i, 'a', makeMachineType('g4', 24, 4), 24));
    const jobs = Array.from({ length: 200 }, (_, i) => makePlanJob(i, { cpus: 2, gpus: 4 }));
    const runBackfill = (steps: number, fleet = machines): { steps: number; starts: number } => {
      const planner = makePlanner();
      const plan = planner.plan(fleet, [], null);
      const starts = planner.backfill(plan, jobs, steps).length;
      return { steps: planner.steps, starts };
    };
    const free = runBackfill(1_000_000);
    assert.equal(free.starts, 200);
    const bounded = runBackfill(1500);
    assert.ok(bounded.steps < 1500 + 300 && bounded.starts > 0 && bounded.starts < 200, JSON.stringify(bounded));
    // No machine has enough free GPUs, so none of the 200 jobs examines the 300 machines.
    const occupied = machines.map((machine) => ({ ...machine, freeGpus: [3] }));
    assert.deepEqual(runBackfill(1_000_000, occupied), { steps: 0, starts: 0 });
  });

  test('includes the image pull in the earliest start, and breaks ties by the least free capacity', () => {
    const eightCores = makeMachineType('c8', 8, 0);
    const cached = makePlanner().plan(
      [makePlanMachine(0, 'a', eightCores, 8, 30), makePlanMachine(1, 'a', eightCores, 8, 0)],
      [makePlanJob(0, {})],
      [zoneA],
    );
    assert.equal(cached.starts[0]?.machineIndex, 1);
    const tight = makePlanner().plan(
      [makePlanMachine(0, 'a', eightCores, 8), makePlanMachine(1, 'a', eightCores, 3)],
      [makePlanJob(0, {})],
      [zoneA],
    );
    assert.equal(tight.starts[0]?.machineIndex, 1);
  });

  test('finds the feasible machines of a job among very many infeasible ones', () => {
    const eightCores = makeMachineType('c8', 8, 0);
    const fourGpus = makeMachineType('g4', 24, 4);
    const unusedGpuMachines = Array.from({ length: 500 }, (_, slot) => ({
      ...makePlanMachine(slot, 'a', fourGpus, 24),
      servesGpuWork: false,
    }));
    const cpuMachines = Array.from({ length: 400 }, (_, i) => makePlanMachine(500 + i, 'a', eightCores, 8));
    const job = makePlanJob(0, { tasks: 40, fitsTypesWithoutGpus: true, penaltyFactor: 1 });
    const plan = makePlanner().plan([...unusedGpuMachines, ...cpuMachines], [job], [zoneA]);
    assert.equal(plan.unplacedTasks.size, 0);
    assert.ok(plan.starts.every((start) => start.machineIndex >= 500));
    const restrictedJob = makePlanJob(0, {
      tasks: 40,
      allowedMachineTypes: ['c8' as MachineTypeName],
      fitsTypesWithoutGpus: true,
      penaltyFactor: 0,
    });
    const restrictedPlan = makePlanner().plan([...unusedGpuMachines, ...cpuMachines], [restrictedJob], [zoneA]);
    assert.equal(restrictedPlan.unplacedTasks.size, 0);
  });

  test('gives work without GPUs only the part of a GPU machine that GPU work cannot use', () => {
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

  test('starts a gang when all of its tasks fit, and reserves that capacity against later jobs', () => {
    const eightCores = makeMachineType('c8', 8, 0);
    const jobs = [
      makePlanJob(0, { isGang: true, tasks: 2, cpus: 8 }),
      makePlanJob(1, { cpus: 8, durationSeconds: 60 }),
    ];
    const plan = makePlanner().plan(
      [makePlanMachine(0, 'a', eightCores, 8), makePlanMachine(1, 'a', eightCores, 2)],
      jobs,
      [zoneA, zoneA],
    );
    const gang = plan.starts.filter((start) => start.jobIndex === 0);
    assert.deepEqual(
      gang.map((start) => start.startAtSeconds),
      [20, 20],
    );
    assert.ok((plan.starts.find((start) => start.jobIndex === 1)?.startAtSeconds ?? 0) >= 30);
  });

  test('keeps a zone-spread job within the allowance of each zone', () => {
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
    const inA = plan.starts.filter((start) => start.machineIndex === 0).reduce((n, start) => n + start.tasks, 0);
    assert.equal(inA, 3);
  });

  test('lets a gang pull its image on free capacity rather than wait for tasks expected to end', () => {
    const fourGpus = makeMachineType('g4', 24, 4);
    const machineWithoutImage = { ...makePlanMachine(0, 'a', fourGpus, 24, 40), freeGpus: [4] };
    const machineWithImage = {
      ...makePlanMachine(1, 'a', fourGpus, 0, 0),
      stepTimesSeconds: [0, 20],
      freeCpus: [0, 24],
      freeGpus: [0, 4],
      freeMemoryGb: [0, 144],
    };
    const gang = makePlanJob(0, { isGang: true, gpus: 4, cpus: 20 });
    const penalties = { ...NO_PENALTIES, futureDiscount: 0.5 };
    const chosen = (gangFutureDiscount: number): number | undefined =>
      new Planner({ averageWait: 1, maximumWait: 1, idleShare: 1 }, { ...penalties, gangFutureDiscount }).plan(
        [machineWithoutImage, machineWithImage],
        [gang],
        [zoneA],
      ).starts[0]?.machineIndex;
    assert.equal(chosen(0.5), 1);
    assert.equal(chosen(2), 0);
  });
});
