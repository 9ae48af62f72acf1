/** Stand-in for the state service, after the section "Controller nodes -> state service" of the protocol page. */
import { serve } from './wire.mjs';

const KEPT_CHANGES = 10_000;
const PAGE_ITEMS = 1000;
const PAGE_BYTES = 512 * 1024;
const jsonBytes = (value) => Buffer.byteLength(JSON.stringify(value, (_, v) => (typeof v === 'bigint' ? Number(v) : v)));

class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.available = rate;
    this.at = performance.now();
  }
  take(count) {
    const now = performance.now();
    this.available = Math.min(this.rate, this.available + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.available < count) return false;
    this.available -= count;
    return true;
  }
}

export class StateService {
  constructor({ rps, writeRps, valueKb, txnOps }) {
    this.limits = { valueBytes: valueKb * 1024, txnOps };
    this.requests = new Bucket(rps);
    this.writes = new Bucket(writeRps);
    this.kv = new Map();
    this.sorted = null;
    this.molt = 1;
    this.changes = [];
    this.leases = new Map();
    this.nextLease = 1;
    this.watches = new Set();
    this.outage = false;
    /** `fault(node, request)` returns null, `{ status }` to refuse, 'silent', `{ delayMs }` or `{ loseAnswer: true }`. */
    this.fault = () => null;
    this.onChange = () => {};
    this.timer = setInterval(() => this.endLeases(), 20);
    this.servers = [];
  }

