/** Tracks which controller is the leader by following the leader key, and starts a candidacy when the key is absent. */
import { leaderLeaseMs } from '../lease_bounds.js';
import type { StateStoreResultOf, StoredEntry } from '../messages.js';
import { decodeLeader, LEADER_KEY, type LeaderRecord } from '../records.js';
import type { StepContext } from '../step_context.js';
import type { Timer } from '../timers.js';
import { ABSENT_VERSION, type ControllerName, type LeaseId, type MonotonicTime, type Revision } from '../types.js';
import { Candidacy, type CandidacyOutcome, ELECTION_PRIORITY, type ElectionWon } from './candidacy.js';
import { LeaderLease } from './leader_lease.js';
import type { Leadership } from './leadership.js';

const WATCH_MS = 5000;
const WATCH_TIMEOUT_MARGIN_MS = 2000;
/**
 * Maximum age of the leader record for the leader to count as known, in milliseconds. While the state store is
 * reachable, it responds to the watch of the leader key at least every 5 s.
 */
const LEADER_RECORD_MAX_AGE_MS = 6500;
const RETRY_MS = 300;
const SHORT_RETRY_MS = 50;
const IMMEDIATE_RETRY_MS = 10;
const RETRY_AFTER_EVENT_MS = 1;
const RETRY_AFTER_STEPPING_DOWN_MS = 500;
const RETRY_AFTER_FAILED_CONFIRMATION_MS = 100;
const LEASE_ID_PATTERN = /^\d+$/;

/** Why a leader steps down voluntarily. The text is logged unchanged. */
export type StepDownReason =
  | 'isolated from workers'
  | 'responses do not reach machines'
  | 'view of jobs too old'
  | 'machine types not read'
  | 'state not read';

/** Receives changes of this controller's leadership. */
export interface ElectionCallbacks {
  onElected(leadership: Leadership): void;
  /** Called after the leadership was lost or this controller stepped down. */
  onLost(): void;
}

/**
 * This controller's state in the election. Every state ends with another read of the leader key, except for a candidacy
 * that was won.
 */
type ElectionState =
  /** The leader key will be read when the retry timer fires. */
  | { readonly kind: 'waiting' }
  /** The leader key is being read or watched. */
  | { readonly kind: 'following' }
  /** The leader key was found absent, and an attempt to acquire it is in progress. */
  | { readonly kind: 'candidate' }
  | { readonly kind: 'leader'; readonly lease: LeaderLease };

/**
 * Leader election with a single leader key that is attached to a lease of the state store. The controller that holds
 * the key is the leader.
 */
export class Election {
  /** When this controller was last elected, or when it started if it has not been elected yet. */
  electedAt: MonotonicTime;
  private state: ElectionState = { kind: 'waiting' };
  /** The leader key's value when it was last read. Null if the key was absent or its value could not be decoded. */
  private leaderRecord: LeaderRecord | null = null;
  private leaderRecordReadAt = Number.NEGATIVE_INFINITY as MonotonicTime;
  private observedRevision: Revision = ABSENT_VERSION;
  private nextCandidacyAt = 0 as MonotonicTime;
  private readonly retryTimer: Timer;
  private readonly leaseDurationMs: number;

  /** `incarnation` distinguishes this process from previous processes of the same controller. */
  constructor(
    private readonly context: StepContext,
    private readonly incarnation: string,
    private readonly callbacks: ElectionCallbacks,
  ) {
    this.leaseDurationMs = leaderLeaseMs(context.settings, context.tuning);
    this.electedAt = context.now.monotonic;
    this.retryTimer = context.timers.create(() => {
      if (this.state.kind === 'waiting') this.follow();
    });
  }

  // ---- queries

  /** Null while this controller is not the leader. */
  get leadership(): Leadership | null {
    return this.state.kind === 'leader' ? this.state.lease.leadership : null;
  }

  /** Returns whether this controller is the leader and its lease rules out any other leader at this moment. */
  isLeaseValid(): boolean {
    return this.state.kind === 'leader' && this.state.lease.isValid();
  }

  /** Returns whether the leader is known from a recent read of the leader key. */
  isLeaderKnown(): boolean {
    const ageMs = this.context.now.monotonic - this.leaderRecordReadAt;
    return this.leaderRecord !== null && ageMs < LEADER_RECORD_MAX_AGE_MS;
  }

  /** Returns the leader's name as last read, regardless of its age. Null if no leader was found. */
  leaderName(): ControllerName | null {
    return this.leaderRecord ? (this.leaderRecord.node as ControllerName) : null;
  }

  // ---- transitions

  /** Starts following the leader key. */
  start(): void {
    this.follow();
  }

  /**
   * Steps down immediately and starts no candidacy for the configured back-off time. Has no effect if this controller
   * is not the leader.
   */
  stepDown(reason: StepDownReason): void {
    if (this.state.kind !== 'leader') return;
    const { fencingToken, leaseId } = this.state.lease.leadership;
    this.context.log('leader stepped down', { reason, fencingToken });
    this.endLeadership(this.state.lease);
    this.nextCandidacyAt = this.context.after(this.context.tuning.leadership.backoff_ms);
    this.revoke(leaseId);
    this.scheduleRetry(RETRY_AFTER_STEPPING_DOWN_MS);
  }

