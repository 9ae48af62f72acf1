/** Stand-in for a machine's worker, after the section "Workers -> controller nodes" of the protocol page. */
import { call, serve } from './wire.mjs';

const RESPONSE_TIMEOUT_MS = 4000;
const MIN_GAP_MS = 500;

export class Worker {
  /** `site` gives `workers` (settings), `nodes()` (name and port of each controller), `job(ref)`, `types`, `watch`. */
  constructor(machine, site) {
    this.machine = machine;
    this.site = site;
    this.roost = 1;
    this.chirp = 0;
    this.crest = 0;
    this.warning = null;
    this.tasks = new Map();
    this.images = new Map();
    this.hung = false;
    this.gone = false;
    /** Whether messages pass. `reports`: to the controllers; `answers`: their responses; `commands`: direct ones. */
    this.link = { reports: true, answers: true, commands: true };
    this.leaseFrom = performance.now();
    this.nodeIndex = site.firstNode(machine);
    this.lastReportAt = -Infinity;
    this.changed = true;
  }

  async start() {
    this.server = await serve((request) => this.handle(request));
    this.addr = `127.0.0.1:${this.server.port}`;
    this.reporting = this.reportLoop();
    this.timer = setInterval(() => this.tick(), 50);
    return this.addr;
  }

  stop() {
    this.gone = true;
    clearInterval(this.timer);
    this.server.close();
    for (const task of this.tasks.values()) this.leave(task, 'machine gone');
    this.tasks.clear();
  }

  // ---- tasks

  tick() {
    if (this.hung || this.gone) return;
    const now = performance.now();
    if (now - this.leaseFrom > this.site.workers.leaseMs) this.endSession();
    for (const task of [...this.tasks.values()]) {
      if (task.mood === 'pulling' && this.imageReady(task, now)) this.site.onImageReady(this, task, now);
      if (task.mood === 'running' && task.endsAt !== null && now >= task.endsAt) this.site.onTaskEnd(this, task);
      if (task.mood === 'flushing' && now >= task.flushedAt) this.exit(task, 'stopped', true);
    }
  }

  imageReady(task, now) {
    const { plumage, image_gb: gb } = task.job;
    const type = this.site.types.find(({ name }) => name === this.machine.breed);
    if (!this.images.has(plumage)) this.images.set(plumage, now + (gb / type.fetch_gb_per_s) * 1000);
    return now >= this.images.get(plumage);
  }

  endSession() {
    for (const task of this.tasks.values()) this.leave(task, 'lease ended');
    this.tasks.clear();
    this.roost += 1;
    this.chirp = 0;
    this.leaseFrom = performance.now();
    this.changed = true;
    this.site.note('session ended', { machine: this.machine.ref, roost: this.roost });
  }

  /** The task is not on the machine any more. */
  leave(task, why) {
    if (task.mood === 'exited') return;
    const wasOn = task.mood !== 'pulling';
    task.mood = 'exited';
    this.site.onLeft(this, task, why, wasOn);
  }

  exit(task, cause, kept = false) {
    this.leave(task, cause);
    task.cause = cause;
    task.kept = kept;
    this.changed = true;
  }

  setMood(task, mood) {
    task.mood = mood;
    this.changed = true;
  }

  execute(calls) {
    for (const command of calls ?? []) {
      const { call: op, chick, hop } = command;
      const key = `${chick}#${hop}`;
      if (op === 'run') this.run(chick, Number(hop), key);
      else if (op === 'stop') this.stopTask(key, Number(command.settle_s));
      else if (op === 'reap' && this.tasks.get(key)?.mood === 'exited') this.tasks.delete(key);
    }
  }

  run(chick, hop, key) {
    if (this.tasks.has(key)) return;
    const slash = chick.lastIndexOf('/');
    const job = this.site.job(chick.slice(0, slash));
    const index = Number(chick.slice(slash + 1));
    const task = { chick, hop, index, job, mood: 'pulling', cause: null, endsAt: null, arrivedAt: performance.now() };
    this.tasks.set(key, task);
    this.changed = true;
    this.site.note('run received', { task: chick, hop, machine: this.machine.ref });
    if (!job || index >= job.chicks) return this.refuse(task, 'no_such');
    const live = [...this.tasks.values()].filter((other) => other !== task && other.mood !== 'exited');
    if (live.some((other) => other.chick === chick)) return this.refuse(task, 'in_use');
    const type = this.site.types.find(({ name }) => name === this.machine.breed);
    const fits = ['cpus', 'gpus', 'mem_gb'].every(
      (kind) => live.reduce((sum, other) => sum + other.job[kind], 0) + job[kind] <= type[kind] + 1e-6,
    );
    if (!fits) return this.refuse(task, 'full');
  }

