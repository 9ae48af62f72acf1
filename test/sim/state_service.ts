import type {
  Result,
  StateStoreOperation,
  StateStoreResponse,
  StoredEntry,
  WatchEvent,
} from '../../src/core/messages.js';
import { type LeaseId, type Revision, revision } from '../../src/core/types.js';
import type { Clock } from './clock.js';
import { RateLimit } from './rate_limit.js';

interface Lease {
  readonly ttlMs: number;
  endsAt: number;
  readonly keys: Set<string>;
}

type Transaction = Extract<StateStoreOperation, { op: 'txn' }>;
type Reply = (result: Result<StateStoreResponse>) => void;
const no = (why: 'refused' | 'conflict' | 'gone' | 'rejected'): Result<StateStoreResponse> => ({ ok: false, why });
const yes = (value: StateStoreResponse): Result<StateStoreResponse> => ({ ok: true, value });

const tellsOfJobs = (op: StateStoreOperation): boolean =>
  ((op.op === 'watch' || op.op === 'list') && op.prefix === 'j/') || (op.op === 'get' && op.key.startsWith('j/'));

/** Our stand-in for the state service, by its protocol: versions, leases, watches, outages, and refusals of one node. */
export class StateService {
  private rev = 100n;
  private leases = new Map<bigint, Lease>();
  private lastLease = 0n;
  private readonly items = new Map<string, { item: StoredEntry; lease: bigint | null }>();
  private events: WatchEvent[] = [];
  private watchers = new Set<() => void>();
  private down = false;
  private lateShare = 0;
  private callRate: RateLimit;
  private writeRate: RateLimit;
  /** Calls refused for coming too often. */
  throttled = 0;
  private slowness = 1;
  /** Transactions that were carried out late. */
  lateDone = 0;
  /** Called when a transaction is refused for its size. */
  onTooLarge: (from: string) => void = () => {};
  readonly refused = new Set<string>();
  /** Nodes that are told nothing of jobs. */
  readonly toldNothingOfJobs = new Set<string>();
  writes = 0;
  /** The longest value that was written, as text. */
  longest = 0;
  /** Called after a transaction that changed these keys. */
  onChanged: (keys: readonly string[]) => void = () => {};
  /** Called before an operation is carried out and once more before its answer leaves. */
  onOp: (from: string, op: StateStoreOperation, carriedOut: boolean) => void = () => {};

  constructor(
    private readonly clock: Clock,
    private limits: { txnOps: number; valueBytes: number },
  ) {
    this.callRate = new RateLimit(clock, Number.POSITIVE_INFINITY);
    this.writeRate = this.callRate;
  }

  outage(ms: number): void {
    this.down = true;
    this.clock.in(ms, () => {
      this.down = false;
      for (const lease of this.leases.values()) lease.endsAt = this.clock.now + lease.ttlMs;
      for (const watcher of [...this.watchers]) watcher();
    });
  }

  item(key: string): StoredEntry | null {
    return this.items.get(key)?.item ?? null;
  }

