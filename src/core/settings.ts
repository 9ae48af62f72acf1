/** What operators say about a deployment, as the core needs it. */
import type { ControllerName, TeamQuota, ZoneName } from './types.js';

/** What the operators expect of a class of jobs; only what bears on order is kept. */
export interface ServiceLevelObjective {
  readonly kind: 'wait' | 'finished' | 'deadline';
  readonly jobClass: string;
  /** For `wait` and `finished`. */
  readonly withinSeconds: number;
  /** For deadlines: how many times the deadline. */
  readonly deadlineFactor: number;
}

/** What the platform says about this deployment, as the core needs it. */
export interface Settings {
  /** This controller. */
  readonly controller: ControllerName;
  readonly zone: ZoneName;
  /** The other controllers that are known at start. */
  readonly peers: readonly { readonly name: ControllerName; readonly zone: ZoneName }[];
  /** All controllers with this one: they share the limits of the state store. */
  readonly controllerCount: number;
  /** What a controller may use: its share of a core, and its sockets. */
  readonly limits: { readonly cpuShare: number; readonly maxConnections: number };
  readonly zones: readonly ZoneName[];
  /** How far the clocks of two machines may be apart. */
  readonly clockSkewMs: number;
  readonly teamQuotas: readonly TeamQuota[];
  readonly objectives: readonly ServiceLevelObjective[];
  readonly workers: {
    readonly heartbeatIntervalMs: number;
    /** How long a worker goes on without a response to its heartbeats. */
    readonly leaseMs: number;
    /** How long the tasks of a gang wait for each other before they exit. */
    readonly gangBarrierTimeoutMs: number;
    /** How soon the tasks of a running gang notice that one is gone. */
    readonly gangPeerTimeoutMs: number;
    /** Within this time after a cancellation no task of the job may run. */
    readonly cancellationTimeoutMs: number;
  };
  readonly stateStore: {
    readonly requestsPerSecond: number;
    readonly writesPerSecond: number;
    /** The rates that come into force without notice, where lower ones are announced; else the same. */
    readonly announcedRequestsPerSecond: number;
    readonly announcedWritesPerSecond: number;
    readonly maxValueBytes: number;
    readonly maxChangesPerTransaction: number;
  };
  /** `listStalenessMs`: by how much the list of machines usually lags. */
  readonly cloud: { readonly requestsPerSecond: number; readonly listStalenessMs: number };
}

/** The operators' own tuning; units and reasons stand in deploy/tuning.toml. */
export interface Tuning {
  readonly leadership: {
    readonly lease_share: number;
    readonly margin_ms: number;
    readonly resign_after_ms: number;
    readonly backoff_ms: number;
    readonly reports_cpu_share: number;
  };
  readonly scheduler: {
    readonly period_ms: number;
    readonly spacing_ms: number;
    readonly individuals: number;
    readonly generations: number;
    readonly mutation: number;
    readonly plan_steps: number;
    readonly jobs_planned: number;
    readonly weight_average: number;
    readonly weight_maximum: number;
    readonly weight_idle: number;
    readonly gpu_penalty_s: number;
    readonly on_demand_penalty_s: number;
    readonly reserved_type_penalty_s: number;
    readonly cached_image_penalty_s: number;
    readonly future_discount: number;
    readonly gang_future_discount: number;
    readonly overdue_share: number;
    readonly overdue_after_s: number;
    readonly priority_base: number;
    readonly spacing_per_machine_ms: number;
    readonly spacing_per_step_ms: number;
    readonly urgency: number;
    readonly urgency_horizon_s: number;
  };
  readonly machines: {
    readonly idle_return_s: number;
    readonly rent_horizon_s: number;
    readonly rent_round_up: number;
    readonly rent_margin_s: number;
    readonly refused_backoff_s: number;
    readonly boot_give_up: number;
    readonly error_limit: number;
    readonly keep_guarantees: boolean;
  };
}
