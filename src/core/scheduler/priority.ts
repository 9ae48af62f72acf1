import type { ServiceLevelObjective } from '../settings.js';
import type { JobSpec, PriorityLevel } from '../types.js';

/** The user's priority as the design's weight of waiting: each step up counts `base` times the one below. */
export const userWeight = (rank: PriorityLevel, base: number): number => base ** rank;

/**
 * The design's ranking: what is asked for (GPUs, or cores where there are none) times the remaining estimate, over one
 * plus user priority times the wait in seconds. The smallest goes first.
 */
export function rankValue(spec: JobSpec, tasks: number, remainingS: number, waitedS: number, base: number): number {
  const asked = (spec.gpus > 0 ? spec.gpus : spec.cpus) * tasks;
  return (asked * remainingS) / (1 + userWeight(spec.priorityLevel, base) * Math.max(0, waitedS));
}

export interface UrgencySettings {
  readonly most: number;
  readonly horizonS: number;
}

/**
 * How much sooner than by the ranking alone a job goes because an aim of its class, or its deadline, comes near: 1 with
 * time to spare, up to 1 + `most` at the last moment, and 1 again for each aim that can't be met any more.
 */
export function urgency(
  spec: JobSpec,
  objectives: readonly ServiceLevelObjective[],
  waitedS: number,
  fetchS: number,
  runS: number,
  settings: UrgencySettings,
): number {
  let most = 0;
  for (const objective of objectives) {
    if (objective.jobClass !== spec.jobClass) continue;
    let slack = Number.POSITIVE_INFINITY;
    if (objective.kind === 'wait') slack = objective.withinSeconds - waitedS - fetchS;
    else if (objective.kind === 'finished') slack = objective.withinSeconds - waitedS - fetchS - runS;
    else if (spec.deadlineSeconds !== null)
      slack = spec.deadlineSeconds * objective.deadlineFactor - waitedS - fetchS - runS;
    if (slack < 0) continue;
    most = Math.max(most, 1 - slack / settings.horizonS);
  }
  return 1 + settings.most * Math.max(0, most);
}
