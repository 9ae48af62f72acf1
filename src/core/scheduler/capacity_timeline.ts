import { countFitting, RESOURCE_TOLERANCE as TOLERANCE } from '../resource_amounts.js';
import type { MachineType, Resources } from '../types.js';
import type { PlanJob, PlanMachine } from './plan_types.js';

/**
 * Operations on a machine's free room over time. `step` is an index into the machine's `times`. These run many thousand
 * times a round: they make no objects.
 */

/** The fitness looks at utilization this far ahead. */
const UTILIZATION_HORIZON_SECONDS = 60;

/** Written out field by field: a spread into a literal costs several microseconds, and a round makes thousands. */
export function clonePlanMachine(machine: PlanMachine): PlanMachine {
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

/** The element at an index that is known to be within bounds. */
export const elementAt = (values: readonly number[], index: number): number => values[index] as number;

/** The part of a machine that one task takes, by what it takes most of. */
export function machineShare(task: Resources, type: MachineType): number {
  const share = (amount: number, capacity: number): number => (capacity > 0 ? amount / capacity : 0);
  return Math.max(share(task.cpus, type.cpus), share(task.gpus, type.gpus), share(task.memoryGb, type.memoryGb));
}

/** Whether a task of the job could run on an empty machine of the type. */
export function fitsType(job: PlanJob, type: MachineType): boolean {
  return (
    (job.allowedMachineTypes === null || job.allowedMachineTypes.includes(type.name)) &&
    job.cpus <= type.cpus + TOLERANCE &&
    job.gpus <= type.gpus + TOLERANCE &&
    job.memoryGb <= type.memoryGb + TOLERANCE
  );
}

/** How many tasks fit from a step on for as long as they need. */
export function fittingTasks(machine: PlanMachine, step: number, durationSeconds: number, task: Resources): number {
  const untilSeconds = elementAt(machine.stepTimesSeconds, step) + durationSeconds;
  let cpus = Number.POSITIVE_INFINITY;
  let gpus = Number.POSITIVE_INFINITY;
  let memoryGb = Number.POSITIVE_INFINITY;
  for (
    let i = step;
    i < machine.stepTimesSeconds.length &&
    (i === step || elementAt(machine.stepTimesSeconds, i) < untilSeconds - TOLERANCE);
    i++
  ) {
    if (elementAt(machine.freeCpus, i) < cpus) cpus = elementAt(machine.freeCpus, i);
    if (elementAt(machine.freeGpus, i) < gpus) gpus = elementAt(machine.freeGpus, i);
    if (elementAt(machine.freeMemoryGb, i) < memoryGb) memoryGb = elementAt(machine.freeMemoryGb, i);
    if (cpus + TOLERANCE < task.cpus || gpus + TOLERANCE < task.gpus || memoryGb + TOLERANCE < task.memoryGb) return 0;
  }
  return Math.min(countFitting(cpus, task.cpus), countFitting(gpus, task.gpus), countFitting(memoryGb, task.memoryGb));
}

/** Whether a job is held to the cores and memory that GPU work has no use for. */
const isLimitedToSpareCapacity = (machine: PlanMachine, job: PlanJob): boolean =>
  job.gpus === 0 && machine.type.gpus > 0 && job.penaltyFactor > 0;

/**
 * Whether a job that is held to a machine's spare room finds any. One that fits cheaper types finds none on a machine with
 * GPUs that no GPU work uses: it would keep the machine from being returned.
 */
export function lacksSpareCapacity(machine: PlanMachine, job: PlanJob): boolean {
  if (!isLimitedToSpareCapacity(machine, job)) return false;
  if (job.fitsTypesWithoutGpus && !machine.servesGpuWork) return true;
  return machine.spareCpus + TOLERANCE < job.cpus || machine.spareMemoryGb + TOLERANCE < job.memoryGb;
}

/** As `fitCount`, and without taking from GPU work what it needs beside its GPUs. */
export function allowedTasks(machine: PlanMachine, step: number, durationSeconds: number, job: PlanJob): number {
  if (!isLimitedToSpareCapacity(machine, job)) return fittingTasks(machine, step, durationSeconds, job);
  const spare = Math.min(
    job.cpus > 0 ? machine.spareCpus / job.cpus : Number.POSITIVE_INFINITY,
    job.memoryGb > 0 ? machine.spareMemoryGb / job.memoryGb : Number.POSITIVE_INFINITY,
  );
  if (spare + TOLERANCE < 1) return 0;
  return Math.min(Math.floor(spare + TOLERANCE), fittingTasks(machine, step, durationSeconds, job));
}

/** Whether so much is free at the first step, not asking for how long. */
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

/** Room left in the scarcest resource after one more task, as a share of the machine: best fit takes the least. */
export function slackAfter(machine: PlanMachine, step: number, task: Resources): number {
  const { type } = machine;
  let least = 1;
  if (type.gpus > 0) least = Math.min(least, (elementAt(machine.freeGpus, step) - task.gpus) / type.gpus);
  if (type.cpus > 0) least = Math.min(least, (elementAt(machine.freeCpus, step) - task.cpus) / type.cpus);
  if (type.memoryGb > 0)
    least = Math.min(least, (elementAt(machine.freeMemoryGb, step) - task.memoryGb) / type.memoryGb);
  return least;
}

/** The last step that begins by the time; the first where none does. */
export function lastStepBy(machine: PlanMachine, time: number): number {
  let step = machine.stepTimesSeconds.length - 1;
  while (step > 0 && elementAt(machine.stepTimesSeconds, step) > time + TOLERANCE) step -= 1;
  return step;
}

/** The step that begins at the time, made where there is none. */
function ensureStepAt(machine: PlanMachine, time: number): number {
  const step = lastStepBy(machine, time);
  const begins = elementAt(machine.stepTimesSeconds, step);
  if (Math.abs(begins - time) <= TOLERANCE || time <= begins) return step;
  machine.stepTimesSeconds.splice(step + 1, 0, time);
  machine.freeCpus.splice(step + 1, 0, elementAt(machine.freeCpus, step));
  machine.freeGpus.splice(step + 1, 0, elementAt(machine.freeGpus, step));
  machine.freeMemoryGb.splice(step + 1, 0, elementAt(machine.freeMemoryGb, step));
  return step + 1;
}

/** Takes the room of so many tasks for a time. */
export function reserveCapacity(
  machine: PlanMachine,
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

/** How much of the machines is in use over the next minute, by GPUs where they have some and by cores elsewhere. */
export function utilization(machines: readonly PlanMachine[]): number {
  let used = 0;
  let available = 0;
  for (const { type, stepTimesSeconds, freeGpus, freeCpus } of machines) {
    const capacity = type.gpus > 0 ? type.gpus : type.cpus;
    const free = type.gpus > 0 ? freeGpus : freeCpus;
    for (
      let step = 0;
      step < stepTimesSeconds.length && elementAt(stepTimesSeconds, step) < UTILIZATION_HORIZON_SECONDS;
      step++
    ) {
      const next =
        step + 1 < stepTimesSeconds.length ? elementAt(stepTimesSeconds, step + 1) : UTILIZATION_HORIZON_SECONDS;
      const share =
        (Math.min(UTILIZATION_HORIZON_SECONDS, next) - elementAt(stepTimesSeconds, step)) / UTILIZATION_HORIZON_SECONDS;
      available += share;
      used += share * (1 - elementAt(free, step) / capacity);
    }
  }
  return available > 0 ? used / available : 1;
}
