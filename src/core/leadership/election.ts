import { encodeTerm, nextTermValue, type TermValue, type ZonesKeptSince } from '../../recovery/index.js';
import type { Result, StateChange, StateStoreResponse, StoredEntry, VersionCondition } from '../messages.js';
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
import { CLOCK_DRIFT, leaderLeaseMs } from './lease_bounds.js';

const WATCH_MS = 5000;
const WATCH_GRACE_MS = 2000;
/** The watch of the key is answered at least every 5 s while the state service is there. */
const HOLDER_FRESH_MS = 6500;
const RETRY_MS = 300;
const RETRY_SOON_MS = 50;
const RETRY_AT_ONCE_MS = 10;
const RETRY_AFTER_NEWS_MS = 1;
const RETRY_AFTER_RESIGNING_MS = 500;
const RETRY_AFTER_READ_BACK_MS = 100;
const RENEWALS_A_LEASE = 4;
const RENEWAL_RETRY_MS = 200;
const MAX_RENEWAL_TIMEOUT_MS = 1500;
const RENEWAL_TIMEOUT_SHARE = 1 / 3;
/** Calls of the election pass any bucket of tokens (call_queue.ts). */
const PRIORITY = 0;
const LEASE_ID = /^\d+$/;

/** The lead as this node holds it. */
export interface Leadership {
  readonly token: FencingToken;
  readonly term: number;
  readonly lease: LeaseId;
  /** Since which term every leader has kept the zones in which jobs were started; null: this one doesn't. */
  readonly zonesKeptSince: ZonesKeptSince;
}

export interface ElectionCallbacks {
  onElected(leadership: Leadership): void;
  onLost(): void;
}

/** A lease that was granted for a candidacy, and when it was asked for. */
interface Candidacy {
  readonly term: TermValue;
  readonly lease: LeaseId;
  readonly grantSentAt: MonotonicTime;
}

/**
 * One leader key on a lease of the state service. Validity runs from when the last successful renewal was *sent*, on this
 * node's clock, less drift and margin, and callers ask for it at the moment of use: timers are late on a starved core.
 */
export class Election {
  current: Leadership | null = null;
  /** When this node last took the lead, or began. */
  electedAt: MonotonicTime;
  /** Who holds the key, as last seen. */
  private holder: LeaderRecord | null = null;
  private holderReadAt = Number.NEGATIVE_INFINITY as MonotonicTime;
  private readonly ttlMs: number;
  private seenRevision: Revision = ABSENT_VERSION;
  /** Whether a call is under way that leads to the next. */
  private busy = false;
  private renewing = false;
  private notBefore = 0 as MonotonicTime;

  constructor(
    private readonly context: StepContext,
    private readonly incarnation: string,
    private readonly callbacks: ElectionCallbacks,
  ) {
    this.ttlMs = leaderLeaseMs(context.settings, context.tuning);
    this.electedAt = context.now.monotonic;
  }

  /** True while no other node can hold the lead. */
  isValid(): boolean {
    return this.current !== null && this.context.now.monotonic < this.context.leadershipValidUntil;
  }

  /** Whether what is known of the holder is fresh: the store answered the last time it was asked, not long ago. */
  knowsHolder(): boolean {
    return this.holder !== null && this.context.now.monotonic - this.holderReadAt < HOLDER_FRESH_MS;
  }

  holderName(): ControllerName | null {
    return this.holder ? (this.holder.node as ControllerName) : null;
  }

  start(): void {
    this.readLeaderKey();
  }

  onTimer(): void {
    if (!this.busy && !this.current) this.readLeaderKey();
  }

  /** Gives the lead away at once, and doesn't stand for it again for a while. */
  resign(why: string): void {
    const held = this.current;
    if (!held) return;
    this.context.log('info', 'resigning the lead', { why, token: held.token });
    this.loseLeadership();
    this.notBefore = this.context.after(this.context.tuning.leadership.backoff_ms);
    this.revoke(held.lease);
    this.retry(RETRY_AFTER_RESIGNING_MS);
  }

  private loseLeadership(): void {
    this.current = null;
    this.context.leadershipValidUntil = 0 as MonotonicTime;
    this.context.timers.clear('renew');
    this.callbacks.onLost();
  }

