import * as v from 'valibot';
import type { Tuning } from '../core/settings.js';
import {
  fraction,
  nonNegativeNumber,
  numberBetween,
  parseSettings,
  positiveInteger,
  positiveNumber,
  readTomlFile,
  SettingsError,
} from './settings_file.js';

const tuningSchema = v.object({
  leadership: v.object({
    lease_share: numberBetween(0.05, 0.8),
    margin_ms: numberBetween(100, 5000),
    resign_after_ms: numberBetween(1000, 60_000),
    backoff_ms: nonNegativeNumber,
    reports_cpu_share: numberBetween(0.01, 1000),
  }),
  scheduler: v.object({
    period_ms: numberBetween(100, 60_000),
    spacing_ms: numberBetween(20, 60_000),
    individuals: positiveInteger,
    generations: v.pipe(v.number(), v.integer(), v.minValue(0)),
    mutation: fraction,
    plan_steps: positiveInteger,
    jobs_planned: positiveInteger,
    weight_average: nonNegativeNumber,
    weight_maximum: nonNegativeNumber,
    weight_idle: nonNegativeNumber,
    gpu_penalty_s: nonNegativeNumber,
    on_demand_penalty_s: nonNegativeNumber,
    reserved_type_penalty_s: nonNegativeNumber,
    cached_image_penalty_s: nonNegativeNumber,
    future_discount: numberBetween(0, 10),
    gang_future_discount: numberBetween(0, 10),
    overdue_share: numberBetween(0, 10),
    overdue_after_s: positiveNumber,
    priority_base: numberBetween(1, 100),
    spacing_per_machine_ms: nonNegativeNumber,
    spacing_per_step_ms: numberBetween(0, 10),
    urgency: nonNegativeNumber,
    urgency_horizon_s: positiveNumber,
  }),
  machines: v.object({
    idle_return_s: nonNegativeNumber,
    rent_horizon_s: positiveNumber,
    rent_round_up: numberBetween(0, 1),
    rent_margin_s: nonNegativeNumber,
    refused_backoff_s: positiveNumber,
    boot_give_up: numberBetween(1.5, 100),
    error_limit: positiveInteger,
    keep_guarantees: v.boolean(),
  }),
});

/** Keys that were renamed: a file with an old one is refused, so that its value isn't passed over unseen. */
const RENAMED_KEYS: Readonly<Record<string, string>> = {
  gpu_reluctance_s: 'gpu_penalty_s',
  ordinary_reluctance_s: 'on_demand_penalty_s',
  wanted_reluctance_s: 'reserved_type_penalty_s',
  warm_reluctance_s: 'cached_image_penalty_s',
  future_doubt: 'future_discount',
};

/** Throws where a section holds a key under its old name. */
function rejectRenamedKeys(file: string, raw: unknown): void {
  for (const [section, values] of Object.entries(raw as Record<string, object>)) {
    for (const [oldKey, newKey] of Object.entries(RENAMED_KEYS)) {
      const hasOldKey = typeof values === 'object' && values !== null && Object.hasOwn(values, oldKey);
      if (hasOldKey) throw new SettingsError(`${file}: ${section}.${oldKey}: is now named ${newKey}`);
    }
  }
}

/** Reads and checks the operators' own tuning; throws `SettingsError`, naming the field. */
export function loadTuning(file: string): Tuning {
  const raw = readTomlFile(file);
  rejectRenamedKeys(file, raw);
  return parseSettings(file, raw, tuningSchema);
}
