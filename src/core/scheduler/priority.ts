/** The priority function, which orders jobs within a round. Symbols and equations are those of the EVO-GP paper. */
import type { ServiceLevelObjective } from '../settings.js';
import type { JobSpec, PriorityLevel } from '../types.js';

/**
 * Returns the weight of a job's wait (u in the paper). Each priority level has `base` times the weight of the one
 * below.
 */
export const priorityWeight = (priorityLevel: PriorityLevel, base: number): number => base ** priorityLevel;

/**
 * Returns the priority function f(j), which replaces the paper's learned function (Eqs. (17) and (18), Section IV-E).
 * It is the demand of all `tasks` (GPUs, or cores if none are requested) times the estimated remaining seconds, divided
 * by one plus the priority weight times the wait in seconds. Lower scores are planned first.
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

/** How strongly a service-level objective raises the priority of a job as its time limit approaches. */
export interface UrgencyPolicy {
  /** The urgency factor is 1 + `maxBoost` when no slack is left. */
  readonly maxBoost: number;
  /** An objective with more slack than this has no effect. */
  readonly horizonSeconds: number;
}

/** The times of a job that count against its objectives, in seconds. */
export interface JobTimes {
  readonly waitedSeconds: number;
  readonly pullSeconds: number;
  readonly runSeconds: number;
}

/**
 * Returns the factor by which an approaching objective of the job's class, or its deadline, raises the job's priority.
 * It is 1 while every slack exceeds the horizon and rises to 1 + `maxBoost` when no slack is left. Objectives that can
 * no longer be met are ignored.
 */
export function urgencyFactor(
  spec: JobSpec,
  objectives: readonly ServiceLevelObjective[],
  times: JobTimes,
  policy: UrgencyPolicy,
): number {
  let maxUrgency = 0;
  for (const objective of objectives) {
    if (objective.jobClass !== spec.jobClass) continue;
    const slackSeconds = slackOf(objective, spec, times);
    if (slackSeconds < 0) continue;
    maxUrgency = Math.max(maxUrgency, 1 - slackSeconds / policy.horizonSeconds);
  }
  return 1 + policy.maxBoost * Math.max(0, maxUrgency);
}

/**
 * Returns the slack, in seconds, after which the objective can no longer be met. It is negative if that is already the
 * case, and infinite if the objective does not apply to the job.
 */
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
