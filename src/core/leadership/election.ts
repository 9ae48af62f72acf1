import type { Context } from '../context.js';
import { decodeLeader, LEADER_KEY, type LeaderRecord, TERM_KEY } from '../records.js';
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

/** The watch of the key is answered at least every 5 s while the state service is there. */
const HOLDER_FRESH_MS = 6500;

export interface Leadership {
  readonly token: Token;
  readonly term: number;
  readonly lease: LeaseId;
}

export interface ElectionCallbacks {
  onElected(leadership: Leadership): void;
  onLost(): void;
}

/**
 * One leader key on a state-service lease. Validity runs from when the last successful renewal was *sent*, on our own
 * clock, less drift and margin, and callers ask for it at the moment of use: timers are late on a starved core.
 */
export class Election {
  current: Leadership | null = null;
  /** Who holds the key, as last seen. */
  holder: LeaderRecord | null = null;
  private validUntil = 0 as Steady;
  private readonly ttlMs: number;
  private holderReadAt = Number.NEGATIVE_INFINITY as Steady;
  private seenRevision: Revision = ABSENT;
  private busy = false;
  private renewing = false;
  private notBefore = 0 as Steady;

  constructor(
    private readonly ctx: Context,
    private readonly incarnation: string,
    private readonly events: ElectionCallbacks,
  ) {
    this.ttlMs = leaderLeaseMs(ctx.settings, ctx.tuning);
  }