  private retry(ms: number): void {
    this.busy = false;
    this.context.timers.set('election', this.context.after(ms));
  }

  private revoke(lease: LeaseId, done: () => void = () => {}): void {
    this.context.callStateStore({ op: 'revoke', lease }, PRIORITY, done);
  }

  private noteRevision(seen: Revision | undefined): void {
    if (seen !== undefined && seen > this.seenRevision) this.seenRevision = seen;
  }

  private readLeaderKey(): void {
    this.busy = true;
    this.context.callStateStore({ op: 'get', key: LEADER_KEY }, PRIORITY, (result) => {
      if (!result.ok) return this.retry(RETRY_MS);
      this.holderReadAt = this.context.now.monotonic;
      this.noteRevision(result.value.revision);
      this.onLeaderKey(result.value.item ?? null);
    });
  }

  private onLeaderKey(item: StoredEntry | null): void {
    if (item === null) {
      this.holder = null;
      this.prepareCandidacy();
      return;
    }
    this.noteRevision(item.version);
    this.holder = decodeLeader(item.value);
    if (!this.holder) this.context.log('error', 'leader key not understood: left as it is', { key: LEADER_KEY });
    const own = this.holder && this.leaseOfEarlierProcess(this.holder);
    if (!own) {
      this.watchLeaderKey();
      return;
    }
    this.context.log('info', 'ending the lease of an earlier process of this node', {});
    this.revoke(own, () => this.retry(RETRY_AT_ONCE_MS));
  }

  /** An earlier process of this node can't run beside this one, so the lease that it left can end now. */
  private leaseOfEarlierProcess(holder: LeaderRecord): LeaseId | null {
    if (holder.node !== this.context.settings.controller || holder.incarnation === this.incarnation) return null;
    return LEASE_ID.test(holder.lease) ? (BigInt(holder.lease) as LeaseId) : null;
  }

  private watchLeaderKey(): void {
    const onResult = (result: Result<StateStoreResponse>): void => {
      if (!result.ok) {
        this.retry(result.why === 'gone' ? RETRY_AT_ONCE_MS : RETRY_MS);
        return;
      }
      if (result.value.revision !== undefined) this.seenRevision = result.value.revision;
      this.retry(result.value.events?.length ? RETRY_AFTER_NEWS_MS : RETRY_SOON_MS);
    };
    this.context.callStateStore(
      { op: 'watch', prefix: LEADER_KEY, after: this.seenRevision, waitMs: WATCH_MS },
      PRIORITY,
      onResult,
      { timeoutMs: WATCH_MS + WATCH_GRACE_MS },
    );
  }

  /** The key is free: reads the counter of terms, then stands for the lead. */
  private prepareCandidacy(): void {
    const waitMs = this.notBefore - this.context.now.monotonic;
    if (waitMs > 0) {
      this.retry(waitMs);
      return;
    }
    this.context.callStateStore({ op: 'get', key: TERM_KEY }, PRIORITY, (result) => {
      if (!result.ok) return this.retry(RETRY_MS);
      const item = result.value.item ?? null;
      const { enabled, record_zones } = this.context.features.recovery;
      this.campaign(nextTermValue(item?.value, enabled && record_zones), item ? item.version : ABSENT_VERSION);
    });
  }

  private campaign(term: TermValue, termVersion: Revision): void {
    let grantSentAt = this.context.now.monotonic;
    const onResult = (result: Result<StateStoreResponse>): void => {
      const lease = result.ok ? result.value.lease : undefined;
      if (lease === undefined) {
        this.retry(RETRY_MS);
        return;
      }
      this.takeLeaderKey({ term, lease, grantSentAt }, termVersion);
    };
    this.context.callStateStore({ op: 'grant', ttlMs: this.ttlMs }, PRIORITY, onResult, {
      onSend: (at) => {
        grantSentAt = at;
      },
    });
  }

