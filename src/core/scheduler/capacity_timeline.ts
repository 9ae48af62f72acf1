/**
 * Operations on a machine's free capacity over time, σ(n, t) of Eq. (13) in the EVO-GP paper. `step` is an index into
 * the machine's `stepTimesSeconds`. The operations run many thousands of times per round. They therefore allocate no
 * objects, apart from the copy that `clonePlanMachine` returns.
 */
import { countFitting, RESOURCE_TOLERANCE as TOLERANCE } from '../resource_amounts.js';
import type { MachineType, Resources } from '../types.js';
import type { PlanJob, PlanMachine, WorkingMachine } from './plan_types.js';

/**
 * Returns a copy whose free capacity can be modified independently. The fields are listed one by one because a spread
 * into an object literal takes several microseconds, and a round makes thousands of copies.
 */
export function clonePlanMachine(machine: PlanMachine): WorkingMachine {
  return {
    index: machine.index,
    zone: machine.zone,
    type: machine.type,
    spot: machine.spot,
    stepTimesSeconds: machine.stepTimesSeconds.slice(),
    freeCpus: machine.freeCpus.slice(),
    freeGpus: machine.freeGpus.slice(),
    freeMemoryGb: machine.freeMemoryGb.slice(),
    spareCpus: machine.spareCpus,
    spareMemoryGb: machine.spareMemoryGb,
    servesGpuWork: machine.servesGpuWork,
    imagePullSeconds: machine.imagePullSeconds,
    reservedForGangs: machine.reservedForGangs,
    largestCachedImageShare: machine.largestCachedImageShare,
  };
}

/** Returns the element at an index that is known to be within bounds. */
export const elementAt = (values: readonly number[], index: number): number => values[index] as number;

/**
 * Returns the share of a machine that one task needs, by the resource of which it needs the largest share. The result
 * exceeds 1 if the task needs more than the machine has.
 */
export function machineShare(task: Resources, type: MachineType): number {
  const share = (amount: number, capacity: number): number => (capacity > 0 ? amount / capacity : 0);
  return Math.max(share(task.cpus, type.cpus), share(task.gpus, type.gpus), share(task.memoryGb, type.memoryGb));
}

/** Returns whether the job allows the machine type and one of its tasks fits an empty machine of it (Eq. (10)). */
export function fitsType(job: PlanJob, type: MachineType): boolean {
  return (
    (job.allowedMachineTypes === null || job.allowedMachineTypes.includes(type.name)) &&
    job.cpus <= type.cpus + TOLERANCE &&
    job.gpus <= type.gpus + TOLERANCE &&
    job.memoryGb <= type.memoryGb + TOLERANCE
  );
}

/** Returns how many tasks fit for `durationSeconds` from a step on (the machine capacity of Eq. (9), over time). */
export function fittingTasks(machine: PlanMachine, step: number, durationSeconds: number, task: Resources): number {
  const untilSeconds = elementAt(machine.stepTimesSeconds, step) + durationSeconds;
  let cpus = Number.POSITIVE_INFINITY;
  let gpus = Number.POSITIVE_INFINITY;
  let memoryGb = Number.POSITIVE_INFINITY;
  for (let later = step; later < machine.stepTimesSeconds.length; later++) {
    if (later > step && elementAt(machine.stepTimesSeconds, later) >= untilSeconds - TOLERANCE) break;
    if (elementAt(machine.freeCpus, later) < cpus) cpus = elementAt(machine.freeCpus, later);
    if (elementAt(machine.freeGpus, later) < gpus) gpus = elementAt(machine.freeGpus, later);
    if (elementAt(machine.freeMemoryGb, later) < memoryGb) memoryGb = elementAt(machine.freeMemoryGb, later);
    if (cpus + TOLERANCE < task.cpus || gpus + TOLERANCE < task.gpus || memoryGb + TOLERANCE < task.memoryGb) return 0;
  }
  return Math.min(countFitting(cpus, task.cpus), countFitting(gpus, task.gpus), countFitting(memoryGb, task.memoryGb));
}

/** Returns whether a job may use only the cores and memory of a machine that GPU work could not use. */
const isLimitedToSpareCapacity = (machine: PlanMachine, job: PlanJob): boolean =>
  job.gpus === 0 && machine.type.gpus > 0 && job.penaltyFactor > 0;

/**
 * Returns whether a job is limited to a machine's spare capacity and cannot use it. Either one of its tasks does not
 * fit there, or the job fits cheaper machine types without GPUs and the machine serves no GPU work. In the second case
 * the job would prevent the machine from being terminated.
 */
