// Stand-in for the state service: PROTOCOL-magpielift.md, "Controller nodes -> state service".
import { jsonBytes, serve, sleep } from './http.mjs';
import { Rate } from './rate.mjs';

const KEPT_CHANGES = 10_000;
const MAX_TRANSACTION_BYTES = 64 * 1024;
const MAX_LIST_BYTES = 512 * 1024;
const MAX_LIST_ITEMS = 1000;
const LATENCY_MS = 3;

export class StateService {
  molt = 1;
  keys = new Map();
  grants = new Map();
  changes = [];
  waiting = new Set();
  lastGrant = 0;

  constructor({ rps, write_rps, value_kb, txn_ops }) {
    this.limits = { value: value_kb * 1024, ops: txn_ops };
    this.requests = new Rate(rps, 1);
    this.writes = new Rate(write_rps, 1);
  }

  async start() {
    this.server = await serve(0, (method, url, body) => this.answer(method, url, body));
    this.port = this.server.address().port;
  }

  stop() {
    for (const { timer } of this.grants.values()) clearTimeout(timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** The name of the controller that holds the leader key, as the controllers of this project store it. */
  leader() {
    return this.keys.get('leader')?.data?.node ?? null;
  }

  async answer(method, url, body) {
    if (!this.requests.take()) return { status: 429, body: {} };
    await sleep(LATENCY_MS);
    const path = url.pathname;
    const query = url.searchParams;
    if (path === '/kv') return this.list(query);
    if (path.startsWith('/kv/')) return this.get(path.slice(4));
    if (path === '/multi' && method === 'POST') return this.transaction(body);
    if (path === '/grants' && method === 'POST') return this.grant(Number(body.life_ms));
    if (path === '/follow') return this.follow(query);
    const grant = /^\/grants\/(\d+)(\/renew)?$/.exec(path);
    if (grant && method === 'POST' && grant[2]) return this.renew(Number(grant[1]));
    if (grant && method === 'DELETE') return this.revoke(Number(grant[1]));
    return { status: 400, body: {} };
  }

  get(key) {
    const entry = this.keys.get(key);
    if (!entry) return { status: 404, body: { molt: this.molt } };
    return { status: 200, body: { k: key, data: entry.data, feather: entry.feather, tether: entry.tether ?? null } };
  }

  list(query) {
    const under = query.get('under') ?? '';
    const after = query.get('after');
    const most = Math.min(MAX_LIST_ITEMS, Number(query.get('most') ?? MAX_LIST_ITEMS));
    const found = this.sortedKeys().filter((key) => key.startsWith(under) && (after === null || key > after));
    const entries = [];
    let bytes = 0;
    for (const key of found) {
      const { data, feather } = this.keys.get(key);
      const entry = { k: key, data, feather };
      bytes += jsonBytes(entry);
      if (entries.length >= most || (entries.length > 0 && bytes > MAX_LIST_BYTES)) break;
      entries.push(entry);
    }
    return { status: 200, body: { entries, has_next: entries.length < found.length, molt: this.molt } };
  }

  sortedKeys() {
    if (this.sortedAt !== this.molt) this.sorted = [...this.keys.keys()].sort();
    this.sortedAt = this.molt;
    return this.sorted;
  }

  /** Puts values that were stored earlier, while no controller was there. */
  restore(entries) {
    this.molt += 1;
    for (const [key, data] of entries) this.keys.set(key, { data, feather: this.molt, tether: null });
  }

  transaction(body) {
    const conditions = body.if ?? [];
    const changes = body.then ?? [];
    if (changes.length > 0 && !this.writes.take(changes.length)) return { status: 429, body: {} };
    const tooLarge =
      changes.length > this.limits.ops ||
      conditions.length > 4 * this.limits.ops ||
      jsonBytes(body) > MAX_TRANSACTION_BYTES ||
      changes.some((change) => change.put !== undefined && jsonBytes(change.data) > this.limits.value);
    if (tooLarge) return { status: 400, body: { error: 'too large' } };
    const lost = changes.some((c) => c.tether !== undefined && c.tether !== null && !this.grants.has(Number(c.tether)));
    if (lost) return { status: 400, body: { error: 'no such lease' } };
    const failed = conditions.filter(({ k, feather }) => (this.keys.get(k)?.feather ?? 0) !== Number(feather));
    if (failed.length > 0) return { status: 409, body: { failed: failed.map(({ k }) => k), molt: this.molt } };
    if (changes.length === 0) return { status: 200, body: { molt: this.molt } };
    this.apply(changes);
    return { status: 200, body: { molt: this.molt } };
  }

  apply(changes) {
    this.molt += 1;
    for (const change of changes) {
      if (change.drop !== undefined) {
        if (this.keys.delete(change.drop)) this.changes.push({ drop: change.drop, feather: this.molt });
        continue;
      }
      const tether = change.tether === undefined || change.tether === null ? null : Number(change.tether);
      this.keys.set(change.put, { data: change.data, feather: this.molt, tether });
      this.changes.push({ put: change.put, data: change.data, feather: this.molt });
    }
    if (this.changes.length > KEPT_CHANGES) this.changes.splice(0, this.changes.length - KEPT_CHANGES);
    for (const wake of [...this.waiting]) wake();
  }

  grant(lifeMs) {
    if (!(lifeMs >= 100 && lifeMs <= 600_000)) return { status: 400, body: {} };
    this.lastGrant += 1;
    const id = this.lastGrant;
    this.grants.set(id, { lifeMs, timer: setTimeout(() => this.end(id), lifeMs) });
    return { status: 200, body: { tether: id } };
  }

  renew(id) {
    const grant = this.grants.get(id);
    if (!grant) return { status: 404, body: {} };
    clearTimeout(grant.timer);
    grant.timer = setTimeout(() => this.end(id), grant.lifeMs);
    return { status: 200, body: {} };
  }

  revoke(id) {
    const grant = this.grants.get(id);
    if (!grant) return { status: 404, body: {} };
    clearTimeout(grant.timer);
    this.end(id);
    return { status: 200, body: {} };
  }

  end(id) {
    this.grants.delete(id);
    const attached = [...this.keys].filter(([, { tether }]) => tether === id).map(([key]) => ({ drop: key }));
    if (attached.length > 0) this.apply(attached);
  }

  async follow(query) {
    const under = query.get('under') ?? '';
    const after = Number(query.get('after'));
    const end = performance.now() + Math.min(60_000, Number(query.get('wait_ms') ?? 0));
    for (;;) {
      const oldest = this.changes[0]?.feather ?? 0;
      if (this.changes.length >= KEPT_CHANGES && after < oldest - 1) return { status: 410, body: {} };
      const news = this.changes.filter((change) => change.feather > after && (change.put ?? change.drop).startsWith(under));
      const left = end - performance.now();
      if (news.length > 0 || left <= 0) return { status: 200, body: { molt: this.molt, news } };
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.waiting.add(wake);
      });
    }
  }
}
