// A small deployment on loopback: the project's controllers as processes of their own, started with the run line of
// deploy/service.toml, and stand-ins for everything else. Settings are those of Souqcraft Amman in BRIEF-magpielift.md.
import { spawn } from 'node:child_process';
import { appendFileSync, existsSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { call, sleep } from './http.mjs';
import { Rules } from './rules.mjs';
import { StateService } from './state_service.mjs';
import { Users } from './users.mjs';
import { Worker } from './worker.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const MAX_RUN_MS = 118_000;

export const AMMAN = {
  nodes: [
    ['perch-0', 'amman-east'],
    ['perch-1', 'amman-west'],
    ['perch-2', 'zarqa-dc'],
  ],
  workers: { report_s: 2, lease_s: 14, gang_wait_s: 40, gang_peer_s: 5, cancel_s: 39 },
  state: { rps: 200, write_rps: 20, value_kb: 8, txn_ops: 8 },
  cloud: { rps: 5, list_lag_s: 3 },
  limits: { cpu_share: 0.34, memory_mb: 146, max_connections: 800 },
  restart_s: 3,
  breeds: [
    {
      name: 'loom-small',
      cpus: 8,
      gpus: 0,
      mem_gb: 32,
      local_gb: 50,
      fetch_gb_per_s: 0.3,
      rate: 0.36,
      spot_price: 0.11,
      startup_s: 35,
      groves: ['amman-east', 'amman-west', 'zarqa-dc'],
    },
  ],
};

/** The case could not be run as it was meant: exit code 2. */
export class CannotRun extends Error {}

async function freePort() {
  for (let tries = 0; tries < 200; tries++) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const free = await new Promise((resolve) => {
      const server = createServer();
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
    });
    if (free) return port;
  }
  throw new CannotRun('no free port');
}

export class Deployment {
  jobs = new Map();
  runSecondsByJob = new Map();
  progress = new Map();
  workers = new Map();
  processes = new Map();
  ended = [];
  stopping = false;
  startedAt = performance.now();

  constructor(recordFile, site = AMMAN) {
    this.site = site;
    this.recordFile = recordFile;
    writeFileSync(recordFile, '');
    this.record = (line) => {
      const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(2).padStart(7);
      appendFileSync(recordFile, `${seconds} ${line}\n`);
    };
    this.rules = new Rules({ jobs: this.jobs, cancelSeconds: site.workers.cancel_s, record: this.record });
  }

  /** `capacity(breed, grove, loaners)`: how many machines of a kind the cloud has. */
  async start(capacity) {
    const { site, record } = this;
    if (!existsSync(join(ROOT, 'target/main.js'))) throw new CannotRun('target/main.js is missing: build first');
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.nodes = [];
    for (const [name, area] of site.nodes)
      this.nodes.push({ name, area, port: await freePort(), peerPort: await freePort() });
    this.state = new StateService(site.state);
    await this.state.start();
    this.cloud = new Cloud({
      breeds: site.breeds,
      rps: site.cloud.rps,
      listLagMs: site.cloud.list_lag_s * 1000,
      bootMs: 1500,
      capacity,
      record,
      onUp: (machine) => this.startWorker(machine),
      onGone: (machine) => this.stopWorker(machine.ref),
    });
    await this.cloud.start();
    this.users = new Users({ nodes: this.nodes, jobs: this.jobs, rules: this.rules, record });
    this.checker = setInterval(() => this.rules.checkCancelled(), 100);
    for (const node of this.nodes) this.startNode(node);
    await this.waitFor('a controller leads', 20, () => this.state.leader() !== null);
    await this.waitFor('all controllers are healthy', 20, async () => {
      const answers = await Promise.all(this.nodes.map(({ port }) => call(port, 'GET', '/up', undefined, 1000)));
      return answers.every((answer) => answer?.status === 200);
    });
  }

  async startWorker(machine) {
    const worker = new Worker(machine, {
      breed: this.site.breeds.find(({ name }) => name === machine.breed),
      nodes: this.nodes,
      timing: this.site.workers,
      jobs: this.jobs,
      runSeconds: (job) => this.runSecondsByJob.get(job) ?? this.jobs.get(job).flight_s,
      progress: this.progress,
      rules: this.rules,
      record: this.record,
    });
    this.workers.set(machine.ref, worker);
    const addr = await worker.start();
    this.record(`${machine.ref}: up, ${machine.breed} in ${machine.grove}${machine.loaners ? ', spot' : ''}`);
    return addr;
  }

  stopWorker(ref) {
    this.workers.get(ref)?.stop();
    this.workers.delete(ref);
  }

  /** Waits until `holds` is true. If that takes too long, the case can't run. */
  async waitFor(what, seconds, holds) {
    const end = performance.now() + seconds * 1000;
    while (!(await holds())) {
      if (performance.now() > end) throw new CannotRun(`not within ${seconds} s: ${what}`);
      await sleep(25);
    }
  }

  /** The worker of the machine that the task is on. */
  workerOf(chick) {
    const place = this.rules.places.get(chick)?.[0];
    return place ? this.workers.get(place.machine.ref) : undefined;
  }

