import { xoroshiro128plus } from 'pure-rand';
import type { Job } from '../jobs/job.js';
import type { Machine } from '../machines/machine.js';
import type { Tuning } from '../settings.js';
import type { Cluster } from '../state/cluster.js';
import type { ZoneName } from '../types.js';
import { applyPlan } from './apply_plan.js';
import { EvolutionarySearch } from './evolutionary_search.js';
import { reserveForOverdueGangs } from './gang_reservation.js';
import { isFeasibleMachine } from './placement_constraints.js';
import { PlanInput } from './plan_input.js';
import type { Plan, PlanJob, PlanMachine, PlannedStart } from './plan_types.js';
import { Planner } from './planner.js';
import { rankWaitingJobs, waitedSeconds } from './ranking.js';
import { waitingServices } from './service_placement.js';

/** Jobs beyond those planned in full that a round looks at for room that is free now. */
const MAX_BACKFILL_JOBS = 250;

/** Tasks of a job that found no room now. */
interface UnplannedTasks {
  readonly job: PlanJob;
  readonly tasks: number;
}

/** What a round found out, for renting and for making room. */
export interface RoundResult {
  /**
   * What could start when if arrays weren't held to one zone a round: what is late here lacks machines, not a better zone
   * in the next round.
   */
  readonly capacityPlan: Plan;
  /** Jobs and machines by their slots in the plan. */
  readonly jobs: readonly Job[];
  readonly planJobs: readonly PlanJob[];
  readonly machines: readonly Machine[];
  /** Waiting jobs beyond those planned. */
  readonly unplannedTasks: readonly UnplannedTasks[];
  /** Plan steps that it took. */
  readonly steps: number;
}

/** One planning round: rank, search zones, plan, and give places to what can start now. */
export function scheduleRound(cluster: Cluster, seed: number): RoundResult {
  const tuning = cluster.context.tuning.scheduler;
  cluster.previousTerms.updateUnreconciled();
  const ranked = rankWaitingJobs(cluster);
  const input = new PlanInput(cluster, ranked);
  for (const job of ranked.slice(0, tuning.jobs_planned + MAX_BACKFILL_JOBS)) input.addJob(job);
  const { planMachines, machines, jobs, planJobs } = input;
  const plannedInFull = planJobs.slice(0, tuning.jobs_planned);
  const others = planJobs.slice(tuning.jobs_planned);

  const planner = createPlanner(tuning);
  const { plan, capacity } = searchPlan(planner, planMachines, plannedInFull, tuning, seed);
  const filled = others.length > 0 ? planner.backfill(plan, others, tuning.plan_steps) : [];
  const capacityWithServices = addWaitingReplicas(cluster, input, capacity);
  const started = applyPlan(cluster, [...plan.starts, ...filled], jobs, machines);
  reserveForOverdueGangs(cluster, plan.starts, jobs, machines);
  cluster.context.log('debug', 'round', {
    waiting: ranked.length,
    planned: plannedInFull.length,
    machines: machines.length,
    steps: planner.steps,
    started,
    cost: plan.cost,
  });
  const unplannedTasks = findUnplannedTasks(others, filled);
  return { capacityPlan: capacityWithServices, jobs, planJobs, machines, unplannedTasks, steps: planner.steps };
}

function createPlanner(tuning: Tuning['scheduler']): Planner {
  return new Planner(
    { averageWait: tuning.weight_average, maximumWait: tuning.weight_maximum, idleShare: tuning.weight_idle },
    {
      gpuMachineSeconds: tuning.gpu_penalty_s,
      onDemandSeconds: tuning.on_demand_penalty_s,
      reservedTypeSeconds: tuning.reserved_type_penalty_s,
      cachedImageSeconds: tuning.cached_image_penalty_s,
      futureDiscount: tuning.future_discount,
      gangFutureDiscount: tuning.gang_future_discount,
    },
  );
}

