/** Optional features that a deployment can enable. */

/**
 * The features of a deployment. The keys are those of deploy/features.toml, which documents their units and reasons.
 */
export interface Features {
  readonly recovery: {
    readonly enabled: boolean;
    readonly record_zones: boolean;
    readonly lists_per_window: number;
    readonly ask_after_ms: number;
  };
}

/** The recovery settings that apply if deploy/features.toml has no recovery section. */
export const RECOVERY_OFF: Features['recovery'] = {
  enabled: false,
  record_zones: false,
  lists_per_window: 64,
  ask_after_ms: 0,
};

/** The features that apply if no features file is given. */
export const ALL_OFF: Features = { recovery: RECOVERY_OFF };
