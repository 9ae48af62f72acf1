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
/** Lower limit of `maxJobViewAgeMs`. It applies even if `cancel_s` is too short for it. */
const MIN_JOB_VIEW_AGE_BOUND_MS = 1000;

/**
 * Returns the time after which a worker that receives no further heartbeat responses has no tasks left. It is counted
 * from the sending of the last heartbeat that got a response.
 */
export const workerLeaseExpiryMs = ({ workers }: Settings): number =>
  workers.leaseMs * (1 + CLOCK_DRIFT) + TIMER_AND_NETWORK_MARGIN_MS;

/**
 * Returns the maximum age of a leader's view of jobs at which its heartbeat responses may still renew workers' leases.
 * If the view misses the cancellation of a job, the leader renews the leases of the job's workers for at most this time
 * after the cancellation. The tasks end when the last renewed lease expires. Both times together stay within
 * `cancel_s`, regardless of failures of the state store, the network and the leader.
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
