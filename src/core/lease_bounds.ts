/**
 * The times that keep cancelled tasks within the deployment's bound, computed from its settings (docs/rules.md, "How long a
 * cancelled task can last"). All in milliseconds.
 */
import type { Settings, Tuning } from './settings.js';

/** Clocks of different machines drift apart by up to 0.05 %; both ends may be off. */
export const CLOCK_DRIFT = 0.001;
/** What workers and answers take on top of their times: a tick, a late timer, a message on its way. */
const TIMER_AND_NETWORK_MARGIN_MS = 1000;
const MIN_JOB_VIEW_AGE_BOUND_MS = 1000;

/** Returns how long after its last answered heartbeat was sent a worker that is not answered again may still have tasks. */
export const workerLeaseExpiryMs = ({ workers }: Settings): number =>
  workers.leaseMs * (1 + CLOCK_DRIFT) + TIMER_AND_NETWORK_MARGIN_MS;

/**
 * Returns how old a leader's view of jobs may be while its responses still renew workers' leases. A task of a job that was cancelled
 * right after the leader last heard of jobs ends with a lease renewed at most so long after: together they stay within
 * `cancel_s`, whatever happens to the state store, the links and the leader meanwhile.
 */
export function maxJobViewAgeMs(settings: Settings): number {
  return Math.max(MIN_JOB_VIEW_AGE_BOUND_MS, settings.workers.cancellationTimeoutMs - workerLeaseExpiryMs(settings));
}

/** Returns the length of the leader's own lease: the share that the operators chose, or less where `cancel_s` demands it. */
export function leaderLeaseMs(settings: Settings, tuning: Tuning): number {
  const chosen = settings.workers.leaseMs * tuning.leadership.lease_share;
  return Math.round(Math.min(chosen, maxJobViewAgeMs(settings)));
}
