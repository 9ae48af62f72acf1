import * as v from 'valibot';
import type { Tuning } from '../core/settings.js';
import { checkSettings, count, notNegative, positive, readToml, SettingsError, share, within } from './load.js';

const schema = v.object({
  leadership: v.object({
    lease_share: within(0.05, 0.8),
    margin_ms: within(100, 5000),
    resign_after_ms: within(1000, 60_000),
    backoff_ms: notNegative,
    reports_cpu_share: within(0.01, 1000),
  }),
  scheduler: v.object({
    period_ms: within(100, 60_000),
    spacing_ms: within(20, 60_000),
    individuals: count,
    generations: v.pipe(v.number(), v.integer(), v.minValue(0)),
    mutation: share,
    plan_steps: count,
    jobs_planned: count,
    weight_average: notNegative,
    weight_maximum: notNegative,
    weight_idle: notNegative,
    gpu_penalty_s: notNegative,
    on_demand_penalty_s: notNegative,
    reserved_type_penalty_s: notNegative,
    cached_image_penalty_s: notNegative,
    future_discount: within(0, 10),
    gang_future_discount: within(0, 10),
    overdue_share: within(0, 10),
    overdue_after_s: positive,
    priority_base: within(1, 100),
    spacing_per_machine_ms: notNegative,
    spacing_per_step_ms: within(0, 10),
    urgency: notNegative,
    urgency_horizon_s: positive,
  }),
  machines: v.object({
    idle_return_s: notNegative,
    rent_horizon_s: positive,
    rent_round_up: within(0, 1),
    rent_margin_s: notNegative,
    refused_backoff_s: positive,
    boot_give_up: within(1.5, 100),
    error_limit: count,
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
function refuseRenamedKeys(file: string, raw: unknown): void {
  for (const [section, values] of Object.entries(raw as Record<string, object>)) {
    for (const [oldKey, newKey] of Object.entries(RENAMED_KEYS)) {
      const hasOldKey = typeof values === 'object' && values !== null && Object.hasOwn(values, oldKey);
      if (hasOldKey) throw new SettingsError(`${file}: ${section}.${oldKey}: is now named ${newKey}`);
    }
  }
}

/** Reads and checks the operators' own tuning; throws `SettingsError`, naming the field. */
export function loadTuning(file: string): Tuning {
  const raw = readToml(file);
  refuseRenamedKeys(file, raw);
  return checkSettings(file, raw, schema);
}
