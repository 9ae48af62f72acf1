import * as v from 'valibot';
import { type Features, RECOVERY_OFF } from '../core/features.js';
import { numberBetween, parseSettings, readTomlFile } from './settings_file.js';

const recoverySchema = v.strictObject({
  enabled: v.boolean(),
  record_zones: v.optional(v.boolean(), RECOVERY_OFF.record_zones),
  lists_per_window: v.optional(v.pipe(numberBetween(1, 10_000), v.integer()), RECOVERY_OFF.lists_per_window),
  ask_after_ms: v.optional(numberBetween(0, 60_000), RECOVERY_OFF.ask_after_ms),
});

const featuresSchema = v.strictObject({ recovery: v.optional(recoverySchema, RECOVERY_OFF) });

/** Reads and checks what the deployment switches on; throws `SettingsError`, naming the field. */
export function loadFeatures(file: string): Features {
  return parseSettings(file, readTomlFile(file), featuresSchema);
}
