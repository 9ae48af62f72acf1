/**
 * Offers the capacity that a plan leaves free now to the jobs ranked below those that were planned in full. This is the
 * fourth step (backfill) of a planning round.
 */
import { RESOURCE_TOLERANCE } from '../resource_amounts.js';
import type { Resources, ZoneName } from '../types.js';
import { type Candidate, isBetterOffer, recordOffer } from './candidates.js';
import { allowedTasks, elementAt, fitsNow } from './capacity_timeline.js';
import { GangSearch } from './gang_search.js';
import type { Plan, PlanJob, PlanMachine, PlannedStart } from './plan_types.js';
import type { PlanWorkspace } from './plan_workspace.js';

export interface BackfillInput {
  /** The plan whose remaining free capacity is used. */
  readonly plan: Plan;
  /** The jobs in order of rank. */
  readonly jobs: readonly PlanJob[];
  /**
   * Maximum number of plan steps. With hundreds of free machines and hundreds of jobs the limit can be reached, and the
   * remaining jobs are left to the next round.
   */
  readonly maxSteps: number;
}

/**
 * Starts jobs in order of rank on the capacity that is free now. Without the backfill, machines would stand idle,
 * because a round plans only a limited number of jobs in full. No start of the plan is delayed. Returns the starts, all
 * of them due now.
 */
export function backfill(workspace: PlanWorkspace, { plan, jobs, maxSteps }: BackfillInput): PlannedStart[] {
  workspace.begin(plan.machines);
  const stepLimit = workspace.steps + maxSteps;
  const leastDemands = minimumDemands(jobs);
  const isFree = (machine: PlanMachine): boolean =>
    elementAt(machine.stepTimesSeconds, 0) <= RESOURCE_TOLERANCE &&
    leastDemands.some((demand) => fitsNow(machine, demand));
  const freeMachines = new Set(workspace.machines.filter(isFree).map(({ index }) => index));
  const rejected: PlanJob[] = [];
  const starts: PlannedStart[] = [];
  for (const job of jobs) {
    if (freeMachines.size === 0 || workspace.steps >= stepLimit) break;
    // Free capacity only shrinks during a backfill. A job that is at least as demanding as a rejected job can't start
    // either.
    if (rejected.some((other) => isAtLeastAsDemanding(job, other))) continue;
    const started = startNow(workspace, job, workspace.candidatesAmong(job, freeMachines));
    if (started.length === 0) rejected.push(job);
    for (const { machineIndex } of started) {
      if (!isFree(workspace.machines[machineIndex] as PlanMachine)) freeMachines.delete(machineIndex);
    }
    starts.push(...started);
  }
  return starts;
}

function startNow(workspace: PlanWorkspace, job: PlanJob, candidates: readonly Candidate[]): PlannedStart[] {
  return job.isGang ? startGangNow(workspace, job, candidates) : startArrayNow(workspace, job, candidates);
}

function startGangNow(workspace: PlanWorkspace, job: PlanJob, candidates: readonly Candidate[]): PlannedStart[] {
  const starts: PlannedStart[] = [];
  for (const zone of job.singleZone ? job.feasibleZones : [null]) {
    const inZone = zone === null ? candidates : candidates.filter(({ machine }) => machine.zone === zone);
    const search = new GangSearch(job, zone ?? (job.feasibleZones[0] as ZoneName), inZone);
    const placement = search.placeAt(0);
    workspace.steps += search.steps;
    if (!placement) continue;
    workspace.addGangStarts(job, placement, starts);
    break;
  }
  return starts;
}

function startArrayNow(workspace: PlanWorkspace, job: PlanJob, candidates: readonly Candidate[]): PlannedStart[] {
  const starts: PlannedStart[] = [];
  const allowance = job.zoneAllowance ? new Map(job.zoneAllowance) : null;
  let left = job.tasks;
  for (const candidate of offersNow(workspace, job, candidates)) {
    if (left <= 0) break;
    const { machineIndex, imagePullSeconds, machine } = candidate;
    const allowed = allowance?.get(machine.zone) ?? left;
    const tasks = Math.min(left, candidate.taskCount, allowed);
    if (tasks <= 0) continue;
    allowance?.set(machine.zone, allowed - tasks);
    const start = { jobIndex: job.index, machineIndex, tasks, freeAtSeconds: 0, startAtSeconds: imagePullSeconds };
    workspace.addStart(start, job, candidate, imagePullSeconds + job.durationSeconds, starts);
    left -= tasks;
  }
  return starts;
}

/** Returns the candidates that can run tasks of an array now, best first. */
function offersNow(workspace: PlanWorkspace, job: PlanJob, candidates: readonly Candidate[]): Candidate[] {
  const offers: Candidate[] = [];
  for (const candidate of candidates) {
    if (!job.feasibleZones.includes(candidate.machine.zone)) continue;
    const taskCount = allowedTasks(candidate.machine, 0, candidate.imagePullSeconds + job.durationSeconds, job);
    if (taskCount === 0) continue;
    recordOffer(candidate, job, 0, taskCount, workspace.penalties.futureDiscount);
    offers.push(candidate);
  }
  return offers.sort((first, second) => (isBetterOffer(first, second) ? -1 : 1));
}

/** Returns the smallest demand for each resource, separately for jobs with GPUs and jobs without. */
function minimumDemands(jobs: readonly PlanJob[]): Resources[] {
  const demands: Resources[] = [];
  for (const withGpus of [true, false]) {
    const alike = jobs.filter(({ gpus }) => gpus > 0 === withGpus);
    if (alike.length === 0) continue;
    const least = (demand: (job: PlanJob) => number): number =>
      alike.reduce((smallest, job) => Math.min(smallest, demand(job)), Number.POSITIVE_INFINITY);
    demands.push({
      cpus: least(({ cpus }) => cpus),
      gpus: least(({ gpus }) => gpus),
      memoryGb: least(({ memoryGb }) => memoryGb),
    });
  }
  return demands;
}

/**
 * Returns whether a job can start only where the other job could: it asks for at least as much of each resource, runs
 * at least as long, and may use no machine that the other job may not use.
 */
function isAtLeastAsDemanding(job: PlanJob, other: PlanJob): boolean {
  return (
    job.cpus >= other.cpus &&
    job.gpus >= other.gpus &&
    job.gpus > 0 === other.gpus > 0 &&
    job.memoryGb >= other.memoryGb &&
    job.durationSeconds >= other.durationSeconds &&
    (other.toleratesSpot || !job.toleratesSpot) &&
    isWithinTypesOf(job, other) &&
    job.feasibleZones.every((zone) => other.feasibleZones.includes(zone)) &&
    other.excludedMachines === null &&
    other.zoneAllowance === null &&
    isGangAtLeastAsLarge(job, other)
  );
}

const isWithinTypesOf = (job: PlanJob, { allowedMachineTypes }: PlanJob): boolean =>
  allowedMachineTypes === null ||
  (job.allowedMachineTypes?.every((type) => allowedMachineTypes.includes(type)) ?? false);

const isGangAtLeastAsLarge = (job: PlanJob, other: PlanJob): boolean =>
  !other.isGang || (job.isGang && job.tasks >= other.tasks && (job.singleZone || !other.singleZone));
