/** Reads the optional features of a deployment from `deploy/features.toml`. */
import * as v from 'valibot';
import { type Features, RECOVERY_OFF } from '../core/features.js';
import { parseSettings, readTomlFile } from './settings_file.js';
import { numberBetween } from './value_schemas.js';

/** Reconciliation after a change of leader. A key that is left out has the value of the disabled feature. */
const recoverySchema = v.strictObject({
  enabled: v.boolean(),
  /** Whether job records name the zones in which the job may have been started. */
  record_zones: v.optional(v.boolean(), RECOVERY_OFF.record_zones),
  /**
   * Maximum number of statuses that are reconciled per window of 50 ms. Higher values delay the other work of a leader
   * that has just been elected.
   */
  lists_per_window: v.optional(v.pipe(numberBetween(1, 10_000), v.integer()), RECOVERY_OFF.lists_per_window),
  /**
   * Milliseconds after reading the stored state before machines that have sent no heartbeat are asked for their status.
   * With 0 they are asked at once.
   */
  ask_after_ms: v.optional(numberBetween(0, 60_000), RECOVERY_OFF.ask_after_ms),
});

/** The schema is strict, so that a misspelt feature is reported as an error and not silently left off. */
const featuresSchema = v.strictObject({ recovery: v.optional(recoverySchema, RECOVERY_OFF) });

/** Returns the features of the deployment. Throws `SettingsError` if the file cannot be read or a value is invalid. */
export function loadFeatures(file: string): Features {
  return parseSettings(file, readTomlFile(file), featuresSchema);
}
