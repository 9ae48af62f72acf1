/** Which controller is the leader: follows the leader key, and stands for election when it is free. */
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
/** The watch of the key is answered at least every 5 s while the state store is there. */
const LEADER_RECORD_MAX_AGE_MS = 6500;
const RETRY_MS = 300;
const SHORT_RETRY_MS = 50;
const IMMEDIATE_RETRY_MS = 10;
const RETRY_AFTER_EVENT_MS = 1;
const RETRY_AFTER_STEPPING_DOWN_MS = 500;
const RETRY_AFTER_FAILED_CONFIRMATION_MS = 100;
const LEASE_ID_PATTERN = /^\d+$/;

/** Why a leader gives up its role of its own accord; logged as it stands. */
export type StepDownReason = 'isolated from workers' | 'responses do not reach machines' | 'view of jobs too old';

/** What the election sets off. */
export interface ElectionCallbacks {
  onElected(leadership: Leadership): void;
  /** The role is lost or given up. */
  onLost(): void;
}

/** What this controller does in the election. Every state but `leader` ends in another read of the leader key. */
type ElectionState =
  /** The leader key is read when the timer is due. */
  | { readonly kind: 'waiting' }
  /** The leader key is being read or watched. */
  | { readonly kind: 'following' }
  /** The key was found free, and a try to acquire it is under way. */
  | { readonly kind: 'candidate' }
  | { readonly kind: 'leader'; readonly lease: LeaderLease };

/** One leader key on a lease of the state store; its holder is the leader. */
export class Election {
  /** When this controller was last elected, or began. */
  electedAt: MonotonicTime;
  private state: ElectionState = { kind: 'waiting' };
  /** What the leader key held when it was last read; null: nothing, or nothing that is understood. */
  private leaderRecord: LeaderRecord | null = null;
  private leaderRecordReadAt = Number.NEGATIVE_INFINITY as MonotonicTime;
  private observedRevision: Revision = ABSENT_VERSION;
  private nextCandidacyAt = 0 as MonotonicTime;
  private readonly retryTimer: Timer;
  private readonly leaseDurationMs: number;

  /** `incarnation` names this process among those of the controller. */
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

  // ---- what others ask

  /** Null while this controller is not the leader. */
  get leadership(): Leadership | null {
    return this.state.kind === 'leader' ? this.state.lease.leadership : null;
  }

  /** Returns whether this controller is the leader, and no other can be at this moment. */
  isLeaseValid(): boolean {
    return this.state.kind === 'leader' && this.state.lease.isValid();
  }

  /** Returns whether the leader is known from a recent answer of the state store. */
  isLeaderKnown(): boolean {
    const ageMs = this.context.now.monotonic - this.leaderRecordReadAt;
    return this.leaderRecord !== null && ageMs < LEADER_RECORD_MAX_AGE_MS;
  }

  /** Returns the leader's name as last read, however long ago; null: there was none. */
  leaderName(): ControllerName | null {
    return this.leaderRecord ? (this.leaderRecord.node as ControllerName) : null;
  }

  // ---- transitions

  /** Begins to follow the leader key. */
  start(): void {
    this.follow();
  }

  /** Gives up the role at once, and doesn't stand for election for a while. Without effect where this is not the leader. */
  stepDown(reason: StepDownReason): void {
    if (this.state.kind !== 'leader') return;
    const { fencingToken, leaseId } = this.state.lease.leadership;
    this.context.log('stepping down as leader', { reason, fencingToken });
    this.leaveOffice(this.state.lease);
    this.nextCandidacyAt = this.context.after(this.context.tuning.leadership.backoff_ms);
    this.revoke(leaseId);
    this.waitFor(RETRY_AFTER_STEPPING_DOWN_MS);
  }

  private onLeaseExpired(lease: LeaderLease): void {
    const { fencingToken } = lease.leadership;
    this.context.log('leadership lost: lease expired', { fencingToken });
    this.leaveOffice(lease);
    this.waitFor(IMMEDIATE_RETRY_MS);
  }

  private leaveOffice(lease: LeaderLease): void {
    this.state = { kind: 'waiting' };
    lease.release();
    this.callbacks.onLost();
  }

  private waitFor(ms: number): void {
    this.state = { kind: 'waiting' };
    this.retryTimer.set(this.context.after(ms));
  }

