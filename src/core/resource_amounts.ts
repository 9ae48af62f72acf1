/** Sums of decimal amounts of cores, GPUs and memory differ from what they should be by less than this. */
export const RESOURCE_TOLERANCE = 1e-6;

/** How many shares of `each` fit into `free`; without limit where nothing is asked for. */
export const countFitting = (free: number, each: number): number =>
  each > 0 ? Math.floor(free / each + RESOURCE_TOLERANCE) : Number.POSITIVE_INFINITY;