  refuse(task, cause) {
    task.mood = 'exited';
    task.cause = cause;
  }

  stopTask(key, settleSeconds) {
    const task = this.tasks.get(key);
    if (!task || task.mood === 'exited') return;
    this.site.note('stop received', { task: task.chick, hop: task.hop, machine: this.machine.ref });
    const saves = task.mood === 'running' && task.job.cache_s > 0 && settleSeconds >= task.job.stash_s;
    if (!saves) {
      if (task.mood !== 'flushing' || settleSeconds === 0) this.exit(task, 'stopped');
      return;
    }
    task.flushedAt = performance.now() + task.job.stash_s * 1000;
    this.setMood(task, 'flushing');
  }

  // ---- messages

  report() {
    this.chirp += 1;
    const chicks = [...this.tasks.values()].map(({ chick, hop, mood, cause, kept }) => ({
      chick,
      hop,
      mood,
      ...(mood === 'exited' ? { cause, kept: kept === true } : {}),
    }));
    const { ref, breed, grove, loaners } = this.machine;
    const { addr, roost, chirp, crest, warning } = this;
    return { perch: ref, addr, breed, grove, loaners, roost, chirp, crest, warning_s: warning, chicks };
  }

  async handle({ method, path, body }) {
    if (this.hung || this.gone || !this.link.commands) return null;
    if (method === 'GET' && path === '/inspect') return { status: 200, body: this.report() };
    if (method !== 'POST' || path !== '/commands') return { status: 400, body: {} };
    if (body?.crest === undefined || body?.roost === undefined) return { status: 400, body: {} };
    const accepted = Number(body.crest) >= this.crest && Number(body.roost) === this.roost;
    if (Number(body.crest) > this.crest) this.raise(Number(body.crest));
    if (accepted) this.execute(body.calls);
    return { status: accepted ? 200 : 409, body: this.report() };
  }

  raise(crest) {
    this.crest = crest;
    this.changed = true;
  }

  async reportLoop() {
    while (!this.gone) {
      const now = performance.now();
      const dueAt = this.changed ? this.lastReportAt + MIN_GAP_MS : this.nextReportAt ?? 0;
      if (this.hung || now < Math.min(dueAt, this.nextReportAt ?? 0)) {
        await new Promise((resolve) => setTimeout(resolve, 20));
        continue;
      }
      await this.sendReport();
    }
  }

  async sendReport() {
    const { reportMs } = this.site.workers;
    this.changed = false;
    this.lastReportAt = performance.now();
    this.nextReportAt = this.lastReportAt + reportMs * (0.75 + 0.5 * Math.random());
    const nodes = this.site.nodes();
    const node = nodes[this.nodeIndex % nodes.length];
    const body = this.report();
    const sentAt = this.lastReportAt;
    const { roost } = this;
    if (!this.link.reports) {
      await new Promise((resolve) => setTimeout(resolve, RESPONSE_TIMEOUT_MS));
      return this.tryNextNode();
    }
    const answer = await call(node.port, 'POST', '/agent/beat', body, RESPONSE_TIMEOUT_MS, `${this.machine.ref}`);
    if (this.gone) return;
    while (this.hung) await new Promise((resolve) => setTimeout(resolve, 20));
    const tooLate = performance.now() - sentAt > RESPONSE_TIMEOUT_MS;
    if (!this.link.answers || tooLate) return this.tryNextNode();
    if (answer.status === 200) return this.onAnswer(answer.body, sentAt, roost);
    const named = answer.status === 421 ? nodes.findIndex(({ name }) => name === answer.body?.nest) : -1;
    if (named >= 0 && named !== this.nodeIndex % nodes.length) this.nodeIndex = named;
    else await this.tryNextNode();
  }

  async tryNextNode() {
    await new Promise((resolve) => setTimeout(resolve, 1000));
    this.nodeIndex += 1;
    this.nextReportAt = 0;
  }

  onAnswer(body, sentAt, roost) {
    const crest = body?.crest === undefined ? -1 : Number(body.crest);
    if (roost !== this.roost || crest < this.crest) return;
    if (crest > this.crest) this.raise(crest);
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.execute(body.calls);
  }
}
