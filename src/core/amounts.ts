/** Sums of decimal amounts of cores, GPUs and memory differ from what they should be by less than this. */
export const AMOUNT_TOLERANCE = 1e-6;

/** How many shares of `each` fit into `free`; without limit where nothing is asked for. */
export const sharesIn = (free: number, each: number): number =>
  each > 0 ? Math.floor(free / each + AMOUNT_TOLERANCE) : Number.POSITIVE_INFINITY;