/** The best plan that the search finds, and one over all zones at once, from which the search starts. */
function searchPlan(
  planner: Planner,
  machines: readonly PlanMachine[],
  jobs: readonly PlanJob[],
  tuning: Tuning['scheduler'],
  seed: number,
): { plan: Plan; capacity: Plan } {
  if (jobs.length === 0) {
    const empty: Plan = { starts: [], machines, cost: 0, unplacedTasks: new Map(), steps: 0 };
    return { plan: empty, capacity: empty };
  }
  const search = new EvolutionarySearch(planner, xoroshiro128plus(seed), {
    populationSize: tuning.individuals,
    generations: tuning.generations,
    mutationRate: tuning.mutation,
    maxPlanSteps: tuning.plan_steps,
  });
  const oneZone = jobs.every(({ feasibleZones }) => feasibleZones.length === 1);
  const overAllZones = oneZone ? null : planner.plan(machines, jobs, null);
  const plan = search.search(machines, jobs, overAllZones && mainZones(overAllZones, jobs));
  return { plan, capacity: overAllZones ?? plan };
}

/** For each job the zone in which a plan over all zones puts most of it. */
function mainZones(plan: Plan, jobs: readonly PlanJob[]): ZoneName[] {
  const counts = jobs.map(() => new Map<ZoneName, number>());
  for (const { jobIndex, machineIndex, tasks } of plan.starts) {
    const { zone } = plan.machines[machineIndex] as PlanMachine;
    const count = counts[jobIndex] as Map<ZoneName, number>;
    count.set(zone, (count.get(zone) ?? 0) + tasks);
  }
  return jobs.map((job, i) => {
    const count = counts[i] as Map<ZoneName, number>;
    let main = job.feasibleZones[0] as ZoneName;
    for (const [zone, tasks] of count) {
      if (job.feasibleZones.includes(zone) && tasks > (count.get(main) ?? 0)) main = zone;
    }
    return main;
  });
}

function findUnplannedTasks(jobs: readonly PlanJob[], starts: readonly PlannedStart[]): UnplannedTasks[] {
  const placed = new Map<number, number>();
  for (const { jobIndex, tasks } of starts) placed.set(jobIndex, (placed.get(jobIndex) ?? 0) + tasks);
  return jobs.map((job) => ({ job, tasks: job.tasks - (placed.get(job.index) ?? 0) })).filter(({ tasks }) => tasks > 0);
}

/** Replicas that found no place are work that lacks machines, unless some that are on their way will take them. */
function addWaitingReplicas(cluster: Cluster, input: PlanInput, plan: Plan): Plan {
  const waiting = waitingServices(cluster);
  if (waiting.length === 0) return plan;
  const unplacedTasks = new Map(plan.unplacedTasks);
  const coming = [...cluster.machines.values()]
    .filter((machine) => cluster.machines.isExpected(machine))
    .map(capacityOf);
  for (const job of waiting) {
    const tasks = replicasWithoutCapacity(
      coming,
      job,
      Math.min(job.startableCount, cluster.quotas.remainingTasks(job.spec)),
    );
    if (tasks <= 0) continue;
    const slot = input.addJob({ job, tasks, waitedSeconds: waitedSeconds(cluster, job) });
    if (slot !== null) unplacedTasks.set(slot, tasks);
  }
  return { ...plan, unplacedTasks };
}

/** What is left of a machine on its way. */
interface IncomingCapacity {
  readonly machine: Machine;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

const capacityOf = (machine: Machine): IncomingCapacity => {
  const { cpus, gpus, memoryGb } = machine.type;
  return { machine, cpus, gpus, memoryGb: memoryGb };
};

/** Puts replicas on machines on their way; returns how many found no room there. */
function replicasWithoutCapacity(coming: readonly IncomingCapacity[], job: Job, replicas: number): number {
  const { spec } = job;
  let left = replicas;
  for (const room of coming) {
    if (!isFeasibleMachine(job, room.machine)) continue;
    while (left > 0 && room.cpus >= spec.cpus && room.gpus >= spec.gpus && room.memoryGb >= spec.memoryGb) {
      room.cpus -= spec.cpus;
      room.gpus -= spec.gpus;
      room.memoryGb -= spec.memoryGb;
      left -= 1;
    }
  }
  return left;
}
