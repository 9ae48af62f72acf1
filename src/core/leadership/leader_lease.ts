/** The lease of the leader key while this controller holds it: its validity and its renewals. */
import { CLOCK_DRIFT } from '../lease_bounds.js';
import type { StateStoreResult } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import { addMilliseconds, type MonotonicTime } from '../types.js';
import { ELECTION_PRIORITY, type ElectionWon } from './candidacy.js';
import type { Leadership } from './leadership.js';

const RENEWALS_PER_LEASE = 4;
const RENEWAL_RETRY_MS = 200;
const MAX_RENEWAL_TIMEOUT_MS = 1500;
const RENEWAL_TIMEOUT_SHARE = 1 / 3;

type RenewalOutcome = 'renewed' | 'unanswered' | 'expired';

/**
 * Tracks until when the lease is valid. The validity period starts when the last successful renewal was sent, measured
 * by this controller's clock, and is shortened by the clock drift and a safety margin. Callers check the validity at
 * the moment of use, because a timer that ended it would fire late on an overloaded core.
 */
export class LeaderLease {
  readonly leadership: Leadership;
  private isReleased = false;
  private readonly renewalTimer: Timer;

  /** `onExpired` is called when the state store responds that the lease no longer exists. */
  constructor(
    private readonly context: StepContext,
    won: ElectionWon,
    private readonly durationMs: number,
    private readonly onExpired: () => void,
  ) {
    this.leadership = won.leadership;
    this.renewalTimer = context.timers.create(() => this.renew());
    this.extendValidity(won.grantSentAt);
  }

  /** Returns whether the lease rules out any other leader at this moment. */
  isValid(): boolean {
    return !this.isReleased && this.context.now.monotonic < this.context.leadership.validUntil;
  }

  /** Starts renewing the lease. */
  start(): void {
    this.scheduleRenewal(this.durationMs / RENEWALS_PER_LEASE);
  }

  /** Ends the validity and the renewals immediately. The state store keeps the lease until it expires or is revoked. */
  release(): void {
    this.isReleased = true;
    this.context.leadership.validUntil = 0 as MonotonicTime;
    this.renewalTimer.clear();
  }

  /** Sends a renewal. Has no effect after the lease was released. */
  private renew(): void {
    if (this.isReleased) return;
    const onResult = (result: StateStoreResult, sentAt: MonotonicTime): void => {
      if (!this.isReleased) this.onRenewal(outcomeOf(result), sentAt);
    };
    const renewal = { op: 'renew', lease: this.leadership.leaseId } as const;
    this.context.stateStore.call(renewal, ELECTION_PRIORITY, onResult, {
      timeoutMs: Math.min(MAX_RENEWAL_TIMEOUT_MS, this.durationMs * RENEWAL_TIMEOUT_SHARE),
    });
  }

  private onRenewal(outcome: RenewalOutcome, sentAt: MonotonicTime): void {
    switch (outcome) {
      case 'renewed':
        this.onRenewed(sentAt);
        return;
      case 'unanswered':
        this.scheduleRenewal(RENEWAL_RETRY_MS);
        return;
      case 'expired':
        this.onExpired();
        return;
    }
  }

  private onRenewed(sentAt: MonotonicTime): void {
    const wasInvalid = !this.isValid();
    this.extendValidity(sentAt);
    const { fencingToken } = this.leadership;
    if (wasInvalid) this.context.log('leadership resumed after gap in renewals', { fencingToken });
    this.start();
  }

  private extendValidity(sentAt: MonotonicTime): void {
    const validMs = this.durationMs * (1 - CLOCK_DRIFT) - this.context.tuning.leadership.margin_ms;
    const until = addMilliseconds(sentAt, validMs);
    if (until > this.context.leadership.validUntil) this.context.leadership.validUntil = until;
  }

  private scheduleRenewal(afterMs: number): void {
    this.renewalTimer.set(this.context.after(afterMs));
  }
}

function outcomeOf(result: StateStoreResult): RenewalOutcome {
  if (result.ok) return 'renewed';
  const { code } = result.error;
  return code === 'gone' || code === 'invalidRequest' ? 'expired' : 'unanswered';
}
