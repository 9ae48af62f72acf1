/** Parts that a deployment switches on; units and reasons stand in deploy/features.toml. */
export interface Features {
  readonly recovery: {
    readonly enabled: boolean;
    readonly record_zones: boolean;
    readonly lists_per_window: number;
    readonly ask_after_ms: number;
  };
}

export const RECOVERY_OFF: Features['recovery'] = {
  enabled: false,
  record_zones: false,
  lists_per_window: 64,
  ask_after_ms: 0,
};

export const ALL_OFF: Features = { recovery: RECOVERY_OFF };
