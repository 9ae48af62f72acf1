/** What a round weighs against what: the settings of `deploy/tuning.toml` as typed policies with units. */
import type { Tuning } from '../settings.js';

/** Weights of the fitness, ω1 to ω3 of Eq. (5). */
export interface FitnessWeights {
  /** Of the mean weighted wait, per second. */
  readonly averageWait: number;
  /** Of the longest weighted wait, per second. */
  readonly maximumWait: number;
  /** Of the idle share of machines, 0 to 1. */
  readonly idleShare: number;
}

/** Seconds of start time that a job would rather lose than take a machine that others need more. */
export interface PlacementPenalties {
  /** For a machine with GPUs, by a job that asks for none. */
  readonly gpuMachineSeconds: number;
  /** For a machine on demand, by a job that may use a spot instance: cheaper, and others have no choice. */
  readonly onDemandSeconds: number;
  /** For a machine that waiting gangs have no choice but to use, by an array that may use spot instances. */
  readonly reservedTypeSeconds: number;
  /** For a machine that holds images of larger jobs: those would have to pull elsewhere. */
  readonly cachedImageSeconds: number;
  /** Free capacity in the future counts this much more than its time: what is expected to end often doesn't. */
  readonly futureDiscount: number;
  /** The same for gangs, which lose nothing by beginning to pull at once: they move if better capacity comes free. */
  readonly gangFutureDiscount: number;
}

export const NO_PENALTIES: PlacementPenalties = {
  gpuMachineSeconds: 0,
  onDemandSeconds: 0,
  reservedTypeSeconds: 0,
  cachedImageSeconds: 0,
  futureDiscount: 0,
  gangFutureDiscount: 0,
};

/** Bounds and rates of the evolutionary search (Section III-B). */
export interface SearchSettings {
  readonly populationSize: number;
  readonly generations: number;
  /** The chance that an offspring is mutated, 0 to 1. */
  readonly mutationRate: number;
  /** Plan steps after which the search ends. */
  readonly maxPlanSteps: number;
}

/** All policies of one round. */
export interface RoundPolicy {
  readonly weights: FitnessWeights;
  readonly penalties: PlacementPenalties;
  readonly search: SearchSettings;
  /** So many of the ranked jobs are planned in full; the others are left to the backfill. */
  readonly jobsPlanned: number;
  /** Plan steps after which the backfill ends. */
  readonly maxBackfillSteps: number;
}

/** Returns the policies that the settings describe. */
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