  private takeLeaderKey(candidacy: Candidacy, termVersion: Revision): void {
    const { term, lease } = candidacy;
    const conditions: VersionCondition[] = [
      { key: LEADER_KEY, version: ABSENT_VERSION },
      { key: TERM_KEY, version: termVersion },
    ];
    const changes: StateChange[] = [
      { put: LEADER_KEY, value: encodeLeader(this.leaderRecord(candidacy)), lease },
      { put: TERM_KEY, value: encodeTerm(term) },
    ];
    this.context.callStateStore({ op: 'txn', conditions, changes }, PRIORITY, (result) => {
      if (result.ok && result.value.revision !== undefined) return this.becomeLeader(candidacy, result.value.revision);
      if (!result.ok && result.why === 'unknown') return this.readBack(candidacy);
      this.revoke(lease);
      this.retry(RETRY_SOON_MS);
    });
  }

  private leaderRecord({ term, lease }: Candidacy): LeaderRecord {
    return {
      node: this.context.settings.controller,
      incarnation: this.incarnation,
      lease: String(lease),
      term: term.n,
    };
  }

  /** The transaction may have been carried out: the key itself tells. */
  private readBack(candidacy: Candidacy): void {
    this.context.callStateStore({ op: 'get', key: LEADER_KEY }, PRIORITY, (result) => {
      const item = result.ok ? (result.value.item ?? null) : null;
      const holder = item ? decodeLeader(item.value) : null;
      const isOurs = holder?.lease === String(candidacy.lease) && holder.incarnation === this.incarnation;
      if (item && isOurs) return this.becomeLeader(candidacy, item.version);
      this.revoke(candidacy.lease);
      this.retry(RETRY_AFTER_READ_BACK_MS);
    });
  }

  private becomeLeader(candidacy: Candidacy, takenAt: Revision): void {
    const { term, lease } = candidacy;
    this.busy = false;
    this.renewing = false;
    this.seenRevision = takenAt;
    this.electedAt = this.context.now.monotonic;
    this.current = {
      token: takenAt as bigint as FencingToken,
      term: term.n,
      lease,
      zonesKeptSince: term.zones ?? null,
    };
    this.holder = this.leaderRecord(candidacy);
    this.extendValidity(candidacy.grantSentAt);
    this.context.log('info', 'took the lead', { token: takenAt, term: term.n });
    this.scheduleRenewal(this.ttlMs / RENEWALS_A_LEASE);
    this.callbacks.onElected(this.current);
  }

  private extendValidity(sentAt: MonotonicTime): void {
    const until = addMilliseconds(sentAt, this.ttlMs * (1 - CLOCK_DRIFT) - this.context.tuning.leadership.margin_ms);
    if (until > this.context.leadershipValidUntil) this.context.leadershipValidUntil = until;
  }

  private scheduleRenewal(ms: number): void {
    this.context.timers.set('renew', this.context.after(ms));
  }

  renew(): void {
    const held = this.current;
    if (!held || this.renewing) return;
    this.renewing = true;
    let sentAt = this.context.now.monotonic;
    const onResult = (result: Result<StateStoreResponse>): void => {
      this.renewing = false;
      if (this.current === held) this.onRenewal(held, result, sentAt);
    };
    this.context.callStateStore({ op: 'renew', lease: held.lease }, PRIORITY, onResult, {
      timeoutMs: Math.min(MAX_RENEWAL_TIMEOUT_MS, this.ttlMs * RENEWAL_TIMEOUT_SHARE),
      onSend: (at) => {
        sentAt = at;
      },
    });
  }

  private onRenewal(held: Leadership, result: Result<StateStoreResponse>, sentAt: MonotonicTime): void {
    if (result.ok) {
      const hadLapsed = !this.isValid();
      this.extendValidity(sentAt);
      if (hadLapsed) this.context.log('info', 'the lease outlived the gap: leading on', { token: held.token });
      this.scheduleRenewal(this.ttlMs / RENEWALS_A_LEASE);
      return;
    }
    if (result.why !== 'gone' && result.why !== 'rejected') {
      this.scheduleRenewal(RENEWAL_RETRY_MS);
      return;
    }
    this.context.log('info', 'the lease ended: no longer leading', { token: held.token });
    this.loseLeadership();
    this.retry(RETRY_AT_ONCE_MS);
  }
}

/** The condition that makes a transaction of a leader change nothing once it has been deposed. */
export const leaderCondition = (leadership: Leadership): VersionCondition => ({
  key: LEADER_KEY,
  version: revision(leadership.token),
});