  private follow(): void {
    this.state = { kind: 'following' };
    this.readLeaderKey();
  }

  private stand(): void {
    const waitMs = this.nextCandidacyAt - this.context.now.monotonic;
    if (waitMs > 0) {
      this.waitFor(waitMs);
      return;
    }
    this.state = { kind: 'candidate' };
    const init = { incarnation: this.incarnation, leaseDurationMs: this.leaseDurationMs };
    new Candidacy(this.context, init, (outcome) => this.onCandidacyOutcome(outcome)).start();
  }

  private onCandidacyOutcome(outcome: CandidacyOutcome): void {
    switch (outcome.kind) {
      case 'won':
        this.takeOffice(outcome);
        return;
      case 'unavailable':
        this.waitFor(RETRY_MS);
        return;
      case 'lost':
        this.waitFor(SHORT_RETRY_MS);
        return;
      case 'notConfirmed':
        this.waitFor(RETRY_AFTER_FAILED_CONFIRMATION_MS);
        return;
    }
  }

  private takeOffice(won: ElectionWon): void {
    const { leadership, record } = won;
    const { fencingToken, term } = leadership;
    const lease = new LeaderLease(this.context, won, this.leaseDurationMs, () => this.onLeaseExpired(lease));
    this.state = { kind: 'leader', lease };
    this.electedAt = this.context.now.monotonic;
    this.observedRevision = fencingToken as bigint as Revision;
    this.leaderRecord = record;
    this.context.log('elected leader', { fencingToken, term });
    lease.start();
    this.callbacks.onElected(leadership);
  }

  // ---- the leader key

  private readLeaderKey(): void {
    this.context.stateStore.call({ op: 'get', key: LEADER_KEY }, ELECTION_PRIORITY, (result) => {
      if (!result.ok) return this.waitFor(RETRY_MS);
      this.leaderRecordReadAt = this.context.now.monotonic;
      this.observeRevision(result.value.revision);
      this.onLeaderKey(result.value.item);
    });
  }

  private onLeaderKey(item: StoredEntry | null): void {
    if (item === null) {
      this.leaderRecord = null;
      this.stand();
      return;
    }
    this.observeRevision(item.version);
    this.leaderRecord = decodeLeader(item.value);
    if (!this.leaderRecord) this.context.log('leader key not understood', { key: LEADER_KEY });
    const ownLease = this.leaderRecord && this.leaseOfPreviousIncarnation(this.leaderRecord);
    if (ownLease) this.endPreviousIncarnation(ownLease);
    else this.watchLeaderKey();
  }

  /** A previous process of this controller can't run beside this one, so the lease that it left can end now. */
  private endPreviousIncarnation(lease: LeaseId): void {
    this.context.log('revoking lease of previous process', {});
    this.revoke(lease, () => this.waitFor(IMMEDIATE_RETRY_MS));
  }

  private leaseOfPreviousIncarnation({ node, incarnation, lease }: LeaderRecord): LeaseId | null {
    if (node !== this.context.settings.controller || incarnation === this.incarnation) return null;
    return LEASE_ID_PATTERN.test(lease) ? (BigInt(lease) as LeaseId) : null;
  }

  private watchLeaderKey(): void {
    const watch = { op: 'watch', prefix: LEADER_KEY, after: this.observedRevision, waitMs: WATCH_MS } as const;
    const options = { timeoutMs: WATCH_MS + WATCH_TIMEOUT_MARGIN_MS };
    this.context.stateStore.call(watch, ELECTION_PRIORITY, (result) => this.onWatchAnswered(result), options);
  }

  private onWatchAnswered(result: StateStoreResultOf<'watch'>): void {
    if (!result.ok) {
      this.waitFor(result.error.code === 'gone' ? IMMEDIATE_RETRY_MS : RETRY_MS);
      return;
    }
    this.observedRevision = result.value.revision;
    this.waitFor(result.value.events.length > 0 ? RETRY_AFTER_EVENT_MS : SHORT_RETRY_MS);
  }

  private observeRevision(revision: Revision | undefined): void {
    if (revision !== undefined && revision > this.observedRevision) this.observedRevision = revision;
  }

  private revoke(lease: LeaseId, onDone: () => void = () => {}): void {
    this.context.stateStore.call({ op: 'revoke', lease }, ELECTION_PRIORITY, onDone);
  }
}