  /** True while no other node can hold the lead. */
  isValid(): boolean {
    return this.current !== null && this.ctx.now.steady < this.validUntil;
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

  /** Gives the lead away at once, and stays away from it for a while. */
  resign(why: string): void {
    const held = this.current;
    if (!held) return;
    this.ctx.log('info', 'resigning the lead', { why, token: held.token });
    this.loseLeadership();
    this.notBefore = steadyPlus(this.ctx.now.steady, this.ctx.tuning.leadership.backoff_ms);
    this.revoke(held.lease);
    this.retry(500);
  }

  private loseLeadership(): void {
    this.current = null;
    this.validUntil = 0 as Steady;
    this.ctx.timers.clear('renew');
    this.events.onLost();
  }

  private retry(ms: number): void {
    this.busy = false;
    this.ctx.timers.set('election', steadyPlus(this.ctx.now.steady, ms));
  }

  private revoke(lease: LeaseId): void {
    this.ctx.store({ op: 'revoke', lease }, 0, () => {});
  }

  private readLeaderKey(): void {
    this.busy = true;
    this.ctx.store({ op: 'get', key: LEADER_KEY }, 0, (result) => {
      if (!result.ok) return this.retry(300);
      this.holderReadAt = this.ctx.now.steady;
      const item = result.value.item ?? null;
      if (result.value.revision !== undefined && result.value.revision > this.seenRevision)
        this.seenRevision = result.value.revision;
      if (item === null) {
        this.holder = null;
        return this.prepareCandidacy();
      }
      if (item.version > this.seenRevision) this.seenRevision = item.version;
      this.holder = decodeLeader(item.value);
      if (
        this.holder &&
        this.holder.node === this.ctx.settings.node &&
        this.holder.incarnation !== this.incarnation &&
        /^\d+$/.test(this.holder.lease)
      ) {
        // Our own earlier process held it, and it can't run beside us: its lease can end now.
        this.ctx.log('info', 'ending the lease of this node’s earlier process', {});
        const lease = BigInt(this.holder.lease) as LeaseId;
        return this.ctx.store({ op: 'revoke', lease }, 0, () => this.retry(10));
      }
      this.watch();
    });
  }

  private watch(): void {
    const waitMs = 5000;
    this.ctx.store(
      { op: 'watch', prefix: LEADER_KEY, after: this.seenRevision, waitMs },
      0,
      (result) => {
        if (!result.ok) return this.retry(result.why === 'gone' ? 10 : 300);
        if (result.value.revision !== undefined) this.seenRevision = result.value.revision;
        this.retry(result.value.events?.length ? 1 : 50);
      },
      waitMs + 2000,
    );
  }

  private prepareCandidacy(): void {
    if (this.ctx.now.steady < this.notBefore) return this.retry(this.notBefore - this.ctx.now.steady);
    this.ctx.store({ op: 'get', key: TERM_KEY }, 0, (result) => {
      if (!result.ok) return this.retry(300);
      const item = result.value.item ?? null;
      const value = item?.value as { n?: unknown } | undefined;
      const term = Number(value?.n ?? 0) + 1;
      this.campaign(term, item ? item.version : ABSENT);
    });
  }

  private campaign(term: number, termVersion: Revision): void {
    let sentAt = this.ctx.now.steady;
    this.ctx.store(
      { op: 'grant', ttlMs: this.ttlMs },
      0,
      (result) => {
        const lease = result.ok ? result.value.lease : undefined;
        if (lease === undefined) return this.retry(300);
        const record: LeaderRecord = {
          node: this.ctx.settings.node,
          incarnation: this.incarnation,
          lease: String(lease),
          term,
        };
        this.ctx.store(
          {
            op: 'txn',
            conditions: [
              { key: LEADER_KEY, version: ABSENT },
              { key: TERM_KEY, version: termVersion },
            ],
            changes: [
              { put: LEADER_KEY, value: record, lease },
              { put: TERM_KEY, value: { n: term } },
            ],
          },
          0,
          (r) => {
            if (r.ok && r.value.revision !== undefined) return this.becomeLeader(r.value.revision, term, lease, sentAt);
            if (!r.ok && r.why === 'unknown') return this.readBack(term, lease, sentAt);
            this.revoke(lease);
            this.retry(50);
          },
        );
      },
      1500,
      3000,
      (at) => {
        sentAt = at;
      },
    );
  }

  /** The transaction may have been carried out: the key itself tells. */
  private readBack(term: number, lease: LeaseId, sentAt: Steady): void {
    this.ctx.store({ op: 'get', key: LEADER_KEY }, 0, (result) => {
      const item = result.ok ? (result.value.item ?? null) : null;
      const holder = item ? decodeLeader(item.value) : null;
      if (item && holder && holder.lease === String(lease) && holder.incarnation === this.incarnation) {
        return this.becomeLeader(item.version, term, lease, sentAt);
      }
      this.revoke(lease);
      this.retry(100);
    });
  }

  private becomeLeader(at: Revision, term: number, lease: LeaseId, sentAt: Steady): void {
    this.busy = false;
    this.renewing = false;
    this.seenRevision = at;
    this.current = { token: at as bigint as Token, term, lease };
    this.holder = { node: this.ctx.settings.node, incarnation: this.incarnation, lease: String(lease), term };
    this.extendValidity(sentAt);
    this.ctx.log('info', 'took the lead', { token: at, term });
    this.scheduleRenewal(this.ttlMs / 4);
    this.events.onElected(this.current);
  }

  private extendValidity(sentAt: Steady): void {
    const until = steadyPlus(sentAt, this.ttlMs * (1 - CLOCK_DRIFT) - this.ctx.tuning.leadership.margin_ms);
    if (until > this.validUntil) this.validUntil = until;
  }

  private scheduleRenewal(ms: number): void {
    this.ctx.timers.set('renew', steadyPlus(this.ctx.now.steady, ms));
  }

  renew(): void {
    const held = this.current;
    if (!held || this.renewing) return;
    this.renewing = true;
    let sentAt = this.ctx.now.steady;
    this.ctx.store(
      { op: 'renew', lease: held.lease },
      0,
      (result) => {
        this.renewing = false;
        if (this.current !== held) return;
        if (result.ok) {
          const lapsed = !this.isValid();
          this.extendValidity(sentAt);
          if (lapsed) this.ctx.log('info', 'the lease outlived the gap: leading on', { token: held.token });
          return this.scheduleRenewal(this.ttlMs / 4);
        }
        if (result.why === 'gone' || result.why === 'rejected') {
          this.ctx.log('info', 'the lease ended: no longer leading', { token: held.token });
          this.loseLeadership();
          return this.retry(10);
        }
        this.scheduleRenewal(200);
      },
      Math.min(1500, this.ttlMs / 3),
      3000,
      (at) => {
        sentAt = at;
      },
    );
  }
}

export const leaderCondition = (leadership: Leadership): { key: string; version: Revision } => ({
  key: LEADER_KEY,
  version: revision(leadership.token),
});
