import { encodeTerm, nextTermValue, type TermValue, type ZonesKeptSince } from '../../recovery/index.js';
import type { Context } from '../context.js';
import type { Change, Condition, Result, StoredItem, StoreValue } from '../messages.js';
import { decodeLeader, encodeLeader, LEADER_KEY, type LeaderRecord, TERM_KEY } from '../records.js';
import {
  ABSENT,
  type LeaseId,
  type NodeName,
  type Revision,
  revision,
  type Steady,
  steadyPlus,
  type Token,
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
  readonly token: Token;
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
  readonly grantSentAt: Steady;
}

/**
 * One leader key on a lease of the state service. Validity runs from when the last successful renewal was *sent*, on this
 * node's clock, less drift and margin, and callers ask for it at the moment of use: timers are late on a starved core.
 */
export class Election {
  current: Leadership | null = null;
  /** When this node last took the lead, or began. */
  electedAt: Steady;
  /** Who holds the key, as last seen. */
  private holder: LeaderRecord | null = null;
  private holderReadAt = Number.NEGATIVE_INFINITY as Steady;
  private readonly ttlMs: number;
  private seenRevision: Revision = ABSENT;
  /** Whether a call is under way that leads to the next. */
  private busy = false;
  private renewing = false;
  private notBefore = 0 as Steady;

  constructor(
    private readonly ctx: Context,
    private readonly incarnation: string,
    private readonly callbacks: ElectionCallbacks,
  ) {
    this.ttlMs = leaderLeaseMs(ctx.settings, ctx.tuning);
    this.electedAt = ctx.now.steady;
  }

  /** True while no other node can hold the lead. */
  isValid(): boolean {
    return this.current !== null && this.ctx.now.steady < this.ctx.leadershipValidUntil;
  }

  /** Whether what is known of the holder is fresh: the store answered the last time it was asked, not long ago. */
  knowsHolder(): boolean {
    return this.holder !== null && this.ctx.now.steady - this.holderReadAt < HOLDER_FRESH_MS;
  }

  holderName(): NodeName | null {
    return this.holder ? (this.holder.node as NodeName) : null;
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
    this.ctx.log('info', 'resigning the lead', { why, token: held.token });
    this.loseLeadership();
    this.notBefore = this.ctx.after(this.ctx.tuning.leadership.backoff_ms);
    this.revoke(held.lease);
    this.retry(RETRY_AFTER_RESIGNING_MS);
  }

  private loseLeadership(): void {
    this.current = null;
    this.ctx.leadershipValidUntil = 0 as Steady;
    this.ctx.timers.clear('renew');
    this.callbacks.onLost();
  }

  private retry(ms: number): void {
    this.busy = false;
    this.ctx.timers.set('election', this.ctx.after(ms));
  }

  private revoke(lease: LeaseId, done: () => void = () => {}): void {
    this.ctx.store({ op: 'revoke', lease }, PRIORITY, done);
  }

  private noteRevision(seen: Revision | undefined): void {
    if (seen !== undefined && seen > this.seenRevision) this.seenRevision = seen;
  }

  private readLeaderKey(): void {
    this.busy = true;
    this.ctx.store({ op: 'get', key: LEADER_KEY }, PRIORITY, (result) => {
      if (!result.ok) return this.retry(RETRY_MS);
      this.holderReadAt = this.ctx.now.steady;
      this.noteRevision(result.value.revision);
      this.onLeaderKey(result.value.item ?? null);
    });
  }

  private onLeaderKey(item: StoredItem | null): void {
    if (item === null) {
      this.holder = null;
      this.prepareCandidacy();
      return;
    }
    this.noteRevision(item.version);
    this.holder = decodeLeader(item.value);
    if (!this.holder) this.ctx.log('error', 'leader key not understood: left as it is', { key: LEADER_KEY });
    const own = this.holder && this.leaseOfEarlierProcess(this.holder);
    if (!own) {
      this.watchLeaderKey();
      return;
    }
    this.ctx.log('info', 'ending the lease of an earlier process of this node', {});
    this.revoke(own, () => this.retry(RETRY_AT_ONCE_MS));
  }

  /** An earlier process of this node can't run beside this one, so the lease that it left can end now. */
  private leaseOfEarlierProcess(holder: LeaderRecord): LeaseId | null {
    if (holder.node !== this.ctx.settings.node || holder.incarnation === this.incarnation) return null;
    return LEASE_ID.test(holder.lease) ? (BigInt(holder.lease) as LeaseId) : null;
  }

  private watchLeaderKey(): void {
    const onResult = (result: Result<StoreValue>): void => {
      if (!result.ok) {
        this.retry(result.why === 'gone' ? RETRY_AT_ONCE_MS : RETRY_MS);
        return;
      }
      if (result.value.revision !== undefined) this.seenRevision = result.value.revision;
      this.retry(result.value.events?.length ? RETRY_AFTER_NEWS_MS : RETRY_SOON_MS);
    };
    this.ctx.store(
      { op: 'watch', prefix: LEADER_KEY, after: this.seenRevision, waitMs: WATCH_MS },
      PRIORITY,
      onResult,
      { timeoutMs: WATCH_MS + WATCH_GRACE_MS },
    );
  }

