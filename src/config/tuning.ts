/** Reads `deploy/tuning.toml`: what operators may tune. The file itself says at length why each default is what it is. */
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

/** How a leader is elected and kept. */
const leadershipSchema = v.object({
  /** The leader's lease as a share of the workers' lease; the bounds leave room for renewals and for failover. */
  lease_share: numberBetween(0.05, 0.8),
  /** Milliseconds taken off the leader's validity on top of clock drift: time for what is on its way out. */
  margin_ms: numberBetween(100, 5000),
  /** Milliseconds that no worker reaches the leader, while one reaches a peer, until the leader resigns. */
  resign_after_ms: numberBetween(1000, 60_000),
  /** Milliseconds that a leader which resigned doesn't stand for election, so that leadership can't flap. */
  backoff_ms: nonNegativeNumber,
  /** Part of a core from which a leader takes heartbeats itself: forwarded ones cost nearly twice as much. */
  reports_cpu_share: numberBetween(0.01, 1000),
});

/** The planning rounds and the search in them. */
const schedulerSchema = v.object({
  /** Milliseconds between rounds when nothing happens. */
  period_ms: numberBetween(100, 60_000),
  /** Least milliseconds between rounds when something does. */
  spacing_ms: numberBetween(20, 60_000),
  /** The genetic search: plans in a generation, generations, and chance of a mutation. */
  individuals: positiveInteger,
  generations: nonNegativeInteger,
  mutation: fraction,
  /** The most plan steps of a round: bounds its processor time without a clock. */
  plan_steps: positiveInteger,
  /** Jobs at the head of the ranking that are planned in full; the others are backfilled. */
  jobs_planned: positiveInteger,
  /** Weights, without unit, of mean wait, longest wait and idle share in the fitness of a plan. */
  weight_average: nonNegativeNumber,
  weight_maximum: nonNegativeNumber,
  weight_idle: nonNegativeNumber,
  /** Penalties: seconds that a job would rather wait than take a machine that other work has more need of. */
  gpu_penalty_s: nonNegativeNumber,
  on_demand_penalty_s: nonNegativeNumber,
  reserved_type_penalty_s: nonNegativeNumber,
  cached_image_penalty_s: nonNegativeNumber,
  /** By what share of the time until then capacity expected later counts as further away: estimates are often wrong. */
  future_discount: numberBetween(0, 10),
  gang_future_discount: numberBetween(0, 10),
  /** Running work is expected to go on for at least this share of the time it has run. */
  overdue_share: numberBetween(0, 10),
  /** Seconds of waiting after which a job that has not begun goes before all others. */
  overdue_after_s: positiveNumber,
  /** How many times a step of user priority counts the one below it. */
  priority_base: numberBetween(1, 100),
  /** Milliseconds added to the spacing of rounds for each machine, and for each plan step of the last round. */
  spacing_per_machine_ms: nonNegativeNumber,
  spacing_per_step_ms: numberBetween(0, 10),
  /** How much sooner a job is ranked whose objective comes near, growing over the last seconds of its slack. */
  urgency: nonNegativeNumber,
  urgency_horizon_s: positiveNumber,
});

/** When machines are provisioned, and when they are given up. */
const machinesSchema = v.object({
  /** Seconds that a machine may stand idle: provisioning again costs a boot and a minute's charge. */
  idle_return_s: nonNegativeNumber,
  /** Seconds of waiting work that a machine is expected to take off the queue; fewer provision more machines. */
  rent_horizon_s: positiveNumber,
  /** Part of a machine's worth of demand that is rounded up; 0: only whole machines, 1: always one more. */
  rent_round_up: numberBetween(0, 1),
  /** Seconds by which a new machine must start work sooner than the plan does. */
  rent_margin_s: nonNegativeNumber,
  /** Seconds until a capacity pool that was exhausted is tried again; grows with each refusal. */
  refused_backoff_s: positiveNumber,
  /** Times its usual boot time after which a machine is given up. */
  boot_give_up: numberBetween(1.5, 100),
  /** Jobs that fail in a row on a machine, or tasks of a job that does well elsewhere, until it is quarantined. */
  error_limit: positiveInteger,
  /** Whether capacity is kept for all teams' guaranteed quotas while there is work. */
  keep_guarantees: v.boolean(),
});

const tuningSchema = v.object({
  leadership: leadershipSchema,
  scheduler: schedulerSchema,
  machines: machinesSchema,
});

/** Keys that were renamed: a file with an old one is refused, so that its value isn't ignored without a word. */
const RENAMED_KEYS: Readonly<Record<string, string>> = {
  gpu_reluctance_s: 'gpu_penalty_s',
  ordinary_reluctance_s: 'on_demand_penalty_s',
  wanted_reluctance_s: 'reserved_type_penalty_s',
  warm_reluctance_s: 'cached_image_penalty_s',
  future_doubt: 'future_discount',
};

const hasKey = (section: unknown, key: string): boolean =>
  typeof section === 'object' && section !== null && Object.hasOwn(section, key);

/** Throws where a section holds a key under its old name. */
function rejectRenamedKeys(file: string, document: TomlDocument): void {
  for (const [section, values] of Object.entries(document)) {
    for (const [oldKey, newKey] of Object.entries(RENAMED_KEYS)) {
      if (!hasKey(values, oldKey)) continue;
      throw new SettingsError('renamedKey', { file, field: `${section}.${oldKey}`, problem: `is now named ${newKey}` });
    }
  }
}

/** Returns the operators' tuning; throws `SettingsError` if the file is missing, a value is refused or a key was renamed. */
export function loadTuning(file: string): Tuning {
  const document = readTomlFile(file);
  rejectRenamedKeys(file, document);
  return parseSettings(file, document, tuningSchema);
}
