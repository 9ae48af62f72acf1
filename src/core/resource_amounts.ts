/** Arithmetic with amounts of cores, GPUs and memory. */
import type { Resources } from './types.js';

/** Upper bound of the rounding error in sums of fractional amounts of cores, GPUs and memory. */
export const RESOURCE_TOLERANCE = 1e-6;

/** Returns whether a task fits into the free amounts. */
export const fitsInto = (free: Resources, task: Resources): boolean =>
  free.cpus + RESOURCE_TOLERANCE >= task.cpus &&
  free.gpus + RESOURCE_TOLERANCE >= task.gpus &&
  free.memoryGb + RESOURCE_TOLERANCE >= task.memoryGb;

/** Returns how many times `each` fits into `free`. Infinity if `each` is 0. */
export const countFitting = (free: number, each: number): number =>
  each > 0 ? Math.floor(free / each + RESOURCE_TOLERANCE) : Number.POSITIVE_INFINITY;