  /** Opens one address for each controller, so that a trouble can concern a single one. Returns its port. */
  async open(node) {
    const server = await serve((request) => this.handle(node, request));
    this.servers.push(server);
    return server.port;
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) server.close();
  }

  setOutage(on) {
    this.outage = on;
    if (on) return;
    for (const lease of this.leases.values()) lease.endsAt = performance.now() + lease.lifeMs;
    this.wakeWatches();
  }

  endLeases() {
    if (this.outage) return;
    const now = performance.now();
    for (const [id, lease] of this.leases) if (lease.endsAt + 30 <= now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.kv].filter(([, entry]) => entry.tether === id).map(([key]) => key);
    if (keys.length > 0) this.apply(keys.map((key) => ({ drop: key })));
  }

  apply(changes) {
    this.molt += 1;
    for (const change of changes) {
      if (change.drop !== undefined) {
        if (this.kv.delete(change.drop)) this.sorted = null;
        this.record({ drop: change.drop, feather: this.molt });
      } else {
        if (!this.kv.has(change.put)) this.sorted = null;
        const tether = change.tether === undefined || change.tether === null ? null : Number(change.tether);
        this.kv.set(change.put, { data: change.data, feather: this.molt, tether });
        this.record({ put: change.put, data: change.data, feather: this.molt });
      }
    }
    this.onChange(changes, this.molt);
    this.wakeWatches();
    return this.molt;
  }

  record(event) {
    this.changes.push(event);
    if (this.changes.length > KEPT_CHANGES) this.changes.shift();
  }

  wakeWatches() {
    for (const watch of [...this.watches]) watch.check();
  }

  async handle(node, request) {
    const fault = this.fault(node, request);
    const isWatch = request.path === '/follow';
    if (fault === 'silent') return null;
    if (fault?.delayMs) await new Promise((resolve) => setTimeout(resolve, fault.delayMs));
    if (this.outage || fault?.status === 503) return { status: 503, body: { error: 'trouble' } };
    if (!this.requests.take(1)) return { status: 429, body: { error: 'too many requests' } };
    const answer = isWatch ? await this.follow(request.query, node) : this.execute(request);
    return fault?.loseAnswer ? null : answer;
  }

  execute({ method, path, query, body }) {
    if (method === 'GET' && path === '/kv') return this.list(query);
    if (method === 'GET' && path.startsWith('/kv/')) {
      const key = path.slice('/kv/'.length);
      const entry = this.kv.get(key);
      if (!entry) return { status: 404, body: { molt: this.molt } };
      return { status: 200, body: { k: key, data: entry.data, feather: entry.feather, tether: entry.tether } };
    }
    if (method === 'POST' && path === '/multi') return this.multi(body);
    if (method === 'POST' && path === '/grants') {
      const id = this.nextLease++;
      const lifeMs = Number(body.life_ms);
      this.leases.set(id, { lifeMs, endsAt: performance.now() + lifeMs });
      return { status: 200, body: { tether: id } };
    }
    const renewal = /^\/grants\/(\d+)\/renew$/.exec(path);
    if (method === 'POST' && renewal) {
      const lease = this.leases.get(Number(renewal[1]));
      if (!lease) return { status: 404, body: { error: 'no such lease' } };
      lease.endsAt = performance.now() + lease.lifeMs;
      return { status: 200, body: {} };
    }
    const ended = /^\/grants\/(\d+)$/.exec(path);
    if (method === 'DELETE' && ended) {
      if (!this.leases.has(Number(ended[1]))) return { status: 404, body: {} };
      this.endLease(Number(ended[1]));
      return { status: 200, body: {} };
    }
    return { status: 400, body: { error: 'malformed' } };
  }

  list(query) {
    this.sorted ??= [...this.kv.keys()].sort();
    const prefix = query.get('under') ?? '';
    const after = query.get('after') ?? '';
    const most = Math.min(PAGE_ITEMS, Number(query.get('most') ?? PAGE_ITEMS));
    const entries = [];
    let bytes = 0;
    let more = false;
    const floor = after > prefix ? after : prefix;
    let low = 0;
    for (let high = this.sorted.length; low < high; ) {
      const middle = (low + high) >> 1;
      if (this.sorted[middle] < floor) low = middle + 1;
      else high = middle;
    }
    for (let index = low; index < this.sorted.length; index++) {
      const key = this.sorted[index];
      if (!key.startsWith(prefix)) break;
      if (key <= after) continue;
      const { data, feather } = this.kv.get(key);
      const item = { k: key, data, feather };
      bytes += jsonBytes(item);
      if (entries.length >= most || bytes > PAGE_BYTES) {
        more = true;
        break;
      }
      entries.push(item);
    }
    return { status: 200, body: { entries, has_next: more, molt: this.molt } };
  }

  multi(body) {
    const conditions = body?.if ?? [];
    const changes = body?.then ?? [];
    const { valueBytes, txnOps } = this.limits;
    if (changes.length > txnOps || conditions.length > 4 * txnOps || jsonBytes(body) > 64 * 1024)
      return { status: 400, body: { error: 'too large' } };
    if (changes.some((change) => change.put !== undefined && jsonBytes(change.data) > valueBytes))
      return { status: 400, body: { error: 'too large' } };
    if (changes.length > 0 && !this.writes.take(changes.length)) return { status: 429, body: { error: 'too many changes' } };
    for (const { tether } of changes) {
      if (tether !== undefined && tether !== null && !this.leases.has(Number(tether)))
        return { status: 400, body: { error: 'no such lease' } };
    }
    const failed = conditions
      .filter(({ k, feather }) => (this.kv.get(k)?.feather ?? 0) !== Number(feather))
      .map(({ k }) => k);
    if (failed.length > 0) return { status: 409, body: { failed, molt: this.molt } };
    if (changes.length === 0) return { status: 200, body: { molt: this.molt } };
    return { status: 200, body: { molt: this.apply(changes) } };
  }

  follow(query, node) {
    const prefix = query.get('under') ?? '';
    const after = Number(query.get('after') ?? 0);
    const waitMs = Math.min(60_000, Number(query.get('wait_ms') ?? 0));
    const oldest = this.changes[0]?.feather ?? 0;
    if (this.changes.length >= KEPT_CHANGES && after < oldest - 1)
      return Promise.resolve({ status: 410, body: { molt: this.molt } });
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.watches.delete(watch);
        const news = this.newsAfter(prefix, after);
        resolve({ status: 200, body: { molt: this.molt, news } });
      };
      const isHeld = () => this.outage || this.fault(node, { path: '/follow' })?.status === 503;
      const watch = {
        check: () => {
          if (!isHeld() && this.newsAfter(prefix, after).length > 0) finish();
        },
      };
      const timer = setTimeout(() => {
        if (!isHeld()) finish();
      }, waitMs);
      this.watches.add(watch);
      watch.check();
    });
  }

  newsAfter(prefix, after) {
    const news = [];
    for (let i = this.changes.length - 1; i >= 0 && this.changes[i].feather > after; i--) {
      const event = this.changes[i];
      if ((event.put ?? event.drop).startsWith(prefix)) news.push(event);
    }
    return news.reverse();
  }
}
