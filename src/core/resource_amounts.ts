/** Arithmetic with amounts of cores, GPUs and memory. */

/** Upper bound of the rounding error in sums of fractional amounts of cores, GPUs and memory. */
export const RESOURCE_TOLERANCE = 1e-6;

/** Returns how many times `each` fits into `free`. Infinity if `each` is 0. */
export const countFitting = (free: number, each: number): number =>
  each > 0 ? Math.floor(free / each + RESOURCE_TOLERANCE) : Number.POSITIVE_INFINITY;
