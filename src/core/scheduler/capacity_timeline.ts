/**
 * Operations on a machine's free capacity over time, σ(n, t) of Eq. (13) in the paper. `step` is an index into the machine's
 * `stepTimesSeconds`. They run many thousand times a round: they make no objects.
 */
import { countFitting, RESOURCE_TOLERANCE as TOLERANCE } from '../resource_amounts.js';
import type { MachineType, Resources } from '../types.js';
import type { PlanJob, PlanMachine, WorkingMachine } from './plan_types.js';

/** Returns a copy with free capacity of its own. Written out field by field: a spread into a literal costs several microseconds, and a round makes thousands. */
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

/** Returns the part of a machine that one task takes, 0 to 1 and more, by what it takes most of. */
export function machineShare(task: Resources, type: MachineType): number {
  const share = (amount: number, capacity: number): number => (capacity > 0 ? amount / capacity : 0);
  return Math.max(share(task.cpus, type.cpus), share(task.gpus, type.gpus), share(task.memoryGb, type.memoryGb));
}

/** Returns whether a task of the job could run on an empty machine of the type (Eq. (10)). */
export function fitsType(job: PlanJob, type: MachineType): boolean {
  return (
    (job.allowedMachineTypes === null || job.allowedMachineTypes.includes(type.name)) &&
    job.cpus <= type.cpus + TOLERANCE &&
    job.gpus <= type.gpus + TOLERANCE &&
    job.memoryGb <= type.memoryGb + TOLERANCE
  );
}

/** Returns how many tasks fit from a step on for so many seconds: the node capacity of Eq. (9) over time. */
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

/** Whether a job may use only the cores and memory of a machine that GPU work has no use for. */
const isLimitedToSpareCapacity = (machine: PlanMachine, job: PlanJob): boolean =>
  job.gpus === 0 && machine.type.gpus > 0 && job.penaltyFactor > 0;

/**
 * Returns whether a job that may use only a machine's spare capacity finds none. One that fits cheaper types finds none on a machine with
 * GPUs that no GPU work uses: it would keep the machine from being returned.
 */
export function lacksSpareCapacity(machine: PlanMachine, job: PlanJob): boolean {
  if (!isLimitedToSpareCapacity(machine, job)) return false;
  if (job.fitsTypesWithoutGpus && !machine.servesGpuWork) return true;
  return machine.spareCpus + TOLERANCE < job.cpus || machine.spareMemoryGb + TOLERANCE < job.memoryGb;
}

/** As `fittingTasks`, and without taking from GPU work what it needs beside its GPUs. */
export function allowedTasks(machine: PlanMachine, step: number, durationSeconds: number, job: PlanJob): number {
  if (!isLimitedToSpareCapacity(machine, job)) return fittingTasks(machine, step, durationSeconds, job);
  const spareTasks = Math.min(
    job.cpus > 0 ? machine.spareCpus / job.cpus : Number.POSITIVE_INFINITY,
    job.memoryGb > 0 ? machine.spareMemoryGb / job.memoryGb : Number.POSITIVE_INFINITY,
  );
  if (spareTasks + TOLERANCE < 1) return 0;
  return Math.min(Math.floor(spareTasks + TOLERANCE), fittingTasks(machine, step, durationSeconds, job));
}

/** Returns whether so much is free at the first step, not asking for how long. */
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

/** Returns what one more task leaves of the scarcest resource, as a share of the machine: best fit takes the least. */
export function slackAfter(machine: PlanMachine, step: number, task: Resources): number {
  const { type } = machine;
  let slack = 1;
  if (type.gpus > 0) slack = Math.min(slack, (elementAt(machine.freeGpus, step) - task.gpus) / type.gpus);
  if (type.cpus > 0) slack = Math.min(slack, (elementAt(machine.freeCpus, step) - task.cpus) / type.cpus);
  if (type.memoryGb > 0)
    slack = Math.min(slack, (elementAt(machine.freeMemoryGb, step) - task.memoryGb) / type.memoryGb);
  return slack;
}

/** Returns the last step that begins by the time, in seconds from now; the first where none does. */
export function lastStepBy(machine: PlanMachine, timeSeconds: number): number {
  let step = machine.stepTimesSeconds.length - 1;
  while (step > 0 && elementAt(machine.stepTimesSeconds, step) > timeSeconds + TOLERANCE) step -= 1;
  return step;
}

/** The step that begins at the time; it is made where there is none, but not before the first. */
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

/** Reserves the capacity of so many tasks from a time on, for so many seconds. */
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