  keys(prefix: string): string[] {
    return [...this.items.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  /** For a while this share of transactions gets no answer and is carried out 2 to 12 s later, after newer ones. */
  lateWrites(share: number, ms: number): void {
    this.lateShare = share;
    this.clock.in(ms, () => {
      this.lateShare = 0;
    });
  }

  slow(factor: number, ms: number): void {
    this.slowness = factor;
    this.clock.in(ms, () => {
      this.slowness = 1;
    });
  }

  /** Lowers what it takes, as the real one does without notice. */
  lower(limits: { txnOps: number; valueBytes: number; rps: number; writeRps: number }): void {
    this.limits = limits;
    this.callRate = new RateLimit(this.clock, limits.rps);
    this.writeRate = new RateLimit(this.clock, limits.writeRps);
  }

  private withinRates(op: StateStoreOperation): boolean {
    const within = this.callRate.allows(1) && (op.op !== 'txn' || this.writeRate.allows(op.changes.length));
    if (!within) this.throttled += 1;
    return within;
  }

  private carryOutLate(op: StateStoreOperation): void {
    if (this.down) {
      this.clock.in(1000, () => this.carryOutLate(op));
      return;
    }
    this.lateDone += 1;
    this.run('late', op, () => {});
  }

  serve(from: string, op: StateStoreOperation, reply: Reply): void {
    const latency = this.clock.between(1, 6) * this.slowness;
    this.clock.in(latency, () => {
      if (this.down || this.refused.has(from)) return reply(no('refused'));
      if (!this.withinRates(op)) return reply({ ok: false, why: 'refused', throttled: true });
      if (this.toldNothingOfJobs.has(from) && tellsOfJobs(op)) return reply(no('refused'));
      if (this.lateShare > 0 && op.op === 'txn' && op.changes.length > 0) {
        if (this.clock.between(0, 1) < this.lateShare) {
          return this.clock.in(this.clock.between(2000, 12_000), () => this.carryOutLate(op));
        }
      }
      this.onOp(from, op, false);
      this.run(from, op, (result) => {
        this.onOp(from, op, true);
        reply(result);
      });
    });
  }

  private expire(): void {
    for (const [id, lease] of [...this.leases]) if (!this.down && this.clock.now > lease.endsAt) this.end(id);
  }

  private end(id: bigint): void {
    const lease = this.leases.get(id);
    if (!lease) return;
    this.leases.delete(id);
    if (lease.keys.size === 0) return;
    this.rev += 1n;
    for (const key of lease.keys) this.drop(key);
    this.notify();
  }

  private drop(key: string): void {
    const old = this.items.get(key);
    if (!old) return;
    if (old.lease !== null) this.leases.get(old.lease)?.keys.delete(key);
    this.items.delete(key);
    this.events.push({ drop: key, version: revision(this.rev) });
  }

  private notify(): void {
    for (const watcher of [...this.watchers]) watcher();
  }

  private run(from: string, op: StateStoreOperation, reply: Reply): void {
    this.expire();
    switch (op.op) {
      case 'get': {
        const found = this.items.get(op.key);
        reply(yes({ item: found ? found.item : null, revision: revision(this.rev) }));
        return;
      }
      case 'list': {
        const keys = this.keys(op.prefix).filter((key) => op.after === null || key > op.after);
        const items = keys.slice(0, op.limit).map((key) => this.items.get(key)?.item as StoredEntry);
        reply(yes({ items, more: keys.length > op.limit, revision: revision(this.rev) }));
        return;
      }
      case 'grant': {
        const id = ++this.lastLease;
        this.leases.set(id, { ttlMs: op.ttlMs, endsAt: this.clock.now + op.ttlMs, keys: new Set() });
        this.clock.in(op.ttlMs + 50, () => this.check());
        reply(yes({ lease: id as LeaseId }));
        return;
      }
      case 'renew': {
        const lease = this.leases.get(op.lease);
        if (!lease) {
          reply(no('gone'));
          return;
        }
        lease.endsAt = this.clock.now + lease.ttlMs;
        this.clock.in(lease.ttlMs + 50, () => this.check());
        reply(yes({}));
        return;
      }
      case 'revoke':
        this.end(op.lease);
        reply(yes({}));
        return;
      case 'txn':
        reply(this.txn(from, op));
        return;
      case 'watch':
        this.watch(from, op.prefix, op.after, op.waitMs, reply);
        return;
    }
  }

  private check(): void {
    if (!this.down) this.expire();
  }

  private txn(from: string, op: Transaction): Result<StateStoreResponse> {
    const tooMany = op.changes.length > this.limits.txnOps || op.conditions.length > 4 * this.limits.txnOps;
    const bytes = op.changes.map((change) => ('put' in change ? JSON.stringify(change.value).length : 0));
    const longest = Math.max(0, ...bytes);
    if (tooMany || longest > this.limits.valueBytes) {
      this.onTooLarge(from);
      return no('rejected');
    }
    const leases = op.changes.map((change) => ('put' in change ? change.lease : undefined));
    if (leases.some((lease) => lease !== undefined && !this.leases.has(lease))) return no('rejected');
    this.longest = Math.max(this.longest, longest);
    const failed = op.conditions.filter(({ key, version }) => (this.items.get(key)?.item.version ?? 0n) !== version);
    if (failed.length > 0) return { ok: false, why: 'conflict', keys: failed.map(({ key }) => key) };
    if (op.changes.length > 0) this.carryOut(op);
    return yes({ revision: revision(this.rev) });
  }

  private carryOut(op: Transaction): void {
    this.rev += 1n;
    this.writes += op.changes.length;
    for (const change of op.changes) {
      if ('drop' in change) this.drop(change.drop);
      else this.put(change.put, change.value, change.lease ?? null);
    }
    this.notify();
    this.onChanged(op.changes.map((change) => ('drop' in change ? change.drop : change.put)));
  }

  /** Changes a value as nobody in this world would. */
  overwrite(key: string, value: unknown): void {
    this.rev += 1n;
    this.put(key, value, null);
    this.notify();
  }

  private put(key: string, value: unknown, lease: LeaseId | null): void {
    const old = this.items.get(key);
    if (old && old.lease !== null) this.leases.get(old.lease)?.keys.delete(key);
    const version = revision(this.rev);
    this.items.set(key, { item: { key, value, version }, lease });
    if (lease !== null) this.leases.get(lease)?.keys.add(key);
    this.events.push({ put: key, value, version });
  }

  private watch(from: string, prefix: string, after: Revision, waitMs: number, reply: Reply): void {
    const news = (): WatchEvent[] => {
      let from = this.events.length;
      while (from > 0 && (this.events[from - 1] as WatchEvent).version > after) from -= 1;
      return this.events.slice(from).filter((event) => ('drop' in event ? event.drop : event.put).startsWith(prefix));
    };
    let open = true;
    const answer = (): void => {
      open = false;
      this.watchers.delete(look);
      reply(yes({ events: news(), revision: revision(this.rev) }));
    };
    const look = (): void => {
      if (open && !this.down && !this.refused.has(from) && news().length > 0) answer();
    };
    this.watchers.add(look);
    this.clock.in(waitMs, () => {
      // An open watch stays open during an outage.
      if (open && !this.down && !this.refused.has(from)) answer();
    });
    look();
  }
}