  private onLeaseExpired(lease: LeaderLease): void {
    const { fencingToken } = lease.leadership;
    this.context.log('leadership lost: lease expired', { fencingToken });
    this.endLeadership(lease);
    this.scheduleRetry(IMMEDIATE_RETRY_MS);
  }

  private endLeadership(lease: LeaderLease): void {
    this.state = { kind: 'waiting' };
    lease.release();
    this.callbacks.onLost();
  }

  private scheduleRetry(ms: number): void {
    this.state = { kind: 'waiting' };
    this.retryTimer.set(this.context.after(ms));
  }

  private follow(): void {
    this.state = { kind: 'following' };
    this.readLeaderKey();
  }

  private startCandidacy(): void {
    const waitMs = this.nextCandidacyAt - this.context.now.monotonic;
    if (waitMs > 0) {
      this.scheduleRetry(waitMs);
      return;
    }
    this.state = { kind: 'candidate' };
    const init = { incarnation: this.incarnation, leaseDurationMs: this.leaseDurationMs };
    new Candidacy(this.context, init, (outcome) => this.onCandidacyOutcome(outcome)).start();
  }

  private onCandidacyOutcome(outcome: CandidacyOutcome): void {
    switch (outcome.kind) {
      case 'won':
        this.becomeLeader(outcome);
        return;
      case 'unavailable':
        this.scheduleRetry(RETRY_MS);
        return;
      case 'lost':
        this.scheduleRetry(SHORT_RETRY_MS);
        return;
      case 'notConfirmed':
        this.scheduleRetry(RETRY_AFTER_FAILED_CONFIRMATION_MS);
        return;
    }
  }

  private becomeLeader(won: ElectionWon): void {
    const { leadership, record } = won;
    const { fencingToken, term } = leadership;
    const lease = new LeaderLease(this.context, won, this.leaseDurationMs, () => this.onLeaseExpired(lease));
    this.state = { kind: 'leader', lease };
    this.electedAt = this.context.now.monotonic;
    this.observedRevision = fencingToken as bigint as Revision;
    this.leaderRecord = record;
    this.context.log('leader elected', { fencingToken, term });
    lease.start();
    this.callbacks.onElected(leadership);
  }

  // ---- the leader key

  private readLeaderKey(): void {
    this.context.stateStore.call({ op: 'get', key: LEADER_KEY }, ELECTION_PRIORITY, (result) => {
      if (!result.ok) return this.scheduleRetry(RETRY_MS);
      this.leaderRecordReadAt = this.context.now.monotonic;
      this.observeRevision(result.value.revision);
      this.onLeaderKey(result.value.item);
    });
  }

  private onLeaderKey(item: StoredEntry | null): void {
    if (item === null) {
      this.leaderRecord = null;
      this.startCandidacy();
      return;
    }
    this.observeRevision(item.version);
    this.leaderRecord = decodeLeader(item.value);
    if (!this.leaderRecord) this.context.log('leader key not understood', { key: LEADER_KEY });
    const previousLease = this.leaderRecord && this.leaseOfPreviousIncarnation(this.leaderRecord);
    if (previousLease) this.revokePreviousIncarnation(previousLease);
    else this.watchLeaderKey();
  }

  /**
   * Revokes the lease that a previous process of this controller left behind. That process cannot still be running
   * beside this one, so there is no need to wait for the lease to expire.
   */
  private revokePreviousIncarnation(lease: LeaseId): void {
    this.context.log('lease of previous process found', {});
    this.revoke(lease, () => this.scheduleRetry(IMMEDIATE_RETRY_MS));
  }

  private leaseOfPreviousIncarnation({ node, incarnation, lease }: LeaderRecord): LeaseId | null {
    if (node !== this.context.settings.controller || incarnation === this.incarnation) return null;
    return LEASE_ID_PATTERN.test(lease) ? (BigInt(lease) as LeaseId) : null;
  }

  private watchLeaderKey(): void {
    const watch = { op: 'watch', prefix: LEADER_KEY, after: this.observedRevision, waitMs: WATCH_MS } as const;
    const options = { timeoutMs: WATCH_MS + WATCH_TIMEOUT_MARGIN_MS };
    this.context.stateStore.call(watch, ELECTION_PRIORITY, (result) => this.onWatchResponse(result), options);
  }

  private onWatchResponse(result: StateStoreResultOf<'watch'>): void {
    if (!result.ok) {
      this.scheduleRetry(result.error.code === 'gone' ? IMMEDIATE_RETRY_MS : RETRY_MS);
      return;
    }
    this.observedRevision = result.value.revision;
    this.scheduleRetry(result.value.events.length > 0 ? RETRY_AFTER_EVENT_MS : SHORT_RETRY_MS);
  }

  private observeRevision(revision: Revision | undefined): void {
    if (revision !== undefined && revision > this.observedRevision) this.observedRevision = revision;
  }

  private revoke(lease: LeaseId, onDone: () => void = () => {}): void {
    this.context.stateStore.call({ op: 'revoke', lease }, ELECTION_PRIORITY, onDone);
  }
}
