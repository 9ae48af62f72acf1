/** A simulated state store with the faults that scenarios inject into it. */
import type {
  StateStoreOperation,
  StateStoreResponse,
  StateStoreResult,
  StoredEntry,
  WatchEvent,
} from '../../src/core/messages.js';
import { type LeaseId, type Revision, revision } from '../../src/core/types.js';
import type { Clock } from './clock.js';
import { RateLimiter } from './rate_limiter.js';

/** A lease and the keys attached to it; times in milliseconds. */
interface Lease {
  readonly ttlMs: number;
  endsAt: number;
  readonly keys: Set<string>;
}

type Transaction = Extract<StateStoreOperation, { op: 'compareAndSwap' }>;
type Reply = (result: StateStoreResult) => void;
const failure = (code: 'unavailable' | 'gone' | 'invalidRequest'): StateStoreResult => ({ ok: false, error: { code } });
const success = (value: StateStoreResponse): StateStoreResult => ({ ok: true, value });

/** Returns whether an operation reads job records. */
const readsJobs = (op: StateStoreOperation): boolean =>
  ((op.op === 'watch' || op.op === 'list') && op.prefix === 'j/') || (op.op === 'get' && op.key.startsWith('j/'));

/** Maximum size of a transaction in bytes of its JSON form. */
const MAX_TRANSACTION_BYTES = 64 * 1024;

/** Returns the size of a value in bytes of its JSON form. */
const jsonBytes = (value: unknown): number =>
  Buffer.byteLength(JSON.stringify(value, (_, field) => (typeof field === 'bigint' ? Number(field) : field)));

/** Delay between the end of a lease and the check that deletes its keys, in milliseconds. */
const EXPIRY_CHECK_DELAY_MS = 50;

/**
 * Implements the state store's protocol: revisions, compare-and-swap transactions, leases and watches. It also
 * simulates outages, slow calls, delayed writes, and refusals of single controllers' calls.
 */
export class SimulatedStateStore {
  private currentRevision = 100n;
  private leases = new Map<bigint, Lease>();
  private lastLeaseId = 0n;
  private readonly items = new Map<string, { item: StoredEntry; lease: bigint | null }>();
  private events: WatchEvent[] = [];
  private watchers = new Set<() => void>();
  private isDown = false;
  private delayedWriteShare = 0;
  private callRate: RateLimiter;
  private writeRate: RateLimiter;
  /** The number of calls refused because a rate limit was exceeded. */
  throttledCalls = 0;
  private latencyFactor = 1;
  /** The number of transactions that were applied with a delay. */
  delayedWritesApplied = 0;
  /** Called with the sender when a transaction is refused as invalid because of its size. */
  onOversizedTransaction: (from: string) => void = () => {};
  /**
   * Controllers whose calls are all refused as unavailable. Watches that they opened before get no response meanwhile.
   */
  readonly refusedHosts = new Set<string>();
  /** Controllers whose reads and watches of job records are refused as unavailable. */
  readonly jobReadsRefusedFor = new Set<string>();
  /** The number of keys that transactions wrote or deleted. */
  changesApplied = 0;
  /** The size of the longest value in the transactions within the limits, in bytes of its JSON form. */
  largestValueLength = 0;
  /** Called after a transaction with the keys that it changed. */
  onChanged: (keys: readonly string[]) => void = () => {};
  /** Called before an operation is executed, and again with `executed` set before its response is sent. */
  onOperation: (from: string, op: StateStoreOperation, executed: boolean) => void = () => {};

  constructor(
    private readonly clock: Clock,
    private limits: { maxChangesPerTransaction: number; maxValueBytes: number },
  ) {
    this.callRate = new RateLimiter(clock, Number.POSITIVE_INFINITY);
    this.writeRate = this.callRate;
  }

  /**
   * Refuses every call for `ms` milliseconds. Leases don't expire in that time, and have their whole duration after it.
   */
  outage(ms: number): void {
    this.isDown = true;
    this.clock.schedule(ms, () => {
      this.isDown = false;
      for (const lease of this.leases.values()) lease.endsAt = this.clock.now + lease.ttlMs;
      for (const watcher of [...this.watchers]) watcher();
    });
  }

  /** The stored entry of a key; null if there is none. */
  item(key: string): StoredEntry | null {
    return this.items.get(key)?.item ?? null;
  }