  /** The key is free: reads the counter of terms, then stands for the lead. */
  private prepareCandidacy(): void {
    const waitMs = this.notBefore - this.ctx.now.steady;
    if (waitMs > 0) {
      this.retry(waitMs);
      return;
    }
    this.ctx.store({ op: 'get', key: TERM_KEY }, PRIORITY, (result) => {
      if (!result.ok) return this.retry(RETRY_MS);
      const item = result.value.item ?? null;
      const { enabled, record_zones } = this.ctx.features.recovery;
      this.campaign(nextTermValue(item?.value, enabled && record_zones), item ? item.version : ABSENT);
    });
  }

  private campaign(term: TermValue, termVersion: Revision): void {
    let grantSentAt = this.ctx.now.steady;
    const onResult = (result: Result<StoreValue>): void => {
      const lease = result.ok ? result.value.lease : undefined;
      if (lease === undefined) {
        this.retry(RETRY_MS);
        return;
      }
      this.takeLeaderKey({ term, lease, grantSentAt }, termVersion);
    };
    this.ctx.store({ op: 'grant', ttlMs: this.ttlMs }, PRIORITY, onResult, {
      onSend: (at) => {
        grantSentAt = at;
      },
    });
  }

  private takeLeaderKey(candidacy: Candidacy, termVersion: Revision): void {
    const { term, lease } = candidacy;
    const conditions: Condition[] = [
      { key: LEADER_KEY, version: ABSENT },
      { key: TERM_KEY, version: termVersion },
    ];
    const changes: Change[] = [
      { put: LEADER_KEY, value: encodeLeader(this.leaderRecord(candidacy)), lease },
      { put: TERM_KEY, value: encodeTerm(term) },
    ];
    this.ctx.store({ op: 'txn', conditions, changes }, PRIORITY, (result) => {
      if (result.ok && result.value.revision !== undefined) return this.becomeLeader(candidacy, result.value.revision);
      if (!result.ok && result.why === 'unknown') return this.readBack(candidacy);
      this.revoke(lease);
      this.retry(RETRY_SOON_MS);
    });
  }

  private leaderRecord({ term, lease }: Candidacy): LeaderRecord {
    return { node: this.ctx.settings.node, incarnation: this.incarnation, lease: String(lease), term: term.n };
  }

  /** The transaction may have been carried out: the key itself tells. */
  private readBack(candidacy: Candidacy): void {
    this.ctx.store({ op: 'get', key: LEADER_KEY }, PRIORITY, (result) => {
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
    this.electedAt = this.ctx.now.steady;
    this.current = { token: takenAt as bigint as Token, term: term.n, lease, zonesKeptSince: term.zones ?? null };
    this.holder = this.leaderRecord(candidacy);
    this.extendValidity(candidacy.grantSentAt);
    this.ctx.log('info', 'took the lead', { token: takenAt, term: term.n });
    this.scheduleRenewal(this.ttlMs / RENEWALS_A_LEASE);
    this.callbacks.onElected(this.current);
  }

  private extendValidity(sentAt: Steady): void {
    const until = steadyPlus(sentAt, this.ttlMs * (1 - CLOCK_DRIFT) - this.ctx.tuning.leadership.margin_ms);
    if (until > this.ctx.leadershipValidUntil) this.ctx.leadershipValidUntil = until;
  }

  private scheduleRenewal(ms: number): void {
    this.ctx.timers.set('renew', this.ctx.after(ms));
  }

  renew(): void {
    const held = this.current;
    if (!held || this.renewing) return;
    this.renewing = true;
    let sentAt = this.ctx.now.steady;
    const onResult = (result: Result<StoreValue>): void => {
      this.renewing = false;
      if (this.current === held) this.onRenewal(held, result, sentAt);
    };
    this.ctx.store({ op: 'renew', lease: held.lease }, PRIORITY, onResult, {
      timeoutMs: Math.min(MAX_RENEWAL_TIMEOUT_MS, this.ttlMs * RENEWAL_TIMEOUT_SHARE),
      onSend: (at) => {
        sentAt = at;
      },
    });
  }

  private onRenewal(held: Leadership, result: Result<StoreValue>, sentAt: Steady): void {
    if (result.ok) {
      const hadLapsed = !this.isValid();
      this.extendValidity(sentAt);
      if (hadLapsed) this.ctx.log('info', 'the lease outlived the gap: leading on', { token: held.token });
      this.scheduleRenewal(this.ttlMs / RENEWALS_A_LEASE);
      return;
    }
    if (result.why !== 'gone' && result.why !== 'rejected') {
      this.scheduleRenewal(RENEWAL_RETRY_MS);
      return;
    }
    this.ctx.log('info', 'the lease ended: no longer leading', { token: held.token });
    this.loseLeadership();
    this.retry(RETRY_AT_ONCE_MS);
  }
}

/** The condition that makes a transaction of a leader change nothing once it has been deposed. */
export const leaderCondition = (leadership: Leadership): Condition => ({
  key: LEADER_KEY,
  version: revision(leadership.token),
});
