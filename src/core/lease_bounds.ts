/**
 * Computes, from a deployment's settings, the lease times that keep tasks of cancelled jobs from running longer than
 * the deployment permits (docs/rules.md, "How long a cancelled task can last"). All times are in milliseconds.
 */
import type { Settings, Tuning } from './settings.js';

/** Maximum relative drift between the clocks of two machines, each of which may be off by up to 0.05 %. */
export const CLOCK_DRIFT = 0.001;
/**
 * Additional time for workers and heartbeat responses: a tick of the worker, a late timer, and a message in transit.
 */
const TIMER_AND_NETWORK_MARGIN_MS = 1000;
const MIN_JOB_VIEW_AGE_BOUND_MS = 1000;

/**
 * Returns how long a worker that receives no further heartbeat responses may still have tasks. The time counts from
 * when it sent the last heartbeat that was answered.
 */
export const workerLeaseExpiryMs = ({ workers }: Settings): number =>
  workers.leaseMs * (1 + CLOCK_DRIFT) + TIMER_AND_NETWORK_MARGIN_MS;

/**
 * Returns the maximum age of a leader's view of jobs at which its heartbeat responses may still renew workers' leases.
 * If a job is cancelled right after the view was current, the last renewal of the lease under which its tasks run comes
 * at most this time later. This age and the worker's lease expiry together stay within `cancel_s`, whatever happens
 * meanwhile to the state store, the network and the leader.
 */
export function maxJobViewAgeMs(settings: Settings): number {
  return Math.max(MIN_JOB_VIEW_AGE_BOUND_MS, settings.workers.cancellationTimeoutMs - workerLeaseExpiryMs(settings));
}

/**
 * Returns the duration of the leader's own lease: the configured share of the workers' lease, or less if `cancel_s`
 * requires it.
 */
export function leaderLeaseMs(settings: Settings, tuning: Tuning): number {
  const configured = settings.workers.leaseMs * tuning.leadership.lease_share;
  return Math.round(Math.min(configured, maxJobViewAgeMs(settings)));
}