  /** The stored keys that begin with `prefix`, in order. */
  keys(prefix: string): string[] {
    return [...this.items.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  /**
   * For `ms` milliseconds, this share of transactions gets no response and is applied 2 to 12 s later, after newer
   * ones.
   */
  delayWrites(share: number, ms: number): void {
    this.delayedWriteShare = share;
    this.clock.schedule(ms, () => {
      this.delayedWriteShare = 0;
    });
  }

  /** Multiplies the latency of every call by `factor` for `ms` milliseconds. */
  slowDown(factor: number, ms: number): void {
    this.latencyFactor = factor;
    this.clock.schedule(ms, () => {
      this.latencyFactor = 1;
    });
  }

  /** Lowers the limits from now on. The real state store also does that without notice. */
  lowerLimits(limits: {
    maxChangesPerTransaction: number;
    maxValueBytes: number;
    requestsPerSecond: number;
    writesPerSecond: number;
  }): void {
    this.limits = limits;
    this.callRate = new RateLimiter(this.clock, limits.requestsPerSecond);
    this.writeRate = new RateLimiter(this.clock, limits.writesPerSecond);
  }

  private takeFromRateLimits(op: StateStoreOperation): boolean {
    const within =
      this.callRate.tryTake(1) && (op.op !== 'compareAndSwap' || this.writeRate.tryTake(op.changes.length));
    if (!within) this.throttledCalls += 1;
    return within;
  }

  private applyDelayedWrite(op: StateStoreOperation): void {
    if (this.isDown) {
      this.clock.schedule(1000, () => this.applyDelayedWrite(op));
      return;
    }
    this.delayedWritesApplied += 1;
    this.execute('late', op, () => {});
  }

  /** Executes a call after a random latency; faults may refuse or delay it, or suppress its response. */
  serve(from: string, op: StateStoreOperation, reply: Reply): void {
    const latency = this.clock.randomBetween(1, 6) * this.latencyFactor;
    this.clock.schedule(latency, () => {
      if (this.isDown || this.refusedHosts.has(from)) return reply(failure('unavailable'));
      if (!this.takeFromRateLimits(op)) return reply({ ok: false, error: { code: 'throttled' } });
      if (this.jobReadsRefusedFor.has(from) && readsJobs(op)) return reply(failure('unavailable'));
      if (this.delayedWriteShare > 0 && op.op === 'compareAndSwap' && op.changes.length > 0) {
        if (this.clock.randomBetween(0, 1) < this.delayedWriteShare) {
          return this.clock.schedule(this.clock.randomBetween(2000, 12_000), () => this.applyDelayedWrite(op));
        }
      }
      this.onOperation(from, op, false);
      this.execute(from, op, (result) => {
        this.onOperation(from, op, true);
        reply(result);
      });
    });
  }

  private expireLeases(): void {
    for (const [id, lease] of [...this.leases]) if (!this.isDown && this.clock.now > lease.endsAt) this.endLease(id);
  }

  private endLease(id: bigint): void {
    const lease = this.leases.get(id);
    if (!lease) return;
    this.leases.delete(id);
    if (lease.keys.size === 0) return;
    this.currentRevision += 1n;
    for (const key of lease.keys) this.drop(key);
    this.notifyWatchers();
  }

  private drop(key: string): void {
    const old = this.items.get(key);
    if (!old) return;
    if (old.lease !== null) this.leases.get(old.lease)?.keys.delete(key);
    this.items.delete(key);
    this.events.push({ drop: key, version: revision(this.currentRevision) });
  }

  private notifyWatchers(): void {
    for (const watcher of [...this.watchers]) watcher();
  }

  private execute(from: string, op: StateStoreOperation, reply: Reply): void {
    this.expireLeases();
    switch (op.op) {
      case 'get': {
        const found = this.items.get(op.key);
        reply(success({ item: found ? found.item : null, revision: revision(this.currentRevision) }));
        return;
      }
      case 'list':
        reply(this.list(op.prefix, op.after, op.limit));
        return;
      case 'grant':
        reply(this.grant(op.ttlMs));
        return;
      case 'renew':
        reply(this.renew(op.lease));
        return;
      case 'revoke':
        this.endLease(op.lease);
        reply(success({}));
        return;
      case 'compareAndSwap':
        reply(this.transact(from, op));
        return;
      case 'watch':
        this.watch(from, op.prefix, op.after, op.waitMs, reply);
        return;
    }
  }

  private list(prefix: string, after: string | null, limit: number): StateStoreResult {
    const keys = this.keys(prefix).filter((key) => after === null || key > after);
    const items = keys.slice(0, limit).map((key) => this.items.get(key)?.item as StoredEntry);
    return success({ items, more: keys.length > limit, revision: revision(this.currentRevision) });
  }

  private grant(ttlMs: number): StateStoreResult {
    const id = ++this.lastLeaseId;
    this.leases.set(id, { ttlMs, endsAt: this.clock.now + ttlMs, keys: new Set() });
    this.clock.schedule(ttlMs + EXPIRY_CHECK_DELAY_MS, () => this.expireLeasesIfUp());
    return success({ lease: id as LeaseId });
  }

  private renew(id: LeaseId): StateStoreResult {
    const lease = this.leases.get(id);
    if (!lease) return failure('gone');
    lease.endsAt = this.clock.now + lease.ttlMs;
    this.clock.schedule(lease.ttlMs + EXPIRY_CHECK_DELAY_MS, () => this.expireLeasesIfUp());
    return success({});
  }

  private expireLeasesIfUp(): void {
    if (!this.isDown) this.expireLeases();
  }

  private transact(from: string, op: Transaction): StateStoreResult {
    const tooMany =
      op.changes.length > this.limits.maxChangesPerTransaction ||
      op.conditions.length > 4 * this.limits.maxChangesPerTransaction;
    const valueLengths = op.changes.map((change) => ('put' in change ? jsonBytes(change.value) : 0));
    const longestValue = Math.max(0, ...valueLengths);
    if (tooMany || longestValue > this.limits.maxValueBytes || jsonBytes(op) > MAX_TRANSACTION_BYTES) {
      this.onOversizedTransaction(from);
      return failure('invalidRequest');
    }
    const leases = op.changes.map((change) => ('put' in change ? change.lease : undefined));
    if (leases.some((lease) => lease !== undefined && !this.leases.has(lease))) return failure('invalidRequest');
    this.largestValueLength = Math.max(this.largestValueLength, longestValue);
    const failedConditions = op.conditions.filter(
      ({ key, version }) => (this.items.get(key)?.item.version ?? 0n) !== version,
    );
    if (failedConditions.length > 0)
      return { ok: false, error: { code: 'conflict', keys: failedConditions.map(({ key }) => key) } };
    if (op.changes.length > 0) this.applyChanges(op);
    return success({ revision: revision(this.currentRevision) });
  }

  private applyChanges(op: Transaction): void {
    this.currentRevision += 1n;
    this.changesApplied += op.changes.length;
    for (const change of op.changes) {
      if ('drop' in change) this.drop(change.drop);
      else this.put(change.put, change.value, change.lease ?? null);
    }
    this.notifyWatchers();
    this.onChanged(op.changes.map((change) => ('drop' in change ? change.drop : change.put)));
  }

  /** Writes a value outside any transaction, for scenarios that corrupt, restore or inject records. */
  overwrite(key: string, value: unknown): void {
    this.currentRevision += 1n;
    this.put(key, value, null);
    this.notifyWatchers();
  }

  private put(key: string, value: unknown, lease: LeaseId | null): void {
    const old = this.items.get(key);
    if (old && old.lease !== null) this.leases.get(old.lease)?.keys.delete(key);
    const version = revision(this.currentRevision);
    this.items.set(key, { item: { key, value, version }, lease });
    if (lease !== null) this.leases.get(lease)?.keys.add(key);
    this.events.push({ put: key, value, version });
  }

  private watch(from: string, prefix: string, after: Revision, waitMs: number, reply: Reply): void {
    const newEvents = (): WatchEvent[] => {
      let from = this.events.length;
      while (from > 0 && (this.events[from - 1] as WatchEvent).version > after) from -= 1;
      return this.events.slice(from).filter((event) => ('drop' in event ? event.drop : event.put).startsWith(prefix));
    };
    let isOpen = true;
    const respond = (): void => {
      isOpen = false;
      this.watchers.delete(respondIfChanged);
      reply(success({ events: newEvents(), revision: revision(this.currentRevision) }));
    };
    const respondIfChanged = (): void => {
      if (isOpen && !this.isDown && !this.refusedHosts.has(from) && newEvents().length > 0) respond();
    };
    this.watchers.add(respondIfChanged);
    this.clock.schedule(waitMs, () => {
      // A watch whose wait ends during an outage stays open until it has a change to return.
      if (isOpen && !this.isDown && !this.refusedHosts.has(from)) respond();
    });
    respondIfChanged();
  }
}
