import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { xoroshiro128plus } from 'pure-rand';
import { EvolutionarySearch } from '../../../src/core/scheduler/evolutionary_search.js';
import { makeMachineType, zoneA, zoneB } from '../../support/machine_fixtures.js';
import { makePlanJob, makePlanMachine, makePlanner } from '../../support/plan_fixtures.js';

describe('EvolutionarySearch', () => {
  test('finds the zones with the shortest waits, gives the same result for a seed, and keeps to its step limit', () => {
    const eightCores = makeMachineType('c8', 8, 0);
    const machines = [makePlanMachine(0, 'a', eightCores, 8), makePlanMachine(1, 'b', eightCores, 8)];
    const jobs = Array.from({ length: 8 }, (_, i) =>
      makePlanJob(i, { cpus: 2, durationSeconds: 30, feasibleZones: [zoneA, zoneB] }),
    );
    const settings = { populationSize: 20, generations: 15, mutationRate: 0.1, maxPlanSteps: 1_000_000 };
    const search = (seed: number, steps = 1_000_000) =>
      new EvolutionarySearch(makePlanner(), xoroshiro128plus(seed), { ...settings, maxPlanSteps: steps }).search(
        machines,
        jobs,
      );
    const best = search(1);
    assert.ok(best.starts.every((start) => start.startAtSeconds === 0));
    assert.equal(search(1).cost, best.cost);
    assert.ok(search(2, 50).starts.length > 0);
  });
});
