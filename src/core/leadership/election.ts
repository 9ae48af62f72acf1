import { encodeTerm, nextTermRecord, type StartZonesRecordedSince, type TermRecord } from '../../recovery/index.js';
import { CLOCK_DRIFT, leaderLeaseMs } from '../lease_bounds.js';
import type { StateChange, StateStoreResult, StoredEntry, VersionCondition } from '../messages.js';
import { decodeLeader, encodeLeader, LEADER_KEY, type LeaderRecord, TERM_KEY } from '../records.js';
import type { StepContext } from '../step_context.js';
import {
  ABSENT_VERSION,
  addMilliseconds,
  type ControllerName,
  type FencingToken,
  type LeaseId,
  type MonotonicTime,
  type Revision,
  revision,
} from '../types.js';

const WATCH_MS = 5000;
const WATCH_TIMEOUT_MARGIN_MS = 2000;
/** The watch of the key is answered at least every 5 s while the state service is there. */
const LEADER_RECORD_MAX_AGE_MS = 6500;
const RETRY_MS = 300;
const SHORT_RETRY_MS = 50;
const IMMEDIATE_RETRY_MS = 10;
const RETRY_AFTER_EVENT_MS = 1;
const RETRY_AFTER_STEPPING_DOWN_MS = 500;
const RETRY_AFTER_FAILED_CONFIRMATION_MS = 100;
const RENEWALS_PER_LEASE = 4;
const RENEWAL_RETRY_MS = 200;
const MAX_RENEWAL_TIMEOUT_MS = 1500;
const RENEWAL_TIMEOUT_SHARE = 1 / 3;
/** Calls of the election pass any bucket of tokens (call_queue.ts). */
const ELECTION_PRIORITY = 0;
const LEASE_ID_PATTERN = /^\d+$/;

/** The lead as this node holds it. */
export interface Leadership {
  readonly fencingToken: FencingToken;
  readonly term: number;
  readonly leaseId: LeaseId;
  /** Since which term every leader has kept the zones in which jobs were started; null: this one doesn't. */
  readonly startZonesRecordedSince: StartZonesRecordedSince;
}

export interface ElectionCallbacks {
  onElected(leadership: Leadership): void;
  onLost(): void;
}

/** A lease that was granted for a candidacy, and when it was asked for. */
interface Candidacy {
  readonly term: TermRecord;
  readonly leaseId: LeaseId;
  readonly grantSentAt: MonotonicTime;
}

/**
 * One leader key on a lease of the state service. Validity runs from when the last successful renewal was *sent*, on this
 * node's clock, less drift and margin, and callers ask for it at the moment of use: timers are late on a starved core.
 */
export class Election {
  leadership: Leadership | null = null;
  /** When this node last took the lead, or began. */
  electedAt: MonotonicTime;
  /** Who holds the key, as last seen. */
  private leaderRecord: LeaderRecord | null = null;
  private leaderRecordReadAt = Number.NEGATIVE_INFINITY as MonotonicTime;
  private readonly ttlMs: number;
  private observedRevision: Revision = ABSENT_VERSION;
  /** Whether a call is under way that leads to the next. */
  private isCallInFlight = false;
  private isRenewalInFlight = false;
  private nextCandidacyAt = 0 as MonotonicTime;

  constructor(
    private readonly context: StepContext,
    private readonly incarnation: string,
    private readonly callbacks: ElectionCallbacks,
  ) {
    this.ttlMs = leaderLeaseMs(context.settings, context.tuning);
    this.electedAt = context.now.monotonic;
  }

  /** True while no other node can hold the lead. */
  isLeaseValid(): boolean {
    return this.leadership !== null && this.context.now.monotonic < this.context.leadershipValidUntil;
  }

  /** Whether what is known of the holder is fresh: the store answered the last time it was asked, not long ago. */
  isLeaderKnown(): boolean {
    return (
      this.leaderRecord !== null && this.context.now.monotonic - this.leaderRecordReadAt < LEADER_RECORD_MAX_AGE_MS
    );
  }

  leaderName(): ControllerName | null {
    return this.leaderRecord ? (this.leaderRecord.node as ControllerName) : null;
  }

  start(): void {
    this.readLeaderKey();
  }

  onTimer(): void {
    if (!this.isCallInFlight && !this.leadership) this.readLeaderKey();
  }

  /** Gives the lead away at once, and doesn't stand for it again for a while. */
  stepDown(why: string): void {
    const held = this.leadership;
    if (!held) return;
    this.context.log('info', 'resigning the lead', { why, token: held.fencingToken });
    this.loseLeadership();
    this.nextCandidacyAt = this.context.after(this.context.tuning.leadership.backoff_ms);
    this.revoke(held.leaseId);
    this.retryAfter(RETRY_AFTER_STEPPING_DOWN_MS);
  }

