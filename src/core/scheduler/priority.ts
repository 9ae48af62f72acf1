import type { ServiceLevelObjective } from '../settings.js';
import type { JobSpec, PriorityLevel } from '../types.js';

/** The user's priority as the design's weight of waiting: each step up counts `base` times the one below. */
export const priorityWeight = (rank: PriorityLevel, base: number): number => base ** rank;

/**
 * The design's ranking: what is asked for (GPUs, or cores where there are none) times the remaining estimate, over one
 * plus user priority times the wait in seconds. The smallest goes first.
 */
export function rankingScore(
  spec: JobSpec,
  tasks: number,
  remainingSeconds: number,
  waitedSeconds: number,
  base: number,
): number {
  const asked = (spec.gpus > 0 ? spec.gpus : spec.cpus) * tasks;
  return (asked * remainingSeconds) / (1 + priorityWeight(spec.priorityLevel, base) * Math.max(0, waitedSeconds));
}

export interface UrgencySettings {
  readonly maxBoost: number;
  readonly horizonSeconds: number;
}

/**
 * How much sooner than by the ranking alone a job goes because an aim of its class, or its deadline, comes near: 1 with
 * time to spare, up to 1 + `most` at the last moment, and 1 again for each aim that can't be met any more.
 */
export function urgencyFactor(
  spec: JobSpec,
  objectives: readonly ServiceLevelObjective[],
  waitedSeconds: number,
  pullSeconds: number,
  runSeconds: number,
  settings: UrgencySettings,
): number {
  let most = 0;
  for (const objective of objectives) {
    if (objective.jobClass !== spec.jobClass) continue;
    let slack = Number.POSITIVE_INFINITY;
    if (objective.kind === 'wait') slack = objective.withinSeconds - waitedSeconds - pullSeconds;
    else if (objective.kind === 'finished') slack = objective.withinSeconds - waitedSeconds - pullSeconds - runSeconds;
    else if (spec.deadlineSeconds !== null)
      slack = spec.deadlineSeconds * objective.deadlineFactor - waitedSeconds - pullSeconds - runSeconds;
    if (slack < 0) continue;
    most = Math.max(most, 1 - slack / settings.horizonSeconds);
  }
  return 1 + settings.maxBoost * Math.max(0, most);
}
