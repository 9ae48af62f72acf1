/** The priority function: what orders jobs within a round. */
import type { ServiceLevelObjective } from '../settings.js';
import type { JobSpec, PriorityLevel } from '../types.js';

/** Returns how much the job's waiting counts (u in the paper): each level up counts `base` times the one below. */
export const priorityWeight = (priorityLevel: PriorityLevel, base: number): number => base ** priorityLevel;

/**
 * Returns f(j), in place of the paper's learned function (Eqs. (17) and (18), Section IV-E): what is asked for (GPUs, or
 * cores where there are none) times the remaining estimate in seconds, over one plus the priority weight times the wait in
 * seconds. The smallest goes first.
 */
export function rankingScore(
  spec: JobSpec,
  tasks: number,
  remainingSeconds: number,
  waitedSeconds: number,
  priorityBase: number,
): number {
  const demand = (spec.gpus > 0 ? spec.gpus : spec.cpus) * tasks;
  const weight = priorityWeight(spec.priorityLevel, priorityBase);
  return (demand * remainingSeconds) / (1 + weight * Math.max(0, waitedSeconds));
}

/** How strongly a service-level objective that comes near moves a job forward. */
export interface UrgencyPolicy {
  /** At the last moment the urgency is one plus this. */
  readonly maxBoost: number;
  /** With more time to spare than this an objective moves nothing. */
  readonly horizonSeconds: number;
}

/** What of a job's time counts against its objectives, in seconds. */
export interface JobTimes {
  readonly waitedSeconds: number;
  readonly pullSeconds: number;
  readonly runSeconds: number;
}

/**
 * Returns how much sooner than by the priority function alone a job goes because an objective of its class, or its
 * deadline, comes near: 1 with time to spare, up to 1 + `maxBoost` at the last moment, and 1 again for each objective that
 * can't be met any more.
 */
export function urgencyFactor(
  spec: JobSpec,
  objectives: readonly ServiceLevelObjective[],
  times: JobTimes,
  policy: UrgencyPolicy,
): number {
  let nearest = 0;
  for (const objective of objectives) {
    if (objective.jobClass !== spec.jobClass) continue;
    const slackSeconds = slackOf(objective, spec, times);
    if (slackSeconds < 0) continue;
    nearest = Math.max(nearest, 1 - slackSeconds / policy.horizonSeconds);
  }
  return 1 + policy.maxBoost * Math.max(0, nearest);
}

/** Seconds to spare until the objective is missed; infinite where it asks nothing of the job. */
function slackOf(objective: ServiceLevelObjective, spec: JobSpec, times: JobTimes): number {
  const { waitedSeconds, pullSeconds, runSeconds } = times;
  switch (objective.kind) {
    case 'wait':
      return objective.withinSeconds - waitedSeconds - pullSeconds;
    case 'finished':
      return objective.withinSeconds - waitedSeconds - pullSeconds - runSeconds;
    case 'deadline':
      if (spec.deadlineSeconds === null) return Number.POSITIVE_INFINITY;
      return spec.deadlineSeconds * objective.deadlineFactor - waitedSeconds - pullSeconds - runSeconds;
  }
}
