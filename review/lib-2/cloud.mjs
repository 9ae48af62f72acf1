/** Stand-in for the cloud, after the section "Controller nodes -> cloud" of the protocol page. */
import { serve } from './wire.mjs';

export class Cloud {
  /**
   * `types` are the entries of the catalogue, `capacity` maps `type|zone` to a number of machines. `startMachine` is
   * called when a machine is up, and `stopMachine` when it is deleted.
   */
  constructor({ types, capacity, bootMs, listLagMs, startMachine, stopMachine }) {
    Object.assign(this, { types, capacity, bootMs, listLagMs, startMachine, stopMachine });
    this.machines = new Map();
    this.answers = new Map();
    this.count = 0;
    this.servers = [];
    this.fault = () => null;
  }

  async open(node) {
    const server = await serve((request) => this.handle(node, request));
    this.servers.push(server);
    return server.port;
  }

  close() {
    for (const server of this.servers) server.close();
  }

  /** Machines that are up at the start. */
  async addMachine(breed, grove, loaners, bootMs = this.bootMs) {
    this.count += 1;
    const ref = `i-${String(this.count).padStart(6, '0')}`;
    const machine = { ref, breed, grove, loaners, rentedAt: Date.now(), mood: 'booting', addr: '', deletedAt: null };
    this.machines.set(ref, machine);
    const start = async () => {
      if (machine.deletedAt !== null) return;
      machine.addr = await this.startMachine(machine);
      machine.mood = 'running';
    };
    if (bootMs === 0) await start();
    else machine.timer = setTimeout(start, bootMs);
    return machine;
  }

  usedCapacity(breed, grove) {
    return [...this.machines.values()].filter((m) => m.breed === breed && m.grove === grove && m.deletedAt === null).length;
  }

  async handle(node, request) {
    const fault = this.fault(node, request);
    if (fault === 'silent') return null;
    if (fault?.status) return { status: fault.status, body: { error: 'trouble' } };
    const { method, path, body, query } = request;
    if (method === 'GET' && path === '/catalog') return { status: 200, body: { breeds: this.types } };
    if (method === 'POST' && path === '/hosts') return this.rent(body);
    if (method === 'POST' && path === '/hosts/delete') {
      for (const ref of body.perches) this.delete(ref);
      return { status: 200, body: {} };
    }
    if (method === 'GET' && path === '/hosts') return this.list(query);
    return { status: 400, body: { error: 'malformed' } };
  }

  async rent({ ask, breed, grove, loaners, count }) {
    if (this.answers.has(ask)) return { status: 200, body: { perches: this.answers.get(ask) } };
    const free = (this.capacity[`${breed}|${grove}`] ?? 0) - this.usedCapacity(breed, grove);
    if (free <= 0) return { status: 503, body: { error: 'no capacity' } };
    const perches = [];
    for (let i = 0; i < Math.min(free, count); i++) perches.push((await this.addMachine(breed, grove, loaners)).ref);
    this.answers.set(ask, perches);
    return { status: 200, body: { perches } };
  }

  delete(ref) {
    const machine = this.machines.get(ref);
    if (!machine || machine.deletedAt !== null) return;
    machine.deletedAt = Date.now();
    clearTimeout(machine.timer);
    this.stopMachine(machine);
  }

  list(query) {
    const after = query.get('after') ?? '';
    const most = Math.min(500, Number(query.get('most') ?? 500));
    const asOf = Date.now() - this.listLagMs;
    const listed = [...this.machines.values()].filter(
      (m) => m.ref > after && m.rentedAt <= asOf && (m.deletedAt === null || m.deletedAt > asOf),
    );
    const perches = listed.slice(0, most).map(({ ref, addr, breed, grove, loaners, mood, rentedAt }) => ({
      ref,
      addr,
      breed,
      grove,
      loaners,
      mood,
      held_s: (asOf - rentedAt) / 1000,
    }));
    return { status: 200, body: { perches, has_next: listed.length > most } };
  }
}