  // ---- controllers

  settingsOf(own) {
    const { site } = this;
    const siblings = this.nodes
      .filter((node) => node !== own)
      .map((n) => `[[siblings]]\nhost_name = "${n.name}"\narea = "${n.area}"\naddress = "127.0.0.1:${n.peerPort}"\n`);
    const amounts = (fields) =>
      Object.entries(fields)
        .map(([key, value]) => `${key} = ${['txn_ops', 'max_connections'].includes(key) ? value : value.toFixed(2)}`)
        .join('\n');
    return [
      `host_name = "${own.name}"`,
      `area = "${own.area}"`,
      `listen = "127.0.0.1:${own.port}"`,
      `peer_bind = "127.0.0.1:${own.peerPort}"`,
      ...siblings,
      `[endpoints]\ncloud = "127.0.0.1:${this.cloud.port}"\nstate = "127.0.0.1:${this.state.port}"`,
      `[deployment]\ninitial_size = ${this.nodes.length}`,
      `zones = [${[...new Set(site.nodes.map(([, area]) => `"${area}"`))].join(', ')}]\nskew_ms = 25.0`,
      '[[deployment.teams]]\nname = "studio-team"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0',
      `[deployment.workers]\n${amounts(site.workers)}`,
      `[deployment.state]\n${amounts(site.state)}`,
      `[deployment.cloud]\n${amounts(site.cloud)}`,
      `[deployment.machine_limits]\n${amounts(site.limits)}`,
      '',
    ].join('\n');
  }

  startNode(node) {
    const run = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8'))?.[1];
    if (!run) throw new CannotRun('deploy/service.toml has no run line');
    const file = join(this.folder, `${node.name}.toml`);
    writeFileSync(file, this.settingsOf(node));
    const log = openSync(join(this.folder, `${node.name}.log`), 'a');
    const [program, ...args] = run.split(' ');
    const child = spawn(program, [...args, file], { cwd: ROOT, stdio: ['ignore', 'ignore', log] });
    this.processes.set(node.name, child);
    child.on('exit', (code, signal) => {
      if (this.processes.get(node.name) === child) this.processes.delete(node.name);
      if (this.stopping || signal === 'SIGKILL') return;
      this.ended.push({ node: node.name, code, signal });
      this.record(`${node.name}: ended by itself, code ${code}, signal ${signal}`);
      // The platform starts a process that has ended again.
      setTimeout(() => {
        if (!this.stopping) this.startNode(node);
      }, this.site.restart_s * 1000);
    });
    this.record(`${node.name}: started`);
  }

  /** Ends a controller without a signal that it could handle, and resolves once it has ended. */
  async killNode(name) {
    const child = this.processes.get(name);
    if (!child) return;
    await new Promise((resolve) => {
      child.once('exit', resolve);
      child.kill('SIGKILL');
    });
    this.record(`${name}: killed`);
  }

  node(name) {
    return this.nodes.find((node) => node.name === name);
  }

  // ---- end

  /** Ends every process and stand-in. */
  async stop() {
    this.stopping = true;
    clearInterval(this.checker);
    await Promise.all([...this.processes.keys()].map((name) => this.killNode(name)));
    for (const ref of [...this.workers.keys()]) this.stopWorker(ref);
    this.cloud?.stop();
    this.state?.stop();
    if (this.folder && !process.env.KEEP_LOGS) rmSync(this.folder, { recursive: true, force: true });
    else if (this.folder) process.stderr.write(`logs in ${this.folder}\n`);
  }
}

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. `play` gets the
 * deployment and whether the disruption takes place, and returns once everything was seen.
 */
export async function runCase(recordFile, rule, play, site = AMMAN) {
  const deployment = new Deployment(recordFile, site);
  const trouble = process.env.TROUBLE !== '0';
  let code = 2;
  let finishing = false;
  const finish = async () => {
    if (finishing) return;
    finishing = true;
    await deployment.stop();
    process.stdout.write(`${rule}: ${['held', 'broken', 'could not run'][code]} (${trouble ? 'with' : 'without'} the disruption)\n`);
    process.exit(code);
  };
  const limit = setTimeout(() => {
    deployment.record('not finished in time');
    code = 2;
    void finish();
  }, MAX_RUN_MS - 3000);
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => void finish());
  for (const event of ['uncaughtException', 'unhandledRejection'])
    process.on(event, (error) => {
      deployment.record(`could not run: ${error?.stack ?? error}`);
      code = 2;
      void finish();
    });
  process.on('exit', () => {
    for (const child of deployment.processes.values()) child.kill('SIGKILL');
  });
  try {
    deployment.record(`case ${trouble ? 'with' : 'without'} the disruption`);
    await play(deployment, trouble);
    code = deployment.rules.broken.some((entry) => entry.rule === rule) ? 1 : 0;
    deployment.record(code === 1 ? `result: ${rule} was broken` : `result: ${rule} held`);
  } catch (error) {
    deployment.record(error instanceof CannotRun ? `could not run: ${error.message}` : `could not run: ${error.stack}`);
    code = 2;
  }
  clearTimeout(limit);
  await finish();
}