  private loseLeadership(): void {
    this.leadership = null;
    this.context.leadershipValidUntil = 0 as MonotonicTime;
    this.context.timers.clear('renew');
    this.callbacks.onLost();
  }

  private retryAfter(ms: number): void {
    this.isCallInFlight = false;
    this.context.timers.set('election', this.context.after(ms));
  }

  private revoke(lease: LeaseId, done: () => void = () => {}): void {
    this.context.callStateStore({ op: 'revoke', lease }, ELECTION_PRIORITY, done);
  }

  private observeRevision(seen: Revision | undefined): void {
    if (seen !== undefined && seen > this.observedRevision) this.observedRevision = seen;
  }

  private readLeaderKey(): void {
    this.isCallInFlight = true;
    this.context.callStateStore({ op: 'get', key: LEADER_KEY }, ELECTION_PRIORITY, (result) => {
      if (!result.ok) return this.retryAfter(RETRY_MS);
      this.leaderRecordReadAt = this.context.now.monotonic;
      this.observeRevision(result.value.revision);
      this.onLeaderKey(result.value.item ?? null);
    });
  }

  private onLeaderKey(item: StoredEntry | null): void {
    if (item === null) {
      this.leaderRecord = null;
      this.readTerm();
      return;
    }
    this.observeRevision(item.version);
    this.leaderRecord = decodeLeader(item.value);
    if (!this.leaderRecord) this.context.log('error', 'leader key not understood: left as it is', { key: LEADER_KEY });
    const own = this.leaderRecord && this.leaseOfPreviousIncarnation(this.leaderRecord);
    if (!own) {
      this.watchLeaderKey();
      return;
    }
    this.context.log('info', 'ending the lease of an earlier process of this node', {});
    this.revoke(own, () => this.retryAfter(IMMEDIATE_RETRY_MS));
  }

  /** An earlier process of this node can't run beside this one, so the lease that it left can end now. */
  private leaseOfPreviousIncarnation(holder: LeaderRecord): LeaseId | null {
    if (holder.node !== this.context.settings.controller || holder.incarnation === this.incarnation) return null;
    return LEASE_ID_PATTERN.test(holder.lease) ? (BigInt(holder.lease) as LeaseId) : null;
  }

  private watchLeaderKey(): void {
    const onResult = (result: StateStoreResult): void => {
      if (!result.ok) {
        this.retryAfter(result.error.code === 'gone' ? IMMEDIATE_RETRY_MS : RETRY_MS);
        return;
      }
      if (result.value.revision !== undefined) this.observedRevision = result.value.revision;
      this.retryAfter(result.value.events?.length ? RETRY_AFTER_EVENT_MS : SHORT_RETRY_MS);
    };
    this.context.callStateStore(
      { op: 'watch', prefix: LEADER_KEY, after: this.observedRevision, waitMs: WATCH_MS },
      ELECTION_PRIORITY,
      onResult,
      { timeoutMs: WATCH_MS + WATCH_TIMEOUT_MARGIN_MS },
    );
  }

  /** The key is free: reads the counter of terms, then stands for the lead. */
  private readTerm(): void {
    const waitMs = this.nextCandidacyAt - this.context.now.monotonic;
    if (waitMs > 0) {
      this.retryAfter(waitMs);
      return;
    }
    this.context.callStateStore({ op: 'get', key: TERM_KEY }, ELECTION_PRIORITY, (result) => {
      if (!result.ok) return this.retryAfter(RETRY_MS);
      const item = result.value.item ?? null;
      const { enabled, record_zones } = this.context.features.recovery;
      this.campaign(nextTermRecord(item?.value, enabled && record_zones), item ? item.version : ABSENT_VERSION);
    });
  }

  private campaign(term: TermRecord, termVersion: Revision): void {
    let grantSentAt = this.context.now.monotonic;
    const onResult = (result: StateStoreResult): void => {
      const leaseId = result.ok ? result.value.lease : undefined;
      if (leaseId === undefined) {
        this.retryAfter(RETRY_MS);
        return;
      }
      this.acquireLeaderKey({ term, leaseId, grantSentAt }, termVersion);
    };
    this.context.callStateStore({ op: 'grant', ttlMs: this.ttlMs }, ELECTION_PRIORITY, onResult, {
      onSend: (at) => {
        grantSentAt = at;
      },
    });
  }

