/** The settings and the tuning of a deployment, in the form that the core uses. */
import type { ControllerName, TeamQuota, ZoneName } from './types.js';

/**
 * The operators' objective for a class of jobs, with the fields that affect the order of jobs. `wait` limits the time
 * until a job runs, `finished` the time until it is done, and `deadline` relates that time to the job's own deadline.
 */
export interface ServiceLevelObjective {
  readonly kind: 'wait' | 'finished' | 'deadline';
  readonly jobClass: string;
  /** The time limit of `wait` and `finished` objectives. */
  readonly withinSeconds: number;
  /** For `deadline` objectives, the factor by which a job's deadline is multiplied. */
  readonly deadlineFactor: number;
}

/** The platform's settings for this deployment. */
export interface Settings {
  readonly controller: ControllerName;
  readonly zone: ZoneName;
  /** The other controllers that are known at startup. */
  readonly peers: readonly { readonly name: ControllerName; readonly zone: ZoneName }[];
  /** The number of controllers, including this one. They share the limits of the state store. */
  readonly controllerCount: number;
  /** The resource limits of a controller: its share of a core, and the number of its sockets. */
  readonly limits: { readonly cpuShare: number; readonly maxConnections: number };
  readonly zones: readonly ZoneName[];
  /** Maximum difference between the clocks of two machines. */
  readonly clockSkewMs: number;
  readonly teamQuotas: readonly TeamQuota[];
  readonly objectives: readonly ServiceLevelObjective[];
  readonly workers: {
    readonly heartbeatIntervalMs: number;
    /** How long a worker keeps running its tasks without a response to its heartbeats. */
    readonly leaseMs: number;
    /** How long the tasks of a gang wait for each other at the barrier before they exit. */
    readonly gangBarrierTimeoutMs: number;
    /** The time within which the tasks of a running gang notice that one of them is missing. */
    readonly gangPeerTimeoutMs: number;
    /** Maximum time after a job's cancellation during which its tasks may still run. */
    readonly cancellationTimeoutMs: number;
  };
  readonly stateStore: {
    readonly requestsPerSecond: number;
    readonly writesPerSecond: number;
    /**
     * The announced lower rates, which the state store may enforce at any time without further notice. Equal to the
     * current rates if no lower ones are announced.
     */
    readonly announcedRequestsPerSecond: number;
    readonly announcedWritesPerSecond: number;
    readonly maxValueBytes: number;
    readonly maxChangesPerTransaction: number;
  };
  /** `listStalenessMs` is the usual lag of the cloud's list of machines. */
  readonly cloud: { readonly requestsPerSecond: number; readonly listStalenessMs: number };
}

/** The operators' tuning parameters. deploy/tuning.toml documents their units and reasons. */
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
