// Stand-in for a worker on one machine: PROTOCOL-magpielift.md, "Workers -> controller nodes" and "Controller nodes ->
// workers". It runs arrays (`batch`) and services (`daemon`); gangs are not needed by the cases.
import { call, serve, sleep } from './http.mjs';
import { Link } from './link.mjs';

const ANSWER_TIMEOUT_MS = 4000;
const NEXT_NODE_AFTER_MS = 1000;
const MIN_REPORT_SPACING_MS = 500;
const TICK_MS = 25;

export class Worker {
  tasks = new Map();
  images = new Set();
  roost = 1;
  chirp = 0;
  crest = 0n;
  warningAt = null;
  /** While true, nothing reaches this machine and nothing leaves it. */
  cut = false;
  /** Names of the nodes that get no report of this machine. */
  unreached = new Set();
  gone = false;
  node = 0;
  changed = false;
  tokenChangeAt = Number.NEGATIVE_INFINITY;
  sendingSince = 0;

  /**
   * `jobs` are the descriptions that users uploaded, by job. `runSeconds(job, chick)` is how long a task really runs.
   * `rules` is told when a task is on the machine and when it no longer is.
   */
  constructor(machine, { breed, nodes, timing, jobs, runSeconds, progress, rules, record }) {
    Object.assign(this, { machine, breed, nodes, timing, jobs, runSeconds, progress, rules, record });
    this.leaseFrom = performance.now();
  }

  async start() {
    this.server = await serve(0, (method, url, body) => this.direct(method, url, body));
    this.link = new Link();
    this.addr = `127.0.0.1:${await this.link.start(this.server.address().port)}`;
    this.ticker = setInterval(() => this.tick(), TICK_MS);
    void this.reportLoop();
    return this.addr;
  }

  /** The machine is gone, with all that is on it. */
  stop() {
    this.gone = true;
    clearInterval(this.ticker);
    for (const task of this.tasks.values()) this.leave(task, 'machine gone');
    this.tasks.clear();
    this.link.stop();
    this.server.closeAllConnections();
    this.server.close();
  }

  // ---- tasks

  tick() {
    const now = performance.now();
    if (now - this.leaseFrom > this.timing.lease_s * 1000) this.endSession(now);
    for (const task of this.tasks.values()) {
      if (task.mood === 'pulling' && now >= task.imageAt) this.begin(task, now);
      else if (task.mood === 'running' && now >= task.endsAt) this.exit(task, 'done');
      else if (task.mood === 'flushing' && now >= task.savedAt) {
        this.progress.set(task.chick, task.progressMs);
        this.exit(task, 'stopped', true);
      }
    }
  }

  endSession(now) {
    if (this.tasks.size > 0) this.record(`${this.machine.ref}: lease over, session ${this.roost} ends`);
    for (const task of this.tasks.values()) this.leave(task, 'lease over');
    this.tasks.clear();
    this.roost += 1;
    this.leaseFrom = now;
    this.changed = true;
  }

  begin(task, now) {
    const job = this.jobs.get(task.job);
    this.images.add(job.plumage);
    task.mood = 'running';
    task.beganAt = now;
    task.savedMs = this.progress.get(task.chick) ?? 0;
    task.endsAt = job.shape === 'daemon' ? Infinity : now + this.runSeconds(task.job, task.chick) * 1000 - task.savedMs;
    task.onMachine = true;
    this.changed = true;
    this.rules.on(task.chick, task.hop, this.machine);
  }

  leave(task, why) {
    if (task.onMachine) this.rules.off(task.chick, task.hop, this.machine, why);
    task.onMachine = false;
  }

  exit(task, cause, kept = false) {
    task.mood = 'exited';
    task.cause = cause;
    task.kept = kept;
    this.changed = true;
    this.leave(task, cause);
    if (cause === 'done') this.rules.completed(task.chick);
  }

  /** A replica or task ends by itself with this cause. */
  end(chick, cause) {
    for (const task of this.tasks.values()) if (task.chick === chick && task.mood === 'running') this.exit(task, cause);
  }

  execute({ call: name, chick, hop, settle_s }) {
    const attempt = BigInt(hop);
    const key = `${chick} ${attempt}`;
    const task = this.tasks.get(key);
    this.record(`${this.machine.ref}: ${name} ${chick} hop ${attempt}${name === 'stop' ? ` settle_s ${settle_s}` : ''}`);
    if (name === 'run' && !task) this.run(key, chick, attempt);
    if (name === 'stop' && task) this.stopTask(task, settle_s);
    if (name === 'reap' && task?.mood === 'exited') {
      this.tasks.delete(key);
      this.changed = true;
    }
  }

