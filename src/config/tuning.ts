/** Reads the operators' tuning parameters from `deploy/tuning.toml`. That file gives the reason for each value. */
import * as v from 'valibot';
import type { Tuning } from '../core/settings.js';
import { SettingsError } from './settings_error.js';
import { parseSettings, readTomlFile, type TomlDocument } from './settings_file.js';
import {
  fraction,
  nonNegativeInteger,
  nonNegativeNumber,
  numberBetween,
  positiveInteger,
  positiveNumber,
} from './value_schemas.js';

/** Parameters of leader election and of the leader's lease. */
const leadershipSchema = v.object({
  /** The leader's lease as a share of the workers' lease. The bounds leave time for renewals and for failover. */
  lease_share: numberBetween(0.05, 0.8),
  /**
   * Milliseconds by which the leader shortens the validity of its lease, in addition to the allowance for clock drift.
   * Leaves time for messages that are being sent.
   */
  margin_ms: numberBetween(100, 5000),
  /** Milliseconds without heartbeats after which a leader steps down, if workers reach another controller. */
  resign_after_ms: numberBetween(1000, 60_000),
  /** Milliseconds for which a leader that stepped down does not stand for election, to prevent flapping. */
  backoff_ms: nonNegativeNumber,
  /**
   * Minimum share of a core with which a leader receives heartbeats directly from the workers. Forwarded heartbeats
   * cost nearly twice as much.
   */
  reports_cpu_share: numberBetween(0.01, 1000),
});

/** Parameters of the planning rounds and of the search for a plan. */
const schedulerSchema = v.object({
  /** Milliseconds between rounds while no events occur. */
  period_ms: numberBetween(100, 60_000),
  /** Minimum milliseconds between rounds when events occur. */
  spacing_ms: numberBetween(20, 60_000),
  /** Parameters of the genetic search: plans per generation, number of generations, and probability of a mutation. */
  individuals: positiveInteger,
  generations: nonNegativeInteger,
  mutation: fraction,
  /** Maximum number of plan steps of a round. Bounds its processor time without reading a clock. */
  plan_steps: positiveInteger,
  /** Number of jobs at the head of the ranking that are planned in full. The remaining jobs are backfilled. */
  jobs_planned: positiveInteger,
  /** Weights of mean wait, longest wait and idle share in the fitness of a plan, without unit. */
  weight_average: nonNegativeNumber,
  weight_maximum: nonNegativeNumber,
  weight_idle: nonNegativeNumber,
  /** Penalties: seconds that a job would rather wait than use a machine that other work needs more. */
  gpu_penalty_s: nonNegativeNumber,
  on_demand_penalty_s: nonNegativeNumber,
  reserved_type_penalty_s: nonNegativeNumber,
  cached_image_penalty_s: nonNegativeNumber,
  /**
   * Share of the remaining time that is added to it for capacity that is expected to become free later, because
   * estimates are often wrong.
   */
  future_discount: numberBetween(0, 10),
  gang_future_discount: numberBetween(0, 10),
  /** Minimum remaining time of running work, as a share of the time that it has already run. */
  overdue_share: numberBetween(0, 10),
  /** Seconds of waiting after which a job that has not started goes ahead of all others. */
  overdue_after_s: positiveNumber,
  /** Factor by which each level of user priority outweighs the level below it. */
  priority_base: numberBetween(1, 100),
  /** Milliseconds added to the minimum spacing for each machine, and for each plan step of the previous round. */
  spacing_per_machine_ms: nonNegativeNumber,
  spacing_per_step_ms: numberBetween(0, 10),
  /**
   * Maximum boost in the ranking of a job whose objective comes near, and the seconds of remaining slack over which the
   * boost grows to this maximum.
   */
  urgency: nonNegativeNumber,
  urgency_horizon_s: positiveNumber,
});

/** Parameters of provisioning and terminating machines. */
const machinesSchema = v.object({
  /** Maximum idle seconds of a machine. Provisioning again costs a boot, an image pull and the charge for a minute. */
  idle_return_s: nonNegativeNumber,
  /** Seconds of waiting work that a provisioned machine is expected to complete. Smaller values provision more. */
  rent_horizon_s: positiveNumber,
  /**
   * Fraction added to the number of machines needed before rounding down. 0 provisions only whole machines' worth of
   * demand, 1 always provisions one machine more.
   */
  rent_round_up: numberBetween(0, 1),
  /** Seconds by which a new machine must start work sooner than planned for the work to count as delayed. */
  rent_margin_s: nonNegativeNumber,
  /** Seconds before a capacity pool that had no capacity is tried again. Grows with each further refusal. */
  refused_backoff_s: positiveNumber,
  /** Multiple of its usual boot time after which a machine that is still booting is terminated. */
  boot_give_up: numberBetween(1.5, 100),
  /** Failed jobs in a row on a machine, or failed tasks of a job that succeeds elsewhere, before it is drained. */
  error_limit: positiveInteger,
  /** Whether capacity for the guaranteed quotas of all teams is kept provisioned while there is work. */
  keep_guarantees: v.boolean(),
});

const tuningSchema = v.object({
  leadership: leadershipSchema,
  scheduler: schedulerSchema,
  machines: machinesSchema,
});

/** Renamed keys, old to new. A file with an old key is rejected, as its value would otherwise be ignored. */
const RENAMED_KEYS: Readonly<Record<string, string>> = {
  gpu_reluctance_s: 'gpu_penalty_s',
  ordinary_reluctance_s: 'on_demand_penalty_s',
  wanted_reluctance_s: 'reserved_type_penalty_s',
  warm_reluctance_s: 'cached_image_penalty_s',
  future_doubt: 'future_discount',
};

const hasKey = (section: unknown, key: string): boolean =>
  typeof section === 'object' && section !== null && Object.hasOwn(section, key);

/** Throws `SettingsError` if a section contains a key under its old name. */
function rejectRenamedKeys(file: string, document: TomlDocument): void {
  for (const [section, values] of Object.entries(document)) {
    for (const [oldKey, newKey] of Object.entries(RENAMED_KEYS)) {
      if (!hasKey(values, oldKey)) continue;
      throw new SettingsError('renamedKey', { file, field: `${section}.${oldKey}`, problem: `is now named ${newKey}` });
    }
  }
}

/**
 * Returns the operators' tuning parameters. Throws `SettingsError` if the file cannot be read, a value is invalid or
 * a key has its old name.
 */
export function loadTuning(file: string): Tuning {
  const document = readTomlFile(file);
  rejectRenamedKeys(file, document);
  return parseSettings(file, document, tuningSchema);
}
