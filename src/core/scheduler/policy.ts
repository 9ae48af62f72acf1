/**
 * Scheduling policies of a round. They are the scheduler settings of `deploy/tuning.toml` as typed values with units.
 */
import type { Tuning } from '../settings.js';

/** Weights of the fitness terms (ω1 to ω3 in Eq. (5) of the EVO-GP paper). */
export interface FitnessWeights {
  /** Weight of the mean weighted wait, per second. */
  readonly averageWait: number;
  /** Weight of the longest weighted wait, per second. */
  readonly maximumWait: number;
  /** Weight of the idle share of machines, which is 0 to 1. */
  readonly idleShare: number;
}

/** Placement penalties, in seconds of later start that a job accepts to avoid a machine that other jobs need more. */
export interface PlacementPenalties {
  /** For a machine with GPUs, for a job that requests none. */
  readonly gpuMachineSeconds: number;
  /**
   * For an on-demand machine, for a job that tolerates spot machines. Spot machines are cheaper, and jobs that do not
   * tolerate them have no alternative to on-demand machines.
   */
  readonly onDemandSeconds: number;
  /**
   * For an on-demand machine, for an array that tolerates spot machines, instead of `onDemandSeconds`. Applies if
   * waiting gangs that do not tolerate spot machines need whole machines of that type.
   */
  readonly reservedTypeSeconds: number;
  /** For a machine that has images of jobs with larger tasks, which would otherwise pull these images elsewhere. */
  readonly cachedImageSeconds: number;
  /**
   * Seconds added to the delay of a start for each second until its capacity becomes free. Tasks often do not end when
   * expected.
   */
  readonly futureDiscount: number;
  /**
   * The same for gangs. A gang loses nothing by starting its image pull at once, because it can migrate if better
   * capacity becomes free.
   */
  readonly gangFutureDiscount: number;
}

/** Disables all placement penalties and discounts. */
export const NO_PENALTIES: PlacementPenalties = {
  gpuMachineSeconds: 0,
  onDemandSeconds: 0,
  reservedTypeSeconds: 0,
  cachedImageSeconds: 0,
  futureDiscount: 0,
  gangFutureDiscount: 0,
};

/** Limits and rates of the evolutionary search (Section III-B of the EVO-GP paper). */
export interface SearchSettings {
  readonly populationSize: number;
  readonly generations: number;
  /** Probability that an offspring is mutated, 0 to 1. */
  readonly mutationRate: number;
  /** Plan steps after which the search ends. */
  readonly maxPlanSteps: number;
}

/** All policies of one round. */
export interface RoundPolicy {
  readonly weights: FitnessWeights;
  readonly penalties: PlacementPenalties;
  readonly search: SearchSettings;
  /** Number of top-ranked jobs that are planned in full. The other jobs are left to the backfill. */
  readonly jobsPlanned: number;
  /** Plan steps after which the backfill ends. */
  readonly maxBackfillSteps: number;
}

/** Returns the policies that are given by the settings. */
export function roundPolicy(tuning: Tuning['scheduler']): RoundPolicy {
  return {
    weights: {
      averageWait: tuning.weight_average,
      maximumWait: tuning.weight_maximum,
      idleShare: tuning.weight_idle,
    },
    penalties: {
      gpuMachineSeconds: tuning.gpu_penalty_s,
      onDemandSeconds: tuning.on_demand_penalty_s,
      reservedTypeSeconds: tuning.reserved_type_penalty_s,
      cachedImageSeconds: tuning.cached_image_penalty_s,
      futureDiscount: tuning.future_discount,
      gangFutureDiscount: tuning.gang_future_discount,
    },
    search: {
      populationSize: tuning.individuals,
      generations: tuning.generations,
      mutationRate: tuning.mutation,
      maxPlanSteps: tuning.plan_steps,
    },
    jobsPlanned: tuning.jobs_planned,
    maxBackfillSteps: tuning.plan_steps,
  };
}
