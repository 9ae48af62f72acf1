import * as v from 'valibot';
import { type Features, RECOVERY_OFF } from '../core/features.js';
import { checkSettings, readToml, within } from './load.js';

const recovery = v.strictObject({
  enabled: v.boolean(),
  record_zones: v.optional(v.boolean(), RECOVERY_OFF.record_zones),
  lists_per_window: v.optional(v.pipe(within(1, 10_000), v.integer()), RECOVERY_OFF.lists_per_window),
  ask_after_ms: v.optional(within(0, 60_000), RECOVERY_OFF.ask_after_ms),
});

const schema = v.strictObject({ recovery: v.optional(recovery, RECOVERY_OFF) });

/** Reads and checks what the deployment switches on; throws `SettingsError`, naming the field. */
export function loadFeatures(file: string): Features {
  return checkSettings(file, readToml(file), schema);
}
