/** A single attempt to become the leader: reads the term, requests a lease and acquires the leader key with it. */
import { encodeTerm, nextTermRecord, type TermRecord } from '../../recovery/index.js';
import type { StateChange, StateStoreResultOf, VersionCondition } from '../messages.js';
import { decodeLeader, encodeLeader, LEADER_KEY, type LeaderRecord, TERM_KEY } from '../records.js';
import type { StepContext } from '../step_context.js';
import { ABSENT_VERSION, type FencingToken, type LeaseId, type MonotonicTime, type Revision } from '../types.js';
import type { Leadership } from './leadership.js';

/** Priority of the election's calls to the state store. They are exempt from throttling (clients/call_queue.ts). */
export const ELECTION_PRIORITY = 0;

/** Outcome of a candidacy that acquired the leader key. */
export interface ElectionWon {
  readonly kind: 'won';
  readonly leadership: Leadership;
  readonly record: LeaderRecord;
  /** When the request for the lease was sent. The lease cannot have started earlier. */
  readonly grantSentAt: MonotonicTime;
}

export type CandidacyOutcome =
  | ElectionWon
  /** The state store did not respond, or did not grant a lease. */
  | { readonly kind: 'unavailable' }
  /** Another controller acquired the leader key first, or the transaction was refused. */
  | { readonly kind: 'lost' }
  /**
   * The outcome of the transaction was unknown, and a read of the leader key did not show this candidate as its holder.
   */
  | { readonly kind: 'notConfirmed' };

interface GrantedLease {
  readonly term: TermRecord;
  readonly leaseId: LeaseId;
  readonly grantSentAt: MonotonicTime;
}

export interface CandidacyInit {
  /** Distinguishes this process from previous processes of the same controller. */
  readonly incarnation: string;
  readonly leaseDurationMs: number;
}

/** Each instance runs once, and calls `onOutcome` exactly once. */
export class Candidacy {
  constructor(
    private readonly context: StepContext,
    private readonly init: CandidacyInit,
    private readonly onOutcome: (outcome: CandidacyOutcome) => void,
  ) {}

  /** Starts the attempt by reading the term. */
  start(): void {
    this.context.stateStore.call({ op: 'get', key: TERM_KEY }, ELECTION_PRIORITY, (result) => {
      if (!result.ok) return this.onOutcome({ kind: 'unavailable' });
      const { item } = result.value;
      const { enabled, record_zones } = this.context.features.recovery;
      const term = nextTermRecord(item?.value, enabled && record_zones);
      this.requestLease(term, item ? item.version : ABSENT_VERSION);
    });
  }

  private requestLease(term: TermRecord, termVersion: Revision): void {
    const onResult = (result: StateStoreResultOf<'grant'>, grantSentAt: MonotonicTime): void => {
      if (result.ok) this.acquireLeaderKey({ term, leaseId: result.value.lease, grantSentAt }, termVersion);
      else this.onOutcome({ kind: 'unavailable' });
    };
    this.context.stateStore.call({ op: 'grant', ttlMs: this.init.leaseDurationMs }, ELECTION_PRIORITY, onResult);
  }

  private acquireLeaderKey(lease: GrantedLease, termVersion: Revision): void {
    const { term, leaseId } = lease;
    const conditions: VersionCondition[] = [
      { key: LEADER_KEY, version: ABSENT_VERSION },
      { key: TERM_KEY, version: termVersion },
    ];
    const changes: StateChange[] = [
      { put: LEADER_KEY, value: encodeLeader(this.leaderRecord(lease)), lease: leaseId },
      { put: TERM_KEY, value: encodeTerm(term) },
    ];
    this.context.stateStore.call({ op: 'compareAndSwap', conditions, changes }, ELECTION_PRIORITY, (result) => {
      if (result.ok) this.win(lease, result.value.revision);
      else if (result.error.code === 'outcomeUnknown') this.confirmAcquisition(lease);
      else this.abandon(leaseId, { kind: 'lost' });
    });
  }

  /** Reads the leader key to find out whether a transaction with an unknown outcome was executed. */
  private confirmAcquisition(lease: GrantedLease): void {
    this.context.stateStore.call({ op: 'get', key: LEADER_KEY }, ELECTION_PRIORITY, (result) => {
      const item = result.ok ? result.value.item : null;
      const holder = item ? decodeLeader(item.value) : null;
      const isOwn = holder?.lease === String(lease.leaseId) && holder.incarnation === this.init.incarnation;
      if (item && isOwn) this.win(lease, item.version);
      else this.abandon(lease.leaseId, { kind: 'notConfirmed' });
    });
  }

  private win(lease: GrantedLease, acquiredAt: Revision): void {
    const { term, leaseId, grantSentAt } = lease;
    const leadership: Leadership = {
      fencingToken: acquiredAt as bigint as FencingToken,
      term: term.term,
      leaseId,
      startZonesRecordedSince: term.startZonesRecordedSince ?? null,
    };
    this.onOutcome({ kind: 'won', leadership, record: this.leaderRecord(lease), grantSentAt });
  }

  private abandon(lease: LeaseId, outcome: CandidacyOutcome): void {
    this.context.stateStore.call({ op: 'revoke', lease }, ELECTION_PRIORITY, () => {});
    this.onOutcome(outcome);
  }

  private leaderRecord({ term, leaseId }: GrantedLease): LeaderRecord {
    const { controller } = this.context.settings;
    return { node: controller, incarnation: this.init.incarnation, lease: String(leaseId), term: term.term };
  }
}
