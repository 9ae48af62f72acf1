/** A small deployment on loopback: real controller processes, stand-ins, users, and the record of what was seen. */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { StateService } from './state.mjs';
import { call, sleep } from './wire.mjs';
import { Worker } from './worker.mjs';

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
export const TROUBLE = process.env.TROUBLE !== '0';

async function freePort() {
  const server = net.createServer();
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** The first deployment of the operators, at its own limits, unless a case says otherwise. */
export const SMALL = {
  zones: ['amman-east', 'amman-west', 'zarqa-dc'],
  controllers: 3,
  teams: [{ name: 'studio-team', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
  workers: { report_s: 2, lease_s: 14, gang_wait_s: 40, gang_peer_s: 5, cancel_s: 39 },
  state: { rps: 200, write_rps: 20, value_kb: 8, txn_ops: 8 },
  cloud: { rps: 5, list_lag_s: 3 },
  limits: { cpu_share: 0.34, memory_mb: 146, max_connections: 800 },
  types: [
    { name: 'loom-small', cpus: 8, gpus: 0, mem_gb: 32, local_gb: 50, fetch_gb_per_s: 0.3, rate: 0.36, spot_price: 0.11, startup_s: 35 },
    { name: 'loom-wide', cpus: 64, gpus: 0, mem_gb: 256, local_gb: 30, fetch_gb_per_s: 0.6, rate: 3.11, spot_price: 0.93, startup_s: 50 },
    { name: 'kiln-gpu', cpus: 24, gpus: 4, mem_gb: 144, local_gb: 60, fetch_gb_per_s: 0.2, rate: 10.51, spot_price: 3.23, startup_s: 40 },
  ],
  capacityPerZone: { 'loom-small': 4, 'loom-wide': 1, 'kiln-gpu': 3 },
  bootMs: 3000,
};

export class Site {
  constructor(caseDir, options = {}) {
    this.options = { ...SMALL, ...options };
    this.recordFile = path.join(caseDir, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.startedAt = performance.now();
    this.folder = mkdtempSync(path.join(tmpdir(), 'review-case-'));
    this.controllers = [];
    this.workersByRef = new Map();
    this.jobs = new Map();
    this.tasksOn = new Map();
    this.broken = [];
    this.done = new Map();
    this.starts = [];
    this.cancelledAt = new Map();
    const { state, workers } = this.options;
    this.workers = { reportMs: workers.report_s * 1000, leaseMs: workers.lease_s * 1000 };
    this.types = this.options.types.map((type) => ({ groves: this.options.zones, ...type }));
    this.state = new StateService({ rps: state.rps, writeRps: state.write_rps, valueKb: state.value_kb, txnOps: state.txn_ops });
    const capacity = {};
    for (const zone of this.options.zones)
      for (const [type, count] of Object.entries(this.options.capacityPerZone)) capacity[`${type}|${zone}`] = count;
    this.cloud = new Cloud({
      types: this.types,
      capacity,
      bootMs: this.options.bootMs,
      listLagMs: this.options.cloud.list_lag_s * 1000,
      startMachine: (machine) => this.startMachine(machine),
      stopMachine: (machine) => this.stopMachine(machine),
    });
    const end = () => {
      this.killAll();
      process.exit(2);
    };
    process.on('SIGTERM', end);
    process.on('SIGINT', end);
    process.on('exit', () => this.killAll());
    process.on('uncaughtException', (error) => {
      console.error(error);
      this.finish(`stand-in failed: ${error.message}`);
    });
    // The whole run must end within 120 seconds.
    setTimeout(() => this.finish('ran into its time limit'), 118_000).unref();
  }

  // ---- record

  note(what, fields = {}) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(this.recordFile, `${at} ${what} ${JSON.stringify(fields)}\n`);
  }

  breakRule(rule, fields) {
    this.broken.push({ rule, ...fields });
    this.note(`RULE BROKEN ${rule}`, fields);
  }

  /** Ends everything that was started, and the process: 1 if a rule was broken, 0 if all held, 2 for a bad run. */
  async finish(problem = null) {
    if (this.finished) return;
    this.finished = true;
    this.killAll();
    this.note('end', { broken: this.broken.length, ...(problem ? { problem } : {}) });
    for (const worker of this.workersByRef.values()) if (!worker.gone) worker.stop();
    this.state.close();
    this.cloud.close();
    rmSync(this.folder, { recursive: true, force: true });
    const code = this.broken.length > 0 ? 1 : problem ? 2 : 0;
    console.log(code === 1 ? `broken: ${this.broken[0].rule}` : code === 0 ? 'held' : `not run: ${problem}`);
    process.exit(code);
  }

  killAll() {
    for (const controller of this.controllers) this.kill(controller.index, false);
  }

  // ---- controllers

  async start() {
    const count = this.options.controllers;
    for (let index = 0; index < count; index++) {
      const ports = { listen: await freePort(), peer: await freePort() };
      const endpoints = { state: await this.state.open(index), cloud: await this.cloud.open(index) };
      const name = `perch-${index}`;
      const zone = this.options.zones[index % this.options.zones.length];
      this.controllers.push({ index, name, zone, ports, endpoints, child: null, exits: 0, wanted: false, peerPorts: [] });
    }
    for (const controller of this.controllers) this.launch(controller.index);
  }

  settings(controller) {
    const o = this.options;
    const float = (value) => (Number.isInteger(value) ? `${value}.0` : `${value}`);
    const lines = [
      `host_name = "${controller.name}"`,
      `area = "${controller.zone}"`,
      `listen = "127.0.0.1:${controller.ports.listen}"`,
      `peer_bind = "127.0.0.1:${controller.ports.peer}"`,
      '',
    ];
    for (const other of this.controllers) {
      if (other === controller) continue;
      const port = controller.peerPorts[other.index] ?? other.ports.peer;
      lines.push('[[siblings]]', `host_name = "${other.name}"`, `area = "${other.zone}"`, `address = "127.0.0.1:${port}"`, '');
    }
    lines.push('[endpoints]', `cloud = "127.0.0.1:${controller.endpoints.cloud}"`, `state = "127.0.0.1:${controller.endpoints.state}"`, '');
    lines.push('[deployment]', `initial_size = ${this.controllers.length}`, `zones = ${JSON.stringify(o.zones)}`, 'skew_ms = 25.0', '');
    for (const team of o.teams) {
      lines.push('[[deployment.teams]]', `name = "${team.name}"`);
      for (const key of ['cpus', 'cpus_max', 'gpus', 'gpus_max']) lines.push(`${key} = ${float(team[key])}`);
      lines.push('');
    }
    const table = (name, fields) => {
      lines.push(`[deployment.${name}]`);
      for (const [key, value] of Object.entries(fields))
        lines.push(`${key} = ${['txn_ops', 'max_connections'].includes(key) ? value : float(value)}`);
      lines.push('');
    };
    table('workers', o.workers);
    table('state', o.state);
    if (o.nextState) table('state.next', o.nextState);
    table('cloud', o.cloud);
    table('machine_limits', o.limits);
    return lines.join('\n');
  }

  /** Starts a controller with the run line of the deploy file. */
  launch(index) {
    const controller = this.controllers[index];
    const file = path.join(this.folder, `${controller.name}.toml`);
    writeFileSync(file, this.settings(controller));
    const line = /^run = "(.*)"$/m.exec(readFileSync(path.join(ROOT, 'deploy/service.toml'), 'utf8'))[1];
    const [program, ...args] = line.split(' ');
    const child = spawn(program, [...args, file], { cwd: ROOT, stdio: ['ignore', 'ignore', 'pipe'] });
    let tail = '';
    child.stderr.on('data', (chunk) => {
      tail = (tail + chunk).slice(-2000);
      if (process.env.LOG) appendFileSync(process.env.LOG, chunk);
    });
    controller.child = child;
    controller.wanted = true;
    this.note('controller started', { name: controller.name });
    child.on('exit', (code, signal) => {
      if (controller.child !== child) return;
      controller.child = null;
      if (!controller.wanted) return;
      controller.exits += 1;
      this.note('controller ended by itself', { name: controller.name, code, signal, log: tail.split('\n').filter((l) => /FATAL|uncaught|Error/.test(l)).slice(0, 2) });
      this.onEnded?.(controller);
    });
  }

  kill(index, noted = true) {
    const controller = this.controllers[index];
    controller.wanted = false;
    if (!controller.child) return;
    if (noted) this.note('controller killed', { name: controller.name });
    controller.child.kill('SIGCONT');
    controller.child.kill('SIGKILL');
    controller.child = null;
  }

  signal(index, name) {
    this.note(`controller ${name}`, { name: this.controllers[index].name });
    this.controllers[index].child?.kill(name);
  }

  leaderIndex() {
    const entry = this.state.kv.get('leader');
    return entry ? this.controllers.findIndex(({ name }) => name === entry.data.node) : -1;
  }

  async until(what, check, timeoutMs) {
    const end = performance.now() + timeoutMs;
    while (performance.now() < end) {
      if (await check()) return true;
      await sleep(50);
    }
    this.note('not reached', { what });
    return false;
  }

  async ready(timeoutMs = 20_000) {
    return this.until(
      'all controllers up and one leads',
      async () => {
        if (this.leaderIndex() < 0) return false;
        const ups = await Promise.all(this.controllers.map((c) => call(c.ports.listen, 'GET', '/up', undefined, 1000)));
        return ups.every(({ status }) => status === 200);
      },
      timeoutMs,
    );
  }

  // ---- machines

  firstNode() {
    return Math.floor(Math.random() * this.controllers.length);
  }

  nodes() {
    return this.controllers.map(({ name, ports }) => ({ name, port: ports.listen }));
  }

  job(ref) {
    return this.jobs.get(ref);
  }

  async startMachine(machine) {
    const worker = new Worker(machine, this);
    this.workersByRef.set(machine.ref, worker);
    const addr = await worker.start();
    this.note('machine up', { machine: machine.ref, type: machine.breed, zone: machine.grove });
    return addr;
  }

  stopMachine(machine) {
    this.note('machine deleted', { machine: machine.ref });
    this.workersByRef.get(machine.ref)?.stop();
  }

  onImageReady(worker, task, now) {
    const holders = this.tasksOn.get(task.chick) ?? new Map();
    this.tasksOn.set(task.chick, holders);
    const others = [...holders.keys()].filter((ref) => ref !== worker.machine.ref);
    this.starts.push({ chick: task.chick, hop: task.hop, machine: worker.machine.ref, at: now });
    this.note('task starts', { task: task.chick, hop: task.hop, machine: worker.machine.ref });
    if (others.length > 0)
      this.breakRule('ran_twice', { task: task.chick, on: others, starts_on: worker.machine.ref });
    const cancelledAt = this.cancelledAt.get(task.job.ref);
    if (cancelledAt !== undefined) this.note('start after cancellation', { task: task.chick, after_s: (now - cancelledAt) / 1000 });
    if (this.done.get(task.job.ref)?.has(task.index)) {
      // The result is kept, so the task exits at once and is on the machine for no time.
      worker.exit(task, 'done');
      return;
    }
    holders.set(worker.machine.ref, now);
    task.startedAt = now;
    if (task.job.shape === 'ensemble') {
      worker.setMood(task, 'gathering');
      this.gather(task);
      return;
    }
    task.endsAt = task.job.shape === 'daemon' ? null : now + task.job.runs_s * 1000;
    worker.setMood(task, 'running');
  }

  /** Starts a gang once all its tasks of one attempt wait. */
  gather({ job, hop }) {
    const mates = [];
    for (const worker of this.workersByRef.values())
      for (const task of worker.tasks.values())
        if (task.job === job && task.hop === hop && task.mood === 'gathering') mates.push([worker, task]);
    if (mates.length < job.chicks) return;
    const endsAt = performance.now() + job.runs_s * 1000;
    for (const [worker, task] of mates) {
      task.endsAt = endsAt;
      worker.setMood(task, 'running');
    }
  }

  onTaskEnd(worker, task) {
    const set = this.done.get(task.job.ref) ?? new Set();
    this.done.set(task.job.ref, set);
    set.add(task.index);
    worker.exit(task, 'done');
  }

  onLeft(worker, task, why, wasOn) {
    this.note('task left', { task: task.chick, hop: task.hop, machine: worker.machine.ref, why });
    if (wasOn) this.tasksOn.get(task.chick)?.delete(worker.machine.ref);
  }

  // ---- users

  makeJob(number, fields = {}) {
    const ref = `job-${String(number).padStart(6, '0')}`;
    const job = {
      ref,
      flock: 'thumb-sweep',
      crew: this.options.teams[0].name,
      shape: 'batch',
      rank: 'normal',
      chicks: 1,
      cpus: 1,
      gpus: 0,
      mem_gb: 3.6,
      breeds: null,
      grove: null,
      same_place: false,
      apart: false,
      loaners: false,
      plumage: 'img-1',
      image_gb: 0.3,
      flight_s: 10,
      cache_s: 0,
      stash_s: 0,
      due_s: null,
      runs_s: 10,
      ...fields,
    };
    this.jobs.set(ref, job);
    return job;
  }

  pickNode() {
    const up = this.controllers.filter(({ child }) => child !== null);
    const from = up.length > 0 ? up : this.controllers;
    return from[Math.floor(Math.random() * from.length)];
  }

  async request(method, pathname, body, timeoutMs, node = this.pickNode()) {
    const answer = await call(node.ports.listen, method, pathname, body, timeoutMs, `user-${node.index}`);
    this.note('user', { to: node.name, method, path: pathname, status: answer.status, body: answer.body ?? answer.failure });
    return answer;
  }

  /** Submits as a user does: retries for up to 60 s. Resolves with the final answer. */
  async submit(job, node = undefined) {
    const { runs_s: _, ...description } = job;
    const end = performance.now() + 60_000;
    for (;;) {
      const answer = await this.request('POST', '/v2/runs', description, 5000, node ?? this.pickNode());
      if ([200, 201, 400, 422].includes(answer.status) || performance.now() > end) return answer;
      await sleep(1000 * Math.max(1, Math.min(30, answer.retryAfter ?? 0)));
    }
  }

  async cancel(ref, node = undefined) {
    const end = performance.now() + 60_000;
    for (;;) {
      const answer = await this.request('POST', `/v2/runs/${ref}/withdraw`, undefined, 5000, node ?? this.pickNode());
      if (answer.status === 200) {
        if (answer.body.mood === 'withdrawn' && !this.cancelledAt.has(ref)) this.cancelledAt.set(ref, performance.now());
        return answer;
      }
      if (performance.now() > end) return answer;
      await sleep(1000);
    }
  }

  poll(ref, node = undefined) {
    return this.request('GET', `/v2/runs/${ref}`, undefined, 2000, node ?? this.pickNode());
  }
}
