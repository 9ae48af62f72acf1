// Stand-in for the cloud: PROTOCOL-magpielift.md, "Controller nodes -> cloud".
import { serve, sleep } from './http.mjs';
import { Rate } from './rate.mjs';

const LATENCY_MS = 50;

export class Cloud {
  machines = new Map();
  answers = new Map();
  lastName = 0;
  /** While true, every call gets 503 `trouble`. */
  outage = false;

  /**
   * `capacity(breed, grove, loaners)` is how many machines of that kind there may be now. `onUp` starts the worker of a
   * machine and resolves with its address, `onGone` ends it.
   */
  constructor({ breeds, rps, listLagMs, bootMs, capacity, onUp, onGone, record }) {
    Object.assign(this, { breeds, listLagMs, bootMs, capacity, onUp, onGone, record });
    this.requests = new Rate(rps, 2);
  }

  async start() {
    this.server = await serve(0, (method, url, body) => this.answer(method, url, body));
    this.port = this.server.address().port;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  async answer(method, url, body) {
    await sleep(LATENCY_MS);
    if (this.outage) return { status: 503, body: { error: 'trouble' } };
    if (!this.requests.take()) return { status: 429, body: {} };
    if (url.pathname === '/catalog') return { status: 200, body: { breeds: this.breeds } };
    if (url.pathname === '/hosts' && method === 'GET') return this.list(url.searchParams);
    if (url.pathname === '/hosts' && method === 'POST') return this.rent(body);
    if (url.pathname === '/hosts/delete') return this.remove(body.perches ?? []);
    return { status: 400, body: {} };
  }

  rent({ ask, breed, grove, loaners, count }) {
    if (this.answers.has(ask)) return this.answers.get(ask);
    const alike = [...this.machines.values()].filter(
      (m) => m.goneAt === null && m.breed === breed && m.grove === grove && m.loaners === loaners,
    );
    const free = Math.min(Number(count), this.capacity(breed, grove, loaners) - alike.length);
    if (free <= 0) return { status: 503, body: { error: 'no capacity' } };
    const perches = Array.from({ length: free }, () => this.create(breed, grove, loaners));
    this.record(`cloud: ask ${ask} ${breed} ${grove}${loaners ? ' spot' : ''} -> ${perches.join(' ')}`);
    const answer = { status: 200, body: { perches } };
    this.answers.set(ask, answer);
    return answer;
  }

  create(breed, grove, loaners) {
    this.lastName += 1;
    const ref = `i-${String(this.lastName).padStart(6, '0')}`;
    const machine = { ref, breed, grove, loaners, rentedAt: performance.now(), upAt: null, goneAt: null, addr: null };
    this.machines.set(ref, machine);
    setTimeout(async () => {
      if (machine.goneAt !== null) return;
      machine.addr = await this.onUp(machine);
      machine.upAt = performance.now();
    }, this.bootMs);
    return ref;
  }

  /** Takes machines away, by request or because the cloud wants them back. */
  remove(names) {
    for (const name of names) {
      const machine = this.machines.get(name);
      if (!machine || machine.goneAt !== null) continue;
      machine.goneAt = performance.now();
      this.record(`cloud: ${name} is gone`);
      this.onGone(machine);
    }
    return { status: 200, body: {} };
  }

  list(query) {
    const asOf = performance.now() - this.listLagMs;
    const after = query.get('after') ?? '';
    const most = Math.min(500, Number(query.get('most') ?? 500));
    const listed = [...this.machines.values()].filter(
      (m) => m.ref > after && m.rentedAt <= asOf && (m.goneAt === null || m.goneAt > asOf),
    );
    const perches = listed.slice(0, most).map((m) => ({
      ref: m.ref,
      addr: m.addr,
      breed: m.breed,
      grove: m.grove,
      loaners: m.loaners,
      mood: m.upAt !== null && m.upAt <= asOf ? 'running' : 'booting',
      held_s: (asOf - m.rentedAt) / 1000,
    }));
    return { status: 200, body: { perches, has_next: listed.length > most } };
  }
}
