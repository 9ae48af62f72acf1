/** Parts of the service that a deployment switches on. */

/** The keys are those of deploy/features.toml, where units and reasons stand. */
export interface Features {
  readonly recovery: {
    readonly enabled: boolean;
    readonly record_zones: boolean;
    readonly lists_per_window: number;
    readonly ask_after_ms: number;
  };
}

/** What holds where deploy/features.toml says nothing of recovery. */
export const RECOVERY_OFF: Features['recovery'] = {
  enabled: false,
  record_zones: false,
  lists_per_window: 64,
  ask_after_ms: 0,
};

/** What holds without a file of features. */
export const ALL_OFF: Features = { recovery: RECOVERY_OFF };
