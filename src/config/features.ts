/** Reads `deploy/features.toml`: what a deployment switches on beyond scheduling itself. */
import * as v from 'valibot';
import { type Features, RECOVERY_OFF } from '../core/features.js';
import { parseSettings, readTomlFile } from './settings_file.js';
import { numberBetween } from './value_schemas.js';

/** Reconciliation after a change of leader; what is left out is as when the feature is off. */
const recoverySchema = v.strictObject({
  enabled: v.boolean(),
  /** Whether jobs' records name the zones in which they may have been started. */
  record_zones: v.optional(v.boolean(), RECOVERY_OFF.record_zones),
  /** Task lists that are examined in one window of 50 ms: more delay the other work of a leader that has just started. */
  lists_per_window: v.optional(v.pipe(numberBetween(1, 10_000), v.integer()), RECOVERY_OFF.lists_per_window),
  /** Milliseconds after the stored state was read until machines that sent no heartbeat are asked; 0: at once. */
  ask_after_ms: v.optional(numberBetween(0, 60_000), RECOVERY_OFF.ask_after_ms),
});

/** Strict, so that a misspelt feature isn't off without a word. */
const featuresSchema = v.strictObject({ recovery: v.optional(recoverySchema, RECOVERY_OFF) });

/** Returns what the deployment switches on; throws `SettingsError` if the file is missing or a value is refused. */
export function loadFeatures(file: string): Features {
  return parseSettings(file, readTomlFile(file), featuresSchema);
}