  run(key, chick, hop) {
    const id = chick.slice(0, chick.lastIndexOf('/'));
    const job = this.jobs.get(id);
    const task = { chick, job: id, hop, mood: 'pulling', onMachine: false };
    const live = [...this.tasks.values()].filter(({ mood }) => mood !== 'exited');
    this.tasks.set(key, task);
    this.changed = true;
    if (!job || Number(chick.slice(chick.lastIndexOf('/') + 1)) >= job.chicks) return this.exit(task, 'no_such');
    if (live.some((other) => other.chick === chick)) return this.exit(task, 'in_use');
    const used = (field) => live.reduce((sum, other) => sum + this.jobs.get(other.job)[field], 0);
    const fits = ['cpus', 'gpus', 'mem_gb'].every((field) => used(field) + job[field] <= this.breed[field] + 1e-9);
    if (!fits) return this.exit(task, 'full');
    const fetchMs = this.images.has(job.plumage) ? 0 : (job.image_gb / this.breed.fetch_gb_per_s) * 1000;
    task.imageAt = performance.now() + fetchMs;
    this.tick();
  }

  stopTask(task, settle_s) {
    if (task.mood === 'exited') return;
    const job = this.jobs.get(task.job);
    const now = performance.now();
    const saves = task.mood === 'running' && job.cache_s > 0 && settle_s >= job.stash_s;
    if (!saves && !(task.mood === 'flushing' && settle_s > 0)) {
      if (task.mood === 'running' && job.cache_s > 0) {
        const ranMs = task.savedMs + now - task.beganAt;
        this.progress.set(task.chick, Math.floor(ranMs / (job.cache_s * 1000)) * job.cache_s * 1000);
      }
      this.exit(task, 'stopped');
    } else if (saves) {
      task.mood = 'flushing';
      task.progressMs = task.savedMs + now - task.beganAt;
      task.savedAt = now + job.stash_s * 1000;
      this.changed = true;
    }
  }

  // ---- reports

  report() {
    this.chirp += 1;
    const { ref, breed, grove, loaners } = this.machine;
    const chicks = [...this.tasks.values()].map(({ chick, hop, mood, cause, kept }) => ({
      chick,
      hop,
      mood,
      ...(mood === 'exited' ? { cause, ...(kept ? { kept: true } : {}) } : {}),
    }));
    const warning_s = this.warningAt === null ? null : Math.max(0, (this.warningAt - performance.now()) / 1000);
    const order = { roost: this.roost, chirp: this.chirp, crest: this.crest };
    return { perch: ref, addr: this.addr, breed, grove, loaners, ...order, warning_s, chicks };
  }

  async reportLoop() {
    while (!this.gone) {
      this.changed = false;
      this.sendingSince = performance.now();
      const next = await this.sendReport();
      if (this.gone) return;
      if (next !== 'stays') {
        await sleep(next);
        continue;
      }
      const due = this.sendingSince + this.timing.report_s * 1000 * (0.75 + 0.5 * Math.random());
      const soonest = this.sendingSince + MIN_REPORT_SPACING_MS;
      while (!this.gone && performance.now() < (this.changed ? Math.min(soonest, due) : due)) await sleep(TICK_MS);
    }
  }

  /** Returns `stays`, or after how many milliseconds the next node is tried. */
  async sendReport() {
    const sentAt = performance.now();
    const { roost } = this;
    const node = this.nodes[this.node % this.nodes.length];
    if (this.cut || this.unreached.has(node.name)) {
      await sleep(ANSWER_TIMEOUT_MS);
      this.node += 1;
      return NEXT_NODE_AFTER_MS;
    }
    const answer = await call(node.port, 'POST', '/agent/beat', this.report(), ANSWER_TIMEOUT_MS);
    if (this.gone) return 0;
    if (this.cut) {
      await sleep(Math.max(0, sentAt + ANSWER_TIMEOUT_MS - performance.now()));
      this.node += 1;
      return NEXT_NODE_AFTER_MS;
    }
    if (answer?.status === 421) {
      const named = this.nodes.findIndex(({ name }) => name === answer.body.nest);
      if (named >= 0 && this.nodes[named] !== node) {
        this.node = named;
        return Math.random() * 500;
      }
    }
    if (answer?.status !== 200) {
      this.node += 1;
      return NEXT_NODE_AFTER_MS;
    }
    if (answer.body.crest === undefined || BigInt(answer.body.crest) < this.crest || roost !== this.roost) return 'stays';
    this.seeToken(BigInt(answer.body.crest));
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.answeredAt = performance.now();
    for (const command of answer.body.calls ?? []) this.execute(command);
    return 'stays';
  }

  /** A higher token counts as a change at most once in half a lease. */
  seeToken(token) {
    if (token <= this.crest) return;
    this.crest = token;
    const now = performance.now();
    if (now - this.tokenChangeAt < (this.timing.lease_s * 1000) / 2) return;
    this.tokenChangeAt = now;
    this.changed = true;
  }

  // ---- direct commands

  async direct(method, url, body) {
    if (this.cut || this.gone) return null;
    if (url.pathname === '/inspect') return { status: 200, body: this.report() };
    if (url.pathname !== '/commands' || method !== 'POST') return { status: 404, body: {} };
    if (body.crest === undefined || body.roost === undefined) return { status: 400, body: {} };
    if (BigInt(body.crest) < this.crest || Number(body.roost) !== this.roost) return { status: 409, body: this.report() };
    this.seeToken(BigInt(body.crest));
    for (const command of body.calls ?? []) this.execute(command);
    return { status: 200, body: this.report() };
  }
}
