import type { JobSpec, Rank } from '../types.js';

/** The user's priority as the design's weight of waiting. */
export const userWeight = (rank: Rank): number => rank + 1;

/**
 * The design's ranking: what is asked for (GPUs, or cores where there are none) times the remaining estimate, over one
 * plus user priority times the wait in seconds. The smallest goes first.
 */
export function rankValue(spec: JobSpec, tasks: number, remainingS: number, waitedS: number): number {
  const asked = (spec.gpus > 0 ? spec.gpus : spec.cpus) * tasks;
  return (asked * remainingS) / (1 + userWeight(spec.rank) * Math.max(0, waitedS));
}
