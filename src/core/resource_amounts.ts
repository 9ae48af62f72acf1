/** Arithmetic of cores, GPUs and memory. */

/** Sums of decimal amounts of cores, GPUs and memory differ from what they should be by less than this. */
export const RESOURCE_TOLERANCE = 1e-6;

/** Returns how many times `each` fits into `free`; infinity where nothing is asked for. */
export const countFitting = (free: number, each: number): number =>
  each > 0 ? Math.floor(free / each + RESOURCE_TOLERANCE) : Number.POSITIVE_INFINITY;
