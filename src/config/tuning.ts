import * as v from 'valibot';
import type { Tuning } from '../core/settings.js';
import { count, loadToml, notNegative, positive, share } from './load.js';

const within = (least: number, most: number) => v.pipe(v.number(), v.minValue(least), v.maxValue(most));

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

export function loadTuning(file: string): Tuning {
  return loadToml(file, schema);
}