export function lacksSpareCapacity(machine: PlanMachine, job: PlanJob): boolean {
  if (!isLimitedToSpareCapacity(machine, job)) return false;
  if (job.fitsTypesWithoutGpus && !machine.servesGpuWork) return true;
  return machine.spareCpus + TOLERANCE < job.cpus || machine.spareMemoryGb + TOLERANCE < job.memoryGb;
}

/** Same as `fittingTasks`, but leaves the cores and memory that GPU work needs in addition to its GPUs. */
export function allowedTasks(machine: PlanMachine, step: number, durationSeconds: number, job: PlanJob): number {
  if (!isLimitedToSpareCapacity(machine, job)) return fittingTasks(machine, step, durationSeconds, job);
  const spareTasks = Math.min(
    job.cpus > 0 ? machine.spareCpus / job.cpus : Number.POSITIVE_INFINITY,
    job.memoryGb > 0 ? machine.spareMemoryGb / job.memoryGb : Number.POSITIVE_INFINITY,
  );
  if (spareTasks + TOLERANCE < 1) return 0;
  return Math.min(Math.floor(spareTasks + TOLERANCE), fittingTasks(machine, step, durationSeconds, job));
}

/**
 * Returns whether one task fits at the first step, without checking how long the capacity stays free. On machines with
 * GPUs, a task without GPUs must fit the spare capacity.
 */
export function fitsNow(machine: PlanMachine, task: Resources): boolean {
  if (task.gpus === 0 && machine.type.gpus > 0) {
    if (machine.spareCpus + TOLERANCE < task.cpus || machine.spareMemoryGb + TOLERANCE < task.memoryGb) return false;
  }
  return (
    elementAt(machine.freeCpus, 0) + TOLERANCE >= task.cpus &&
    elementAt(machine.freeGpus, 0) + TOLERANCE >= task.gpus &&
    elementAt(machine.freeMemoryGb, 0) + TOLERANCE >= task.memoryGb
  );
}

/** Returns the share of the scarcest resource that remains after one more task. Best fit selects the smallest share. */
export function slackAfter(machine: PlanMachine, step: number, task: Resources): number {
  const { type } = machine;
  let slack = 1;
  if (type.gpus > 0) slack = Math.min(slack, (elementAt(machine.freeGpus, step) - task.gpus) / type.gpus);
  if (type.cpus > 0) slack = Math.min(slack, (elementAt(machine.freeCpus, step) - task.cpus) / type.cpus);
  if (type.memoryGb > 0)
    slack = Math.min(slack, (elementAt(machine.freeMemoryGb, step) - task.memoryGb) / type.memoryGb);
  return slack;
}

/** Returns the last step that begins no later than a time, in seconds from now, or the first step if there is none. */
export function lastStepBy(machine: PlanMachine, timeSeconds: number): number {
  let step = machine.stepTimesSeconds.length - 1;
  while (step > 0 && elementAt(machine.stepTimesSeconds, step) > timeSeconds + TOLERANCE) step -= 1;
  return step;
}

/** Returns the step that begins at a time. Inserts it if it is missing, unless the time is before the first step. */
function ensureStepAt(machine: WorkingMachine, timeSeconds: number): number {
  const step = lastStepBy(machine, timeSeconds);
  const beginsSeconds = elementAt(machine.stepTimesSeconds, step);
  if (Math.abs(beginsSeconds - timeSeconds) <= TOLERANCE || timeSeconds <= beginsSeconds) return step;
  machine.stepTimesSeconds.splice(step + 1, 0, timeSeconds);
  machine.freeCpus.splice(step + 1, 0, elementAt(machine.freeCpus, step));
  machine.freeGpus.splice(step + 1, 0, elementAt(machine.freeGpus, step));
  machine.freeMemoryGb.splice(step + 1, 0, elementAt(machine.freeMemoryGb, step));
  return step + 1;
}

/** Reserves the capacity of `taskCount` tasks for `durationSeconds` from `fromSeconds` on. */
export function reserveCapacity(
  machine: WorkingMachine,
  fromSeconds: number,
  durationSeconds: number,
  taskCount: number,
  task: Resources,
): void {
  const first = ensureStepAt(machine, fromSeconds);
  const end = ensureStepAt(machine, fromSeconds + durationSeconds);
  for (let step = first; step < end; step++) {
    machine.freeCpus[step] = elementAt(machine.freeCpus, step) - taskCount * task.cpus;
    machine.freeGpus[step] = elementAt(machine.freeGpus, step) - taskCount * task.gpus;
    machine.freeMemoryGb[step] = elementAt(machine.freeMemoryGb, step) - taskCount * task.memoryGb;
  }
  if (task.gpus > 0 || machine.type.gpus === 0) return;
  machine.spareCpus -= taskCount * task.cpus;
  machine.spareMemoryGb -= taskCount * task.memoryGb;
}