  private acquireLeaderKey(candidacy: Candidacy, termVersion: Revision): void {
    const { term, leaseId } = candidacy;
    const conditions: VersionCondition[] = [
      { key: LEADER_KEY, version: ABSENT_VERSION },
      { key: TERM_KEY, version: termVersion },
    ];
    const changes: StateChange[] = [
      { put: LEADER_KEY, value: encodeLeader(this.ownLeaderRecord(candidacy)), lease: leaseId },
      { put: TERM_KEY, value: encodeTerm(term) },
    ];
    this.context.callStateStore({ op: 'compareAndSwap', conditions, changes }, ELECTION_PRIORITY, (result) => {
      if (result.ok && result.value.revision !== undefined) return this.becomeLeader(candidacy, result.value.revision);
      if (!result.ok && result.error.code === 'outcomeUnknown') return this.confirmAcquisition(candidacy);
      this.revoke(leaseId);
      this.retryAfter(SHORT_RETRY_MS);
    });
  }

  private ownLeaderRecord({ term, leaseId }: Candidacy): LeaderRecord {
    return {
      node: this.context.settings.controller,
      incarnation: this.incarnation,
      lease: String(leaseId),
      term: term.n,
    };
  }

  /** The transaction may have been carried out: the key itself tells. */
  private confirmAcquisition(candidacy: Candidacy): void {
    this.context.callStateStore({ op: 'get', key: LEADER_KEY }, ELECTION_PRIORITY, (result) => {
      const item = result.ok ? (result.value.item ?? null) : null;
      const holder = item ? decodeLeader(item.value) : null;
      const isOurs = holder?.lease === String(candidacy.leaseId) && holder.incarnation === this.incarnation;
      if (item && isOurs) return this.becomeLeader(candidacy, item.version);
      this.revoke(candidacy.leaseId);
      this.retryAfter(RETRY_AFTER_FAILED_CONFIRMATION_MS);
    });
  }

  private becomeLeader(candidacy: Candidacy, takenAt: Revision): void {
    const { term, leaseId } = candidacy;
    this.isCallInFlight = false;
    this.isRenewalInFlight = false;
    this.observedRevision = takenAt;
    this.electedAt = this.context.now.monotonic;
    this.leadership = {
      fencingToken: takenAt as bigint as FencingToken,
      term: term.n,
      leaseId,
      startZonesRecordedSince: term.zones ?? null,
    };
    this.leaderRecord = this.ownLeaderRecord(candidacy);
    this.extendValidity(candidacy.grantSentAt);
    this.context.log('info', 'took the lead', { token: takenAt, term: term.n });
    this.scheduleRenewal(this.ttlMs / RENEWALS_PER_LEASE);
    this.callbacks.onElected(this.leadership);
  }

  private extendValidity(sentAt: MonotonicTime): void {
    const until = addMilliseconds(sentAt, this.ttlMs * (1 - CLOCK_DRIFT) - this.context.tuning.leadership.margin_ms);
    if (until > this.context.leadershipValidUntil) this.context.leadershipValidUntil = until;
  }

  private scheduleRenewal(ms: number): void {
    this.context.timers.set('renew', this.context.after(ms));
  }

  renewLease(): void {
    const held = this.leadership;
    if (!held || this.isRenewalInFlight) return;
    this.isRenewalInFlight = true;
    let sentAt = this.context.now.monotonic;
    const onResult = (result: StateStoreResult): void => {
      this.isRenewalInFlight = false;
      if (this.leadership === held) this.onRenewal(held, result, sentAt);
    };
    this.context.callStateStore({ op: 'renew', lease: held.leaseId }, ELECTION_PRIORITY, onResult, {
      timeoutMs: Math.min(MAX_RENEWAL_TIMEOUT_MS, this.ttlMs * RENEWAL_TIMEOUT_SHARE),
      onSend: (at) => {
        sentAt = at;
      },
    });
  }

  private onRenewal(held: Leadership, result: StateStoreResult, sentAt: MonotonicTime): void {
    if (result.ok) {
      const hadLapsed = !this.isLeaseValid();
      this.extendValidity(sentAt);
      if (hadLapsed) this.context.log('info', 'the lease outlived the gap: leading on', { token: held.fencingToken });
      this.scheduleRenewal(this.ttlMs / RENEWALS_PER_LEASE);
      return;
    }
    if (result.error.code !== 'gone' && result.error.code !== 'invalidRequest') {
      this.scheduleRenewal(RENEWAL_RETRY_MS);
      return;
    }
    this.context.log('info', 'the lease ended: no longer leading', { token: held.fencingToken });
    this.loseLeadership();
    this.retryAfter(IMMEDIATE_RETRY_MS);
  }
}

/** The condition that makes a transaction of a leader change nothing once it has been deposed. */
export const leaderCondition = (leadership: Leadership): VersionCondition => ({
  key: LEADER_KEY,
  version: revision(leadership.fencingToken),
});
