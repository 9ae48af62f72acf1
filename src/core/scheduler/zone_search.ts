/**
 * Finds a zone for each job, the second step of a round. The search starts from the zones that a plan over all zones
 * uses most.
 */
import { xoroshiro128plus } from 'pure-rand';
import type { ZoneName } from '../types.js';
import { EvolutionarySearch } from './evolutionary_search.js';
import type { Plan, PlanJob, PlanMachine } from './plan_types.js';
import type { Planner } from './planner.js';
import type { SearchSettings } from './policy.js';

export interface SearchInput {
  readonly machines: readonly PlanMachine[];
  /** The jobs that are planned in full, in ranking order. */
  readonly jobs: readonly PlanJob[];
  /** The same seed gives the same result. */
  readonly seed: number;
}

export interface SearchResult {
  /** The plan with the lowest cost among those evaluated. */
  readonly plan: Plan;
  /**
   * The plan over all zones at once, which shows which machines are missing. It is the same as `plan` if each job has
   * exactly one feasible zone.
   */
  readonly capacityPlan: Plan;
}

/** Returns the best plan found and the plan over all zones from which the search starts. */
export function searchZones(
  planner: Planner,
  { machines, jobs, seed }: SearchInput,
  settings: SearchSettings,
): SearchResult {
  if (jobs.length === 0) {
    const empty: Plan = { starts: [], machines, cost: 0, unplacedTasks: new Map(), steps: 0 };
    return { plan: empty, capacityPlan: empty };
  }
  const search = new EvolutionarySearch(planner, xoroshiro128plus(seed), settings);
  const hasChoice = jobs.some(({ feasibleZones }) => feasibleZones.length !== 1);
  const overAllZones = hasChoice ? planner.plan(machines, jobs, null) : null;
  const plan = search.search(machines, jobs, overAllZones && mainZones(overAllZones, jobs));
  return { plan, capacityPlan: overAllZones ?? plan };
}

/** Returns, for each job, the zone in which a plan over all zones places most of its tasks. */
function mainZones(plan: Plan, jobs: readonly PlanJob[]): ZoneName[] {
  const tasksByZone = jobs.map(() => new Map<ZoneName, number>());
  for (const { jobIndex, machineIndex, tasks } of plan.starts) {
    const { zone } = plan.machines[machineIndex] as PlanMachine;
    const counts = tasksByZone[jobIndex] as Map<ZoneName, number>;
    counts.set(zone, (counts.get(zone) ?? 0) + tasks);
  }
  return jobs.map((job, index) => mainZone(job, tasksByZone[index] as Map<ZoneName, number>));
}

function mainZone({ feasibleZones }: PlanJob, tasksByZone: ReadonlyMap<ZoneName, number>): ZoneName {
  let main = feasibleZones[0] as ZoneName;
  for (const [zone, tasks] of tasksByZone) {
    if (feasibleZones.includes(zone) && tasks > (tasksByZone.get(main) ?? 0)) main = zone;
  }
  return main;
}
