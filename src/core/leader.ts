import { Autoscaler } from './autoscaler.js';
import { Cluster } from './cluster.js';
import type { Context } from './context.js';
import { DRIFT, type Election, type Leadership, leaderCondition } from './election.js';
import { Machine, QUIET_REPORTS } from './fleet.js';
import type { Job } from './jobs.js';
import type { Change, Condition, RequestId, StoredItem, StoreEvent, WorkerAnswer } from './messages.js';
import { RangeSet } from './ranges.js';
import {
  decodeJob,
  decodeMachine,
  encodeJob,
  encodeMachine,
  JOB_PREFIX,
  type JobState,
  jobKey,
  MACHINE_PREFIX,
  type MachineRecord,
  machineKey,
} from './records.js';
import { applyReport, compileCommands } from './reports.js';
import { moveToCached } from './scheduler/moves.js';
import { scheduleRound } from './scheduler/round.js';
import { type Evidence, SLOW_FACTOR } from './slowness.js';
import {
  type JobId,
  type MachineId,
  type MachineType,
  type Revision,
  type Seq,
  type Session,
  type Steady,
  steadyPlus,
  type TypeName,
  type WorkerReport,
} from './types.js';

const WATCH_MS = 4000;
const WATCH_FRESH_MS = 10_000;
const HOLD_MS = 600;
const LAZY_WRITE_MS = 2500;
const TXN_BYTES = 48_000;

/** Workers drop an answer that comes after 4 s: an idle one is kept waiting for well less. */
const IDLE_HOLD_SHARE = 0.8;
const IDLE_HOLD_MOST_MS = 2500;

interface HeldBeat {
  readonly req: RequestId;
  readonly machine: Machine;
  readonly seq: Seq;
  readonly until: Steady;
  /** Kept back only in case work comes up: the machine is empty. */
  readonly idle: boolean;
}

interface Snapshot {
  readonly job: Job;
  readonly state: JobState;
  readonly startTerm: number;
  readonly done: [number, number][];
}

const imagesText = (m: Machine): string => m.cachedImages().join();

const machineRecord = (m: Machine): MachineRecord => ({
  id: m.id,
  addr: m.addr,
  type: m.typeName,
  zone: m.zone,
  spot: m.spot,
  images: m.cachedImages(),
  fetchSpeed: m.fetchSpeed,
});

/** Why a machine is out of use. */
const SLOW = 'slow';
/** One suspicion at a time: if everything seems slow, it isn't the machines. */
const SLOW_PAUSE_MS = 30_000;

/** Everything the holder of the lead does. A new one is made for every term. */
export class Leader {
  readonly cluster: Cluster;
  private readonly scaler: Autoscaler;
  private readonly since: Steady;
  private loaded = false;
  private stopped = false;
  private watchFrom: Revision | null = null;
  private watchFreshAt: Steady;
  private held: HeldBeat[] = [];
  private lastRoundAt = 0 as Steady;
  private rounds = 0;
  private readonly newMachines = new Set<Machine>();
  private readonly dropMachines = new Set<MachineId>();
  private writesInFlight = 0;
  private nextSlowAt = 0 as Steady;

  constructor(
    private readonly ctx: Context,
    private readonly election: Election,
    private readonly leadership: Leadership,
    types: ReadonlyMap<TypeName, MachineType>,
    private readonly seed: number,
  ) {
    this.since = ctx.now.steady;
    this.watchFreshAt = ctx.now.steady;
    this.cluster = new Cluster(ctx, leadership.term);
    this.cluster.types = types;
    this.scaler = new Autoscaler(
      this.cluster,
      (m) => this.register(m),
      (id) => this.dropRecord(id),
    );
    this.load();
  }

  setTypes(types: ReadonlyMap<TypeName, MachineType>): void {
    this.cluster.types = types;
    if (!this.loaded) this.load();
  }

  stop(): void {
    this.stopped = true;
    for (const h of this.held) this.ctx.answerWorker(h.req, { status: 503 });
    this.held = [];
    for (const t of ['round', 'flush', 'held', 'fleet', 'direct', 'watch', 'load'] as const) this.ctx.timers.clear(t);
  }

  private valid(): boolean {
    return !this.stopped && this.election.valid();
  }

  private at(ms: number): Steady {
    return steadyPlus(this.ctx.now.steady, ms);
  }

  // ---- rebuilding from the store

  load(): void {
    if (this.cluster.types.size === 0) return;
    this.readAll(MACHINE_PREFIX, (machines, _) => {
      this.readAll(JOB_PREFIX, (jobs, revision) => {
        if (this.loaded || this.stopped) return;
        for (const item of machines) this.loadMachine(item);
        for (const item of jobs) this.loadJob(item);
        this.loaded = true;
        this.watchFrom = revision;
        this.ctx.log('info', 'state read', { jobs: jobs.length, machines: machines.length });
        this.cluster.countUnaccounted();
        this.watch();
        this.scaler.list();
        this.fence();
        this.ctx.timers.set('round', this.at(50));
        this.ctx.timers.set('fleet', this.at(500));
      });
    });
  }

  private readAll(prefix: string, then: (items: StoredItem[], revision: Revision) => void): void {
    const all: StoredItem[] = [];
    let first: Revision | null = null;
    const page = (after: string | null): void => {
      this.ctx.store({ op: 'list', prefix, after, limit: 500 }, 1, (r) => {
        if (this.stopped) return;
        if (!r.ok) {
          this.ctx.timers.set('load', this.at(300));
          return;
        }
        all.push(...(r.value.items ?? []));
        // Changes made while later pages are read come again through the watch.
        first ??= r.value.revision ?? null;
        const last = all[all.length - 1];
        if (r.value.more && last) return page(last.key);
        if (first !== null) then(all, first);
      });
    };
    page(null);
  }

  private loadMachine(item: StoredItem): void {
    const record = decodeMachine(item.key, item.value);
    const type = record ? this.cluster.types.get(record.type) : undefined;
    if (!record || !type) return;
    const m = new Machine(record.id, type, record.zone, record.spot, record.addr, false, 'up', this.ctx.now.steady);
    m.registered = true;
    m.restoreImages(record.images, record.fetchSpeed, this.ctx.now.steady);
    m.recordedImages = imagesText(m);
    this.cluster.machines.set(m.id, m);
  }

  private loadJob(item: StoredItem): void {
    const record = decodeJob(item.value);
    if (!record) {
      this.ctx.log('error', 'job record not understood', { key: item.key });
      return;
    }
    this.cluster.learnJob(record, item.version);
  }

  watch(): void {
    if (this.stopped || this.watchFrom === null) return;
    let sentAt = this.ctx.now.steady;
    this.ctx.store(
      { op: 'watch', prefix: JOB_PREFIX, after: this.watchFrom, waitMs: WATCH_MS },
      1,
      (r) => {
        if (this.stopped) return;
        if (!r.ok) {
          if (r.why === 'gone') return this.reload();
          this.ctx.timers.set('watch', this.at(200));
          return;
        }
        this.watchFreshAt = sentAt;
        if (r.value.revision !== undefined) this.watchFrom = r.value.revision;
        for (const e of r.value.events ?? []) this.takeEvent(e);
        this.watch();
      },
      WATCH_MS + 2000,
      5000,
      (at) => {
        sentAt = at;
      },
    );
  }

  /** Too far behind the store's changes: read all jobs again. */
  private reload(): void {
    this.readAll(JOB_PREFIX, (jobs, revision) => {
      for (const item of jobs) this.loadJob(item);
      this.watchFrom = revision;
      this.watch();
    });
  }

  private takeEvent(e: StoreEvent): void {
    if ('drop' in e) return;
    const known = this.cluster.jobs.get(e.put.slice(JOB_PREFIX.length) as JobId);
    if (known && known.version >= e.version) return;
    this.loadJob({ key: e.put, value: e.value, version: e.version });
    this.soonRound();
  }

  // ---- fencing

  /** Raises every registered worker's token, so that nothing an earlier leader sent can still be carried out. */
  private fence(): void {
    for (const m of this.cluster.machines.values()) {
      if (!m.accounted && m.addr) this.fenceOne(m, 1n as Session, 0);
    }
  }

  private fenceOne(m: Machine, session: Session, tries: number): void {
    const { token } = this.leadership;
    m.directInFlight = true;
    this.ctx.worker({ addr: m.addr, token, session, commands: [] }, (r) => {
      m.directInFlight = false;
      if (this.stopped || m.accounted || this.cluster.machines.get(m.id) !== m) return;
      if (!r.ok) return;
      if (r.value.report.machine !== m.id) return;
      this.takeReport(m, r.value.report, false);
      // The session was another: its number is in the answer.
      if (!r.value.executed && tries < 2) this.fenceOne(m, r.value.report.session, tries + 1);
    });
  }

  // ---- workers

  onBeat(req: RequestId, report: WorkerReport): void {
    if (!this.valid()) return this.ctx.answerWorker(req, { status: 503 });
    const answer = (): void => this.ctx.answerWorker(req, { status: 200, token: this.leadership.token, commands: [] });
    if (report.token > this.leadership.token) return this.ctx.answerWorker(req, { status: 503 });
    if (!this.loaded) return answer();
    if (this.cluster.gone.has(report.machine)) return this.ctx.answerWorker(req, { status: 503 });
    const m = this.cluster.machines.get(report.machine) ?? this.adopt(report);
    if (!m) return answer();
    m.lastHeardAt = this.ctx.now.steady;
    const first = m.firstHeardAt === null;
    if (first) {
      m.firstHeardAt = this.ctx.now.steady;
      m.idleSince = this.ctx.now.steady;
    }
    if (m.phase === 'booting') {
      m.phase = 'up';
      this.ctx.log('info', 'machine is up', {
        machine: m.id,
        type: m.typeName,
        zone: m.zone,
        spot: m.spot,
        afterS: Math.round((this.ctx.now.steady - m.rentedAt) / 1000),
      });
    }
    if (report.addr) m.addr = report.addr;
    if (!m.registered) this.register(m);
    const known = m.session === report.session ? m.seq : null;
    const freed = this.takeReport(m, report, true);
    if (m.seq !== report.seq || m.session !== report.session || known === report.seq) return answer();
    const beat: HeldBeat = { req, machine: m, seq: report.seq, until: this.at(HOLD_MS), idle: false };
    if (freed || first) {
      // Room came free: plan at once, so that the answer already carries what starts in it.
      this.soonRound();
      this.hold(beat);
    } else if (this.waitsForStore(m)) this.hold(beat);
    else if (this.mayIdle(m, report)) this.hold({ ...beat, until: this.at(this.idleHoldMs()), idle: true });
    else this.answerBeat(beat);
  }

  private adopt(report: WorkerReport): Machine | null {
    const type = this.cluster.types.get(report.type);
    if (!type) return null;
    // Not in the registry, so nobody has ever sent it a command: its list can hold nothing of ours.
    const now = this.ctx.now.steady;
    const m = new Machine(report.machine, type, report.zone, report.spot, report.addr, true, 'up', now);
    this.cluster.machines.set(m.id, m);
    this.ctx.log('info', 'machine reported that nobody had listed', { machine: m.id });
    return m;
  }

  private takeReport(m: Machine, report: WorkerReport, beat: boolean): boolean {
    const freed = applyReport(this.cluster, m, report, this.leadership.token, beat);
    if (freed) this.soonRound();
    return freed;
  }

  /**
   * An empty machine's report is answered late on purpose: work that comes up meanwhile starts at once instead of with
   * its next report. Nothing can change on an empty machine that the delay would hide, except a notice.
   */
  private mayIdle(m: Machine, report: WorkerReport): boolean {
    return (
      m.placements.size === 0 && m.exited.length === 0 && report.token === this.leadership.token && m.draining === null
    );
  }

  private idleHoldMs(): number {
    return Math.min(IDLE_HOLD_MOST_MS, this.ctx.settings.workers.reportMs * IDLE_HOLD_SHARE);
  }

  private hold(beat: HeldBeat): void {
    this.held.push(beat);
    const due = this.ctx.timers.at('held');
    if (due === null || beat.until < due) this.ctx.timers.set('held', beat.until);
  }

  private waitsForStore(m: Machine): boolean {
    if (!m.registered) return true;
    for (const p of m.placements.values()) if (p.phase === 'planned' && p.job.durableStartTerm === 0) return true;
    return false;
  }

  /** Answers held reports that have nothing left to wait for. */
  releaseHeld(): void {
    if (this.held.length === 0) return;
    const now = this.ctx.now.steady;
    const pendingRound = this.ctx.timers.has('round', this.at(this.ctx.tuning.scheduler.spacing_ms));
    const kept: HeldBeat[] = [];
    for (const h of this.held) {
      const writing = this.waitsForStore(h.machine) && this.writesInFlight > 0;
      const idle = h.idle && h.machine.placements.size === 0;
      if (h.until > now && (idle || writing || (pendingRound && !h.idle))) kept.push(h);
      else this.answerBeat(h);
    }
    this.held = kept;
    if (kept.length > 0) this.ctx.timers.set('held', Math.min(...kept.map((h) => h.until)) as Steady);
  }

  private answerBeat(h: HeldBeat): void {
    if (!this.valid()) return this.ctx.answerWorker(h.req, { status: 503 });
    const m = h.machine;
    const fresh = this.ctx.now.steady - this.watchFreshAt < WATCH_FRESH_MS;
    const all = m.accounted ? compileCommands(this.cluster, m, true) : [];
    const commands: typeof all = [];
    for (const c of all) {
      if (c.op !== 'start') {
        commands.push(c);
        continue;
      }
      const p = this.cluster.findPlacement(m, c.job, c.index);
      if (!p || !fresh || m.seq !== h.seq || !this.mayStart(p.job, m)) continue;
      p.phase = 'sent';
      p.sentSeq = h.seq;
      commands.push(c);
    }
    const answer: WorkerAnswer = { status: 200, token: this.leadership.token, commands };
    this.ctx.answerWorker(h.req, answer);
  }

  /** The last look before a start goes out. */
  private mayStart(job: Job, m: Machine): boolean {
    return (
      job.state === 'accepted' &&
      job.durableState === 'accepted' &&
      job.durableStartTerm > 0 &&
      !job.broken &&
      m.registered
    );
  }

  /** Stops go to the workers at once; starts only ever in answers to reports. */
  sendDirect(): void {
    if (!this.valid()) return;
    const now = this.ctx.now.steady;
    let again = false;
    for (const m of this.cluster.machines.values()) {
      if (!m.accounted || !m.addr || m.session === null || m.deleting) continue;
      const commands = compileCommands(this.cluster, m, false).filter((c) => {
        const p = c.op === 'stop' ? this.cluster.findPlacement(m, c.job, c.index) : undefined;
        return p?.stop !== null && p !== undefined && (p.phase !== 'saving' || p.stop?.graceS === 0);
      });
      if (commands.length === 0) continue;
      again = true;
      if (m.directInFlight) continue;
      m.directInFlight = true;
      const { session } = m;
      this.ctx.worker({ addr: m.addr, token: this.leadership.token, session, commands }, (r) => {
        m.directInFlight = false;
        if (this.stopped || !r.ok || r.value.report.machine !== m.id) return;
        if (this.cluster.machines.get(m.id) === m) this.takeReport(m, r.value.report, false);
      });
    }
    if (again) this.ctx.timers.set('direct', steadyPlus(now, 1000));
  }

  // ---- rounds

  private soonRound(): void {
    const earliest = steadyPlus(this.lastRoundAt, this.ctx.tuning.scheduler.spacing_ms);
    const at = Math.max(earliest, this.ctx.now.steady + 20) as Steady;
    const next = this.ctx.timers.at('round');
    if (next === null || next > at) this.ctx.timers.set('round', at);
  }

  round(): void {
    this.ctx.timers.set('round', this.at(this.ctx.tuning.scheduler.period_ms));
    this.lastRoundAt = this.ctx.now.steady;
    if (!this.valid() || !this.loaded) return;
    this.rounds += 1;
    const result = scheduleRound(this.cluster, (this.seed + this.rounds * 7919) | 0);
    moveToCached(this.cluster);
    this.scaler.consider(result);
    this.flush();
    this.releaseHeld();
  }

  /** Once or twice a second: silence, losses, returns. */
  tend(): void {
    this.ctx.timers.set('fleet', this.at(1000));
    if (!this.valid() || !this.loaded) return;
    const now = this.ctx.now.steady;
    const { leaseMs } = this.ctx.settings.workers;
    const emptyAfter = leaseMs * (1 + DRIFT) + 1000;
    for (const m of this.cluster.machines.values()) {
      // What a silent machine was only meant to get goes elsewhere.
      if (m.phase === 'up' && now - m.lastHeardAt > QUIET_REPORTS * this.ctx.settings.workers.reportMs) {
        for (const p of [...m.placements.values()]) if (p.phase === 'planned') this.cluster.release(p);
      }
      if (m.phase === 'booting' || now - m.lastHeardAt <= emptyAfter) continue;
      if (m.accounted && m.placements.size === 0) continue;
      // Nobody has answered it for longer than its lease, not even an earlier leader: whatever it held is gone.
      // It comes back with a new session, and nothing of the old one counts.
      this.ctx.log('info', 'machine silent for longer than its lease: its tasks are gone', {
        machine: m.id,
        tasks: m.placements.size,
        accounted: m.accounted,
      });
      this.cluster.releaseAll(m);
      if (m.session !== null) {
        m.session = (m.session + 1n) as Session;
        m.seq = 0n as Seq;
      }
      m.accounted = true;
      this.cluster.countUnaccounted();
      this.soonRound();
    }
    this.findSlow(now);
    this.watchNotices(now);
    this.scaler.tend(this.since);
    this.flush();
  }

  /** A machine that takes several times as long for everything is replaced, one at a time. */
  private findSlow(now: Steady): void {
    if (now < this.nextSlowAt) return;
    for (const m of this.cluster.machines.values()) {
      if (m.phase !== 'up' || m.draining !== null || m.deleting) continue;
      if (!m.slowness.isSlow(this.overdue(m, now))) continue;
      m.draining = SLOW;
      this.nextSlowAt = steadyPlus(now, SLOW_PAUSE_MS);
      this.ctx.log('info', 'machine is much slower than others: taking it out of use', { machine: m.id });
      this.soonRound();
      return;
    }
  }

  /** What runs on a machine and has already taken longer than expected. */
  private overdue(m: Machine, now: Steady): Map<JobId, Evidence> {
    const found = new Map<JobId, Evidence>();
    for (const { job, phase, runningSince } of m.placements.values()) {
      // A service runs for as long as its user wants: that says nothing of its machine.
      if (job.spec.shape === 'service') continue;
      if (phase !== 'running' || runningSince === null) continue;
      if ((job.spec.shape === 'gang' && job.spec.tasks > 1) || job.longOn.size >= 2) continue;
      const surprise = Math.log((now - runningSince) / 1000 / this.cluster.estimates.expectS(job.spec));
      if (surprise > (found.get(job.id)?.surprise ?? 0)) {
        found.set(job.id, { surprise, spread: this.cluster.estimates.spread(job.spec) });
        if (surprise > SLOW_FACTOR) job.longOn.add(m.id);
      }
    }
    return found;
  }

  /** Work on a machine about to be taken is saved where that helps; what would end in time is left alone. */
  private watchNotices(now: Steady): void {
    for (const m of this.cluster.machines.values()) {
      if (m.noticeUntil === null && m.draining === null) continue;
      for (const p of [...m.placements.values()]) {
        if (p.stop !== null) continue;
        if (p.phase === 'planned') {
          this.cluster.release(p);
          continue;
        }
        const leftS = m.noticeUntil === null ? 20 : (m.noticeUntil - now) / 1000;
        const expected = this.cluster.estimates.expectS(p.job.spec);
        const remaining = p.runningSince === null ? expected + 5 : expected - (now - p.runningSince) / 1000;
        if (p.phase === 'running' && remaining < leftS * 0.6 && m.draining !== SLOW) continue;
        this.cluster.stopSaving(p);
      }
    }
  }

  // ---- writing

  private register(m: Machine): void {
    this.newMachines.add(m);
    this.ctx.timers.set('flush', this.ctx.now.steady);
  }

  private dropRecord(id: MachineId): void {
    this.dropMachines.add(id);
  }

  /** Writes what must be durable, as many changes to a transaction as the store allows. */
  flush(): void {
    if (!this.valid() || !this.loaded) return;
    const now = this.ctx.now.steady;
    const { txnOps } = this.ctx.settings.store;
    const most = this.mostRanges();
    let urgent = false;
    const due: Job[] = [];
    for (const job of this.cluster.active) {
      const need = job.needsWrite;
      if (need === 'no') {
        if (job.state !== 'accepted' && job.placements.size === 0) this.cluster.active.delete(job);
        continue;
      }
      if (job.writing) continue;
      if (need === 'now') urgent = true;
      else if (now - job.lastWriteAt < LAZY_WRITE_MS) continue;
      due.push(job);
    }
    due.sort((a, b) => Number(b.needsWrite === 'now') - Number(a.needsWrite === 'now'));
    while (due.length > 0 || this.newMachines.size > 0 || this.dropMachines.size > 0) {
      const conditions: Condition[] = [leaderCondition(this.leadership)];
      const changes: Change[] = [];
      const machines: Machine[] = [];
      const drops: MachineId[] = [];
      const snapshots: Snapshot[] = [];
      for (const m of this.newMachines) {
        if (changes.length >= txnOps) break;
        this.newMachines.delete(m);
        if (this.cluster.machines.get(m.id) !== m || m.phase === 'booting' || m.registering || m.registered) continue;
        m.registering = true;
        m.recordedImages = imagesText(m);
        machines.push(m);
        changes.push({
          put: machineKey(m.id),
          value: encodeMachine(machineRecord(m)),
        });
      }
      let bytes = changes.length * 200;
      while (due.length > 0 && changes.length < txnOps) {
        const job = due[0] as Job;
        const done = job.done.pairs(most);
        bytes += 900 + done.length * 14;
        if (bytes > TXN_BYTES && changes.length > 0) break;
        due.shift();
        job.writing = true;
        job.lastWriteAt = now;
        const record = {
          spec: job.spec,
          submittedAt: job.submittedAt,
          state: job.state,
          startTerm: job.startTerm,
          startZone: job.startZone,
          done: job.done,
        };
        snapshots.push({ job, state: job.state, startTerm: job.startTerm, done });
        conditions.push({ key: jobKey(job.id), version: job.version });
        changes.push({ put: jobKey(job.id), value: encodeJob(record, most) });
      }
      if (changes.length > 0 || !urgent) this.addImageHints(changes, txnOps);
      for (const id of this.dropMachines) {
        if (changes.length >= txnOps) break;
        this.dropMachines.delete(id);
        drops.push(id);
        changes.push({ drop: machineKey(id) });
      }
      if (changes.length === 0) break;
      this.write(conditions, changes, machines, drops, snapshots, urgent || machines.length > 0);
    }
  }

  /** Fills a transaction up with machines whose cached images have changed. */
  private addImageHints(changes: Change[], txnOps: number): void {
    for (const m of this.cluster.machines.values()) {
      if (changes.length >= txnOps) return;
      if (!m.registered || m.deleting || imagesText(m) === m.recordedImages) continue;
      if (changes.some((c) => 'put' in c && c.put === machineKey(m.id))) continue;
      m.recordedImages = imagesText(m);
      changes.push({ put: machineKey(m.id), value: encodeMachine(machineRecord(m)) });
    }
  }

  private mostRanges(): number {
    return Math.max(4, Math.floor((this.ctx.settings.store.valueBytes - 2000) / 16));
  }

  private write(
    conditions: Condition[],
    changes: Change[],
    machines: Machine[],
    drops: MachineId[],
    snapshots: Snapshot[],
    urgent: boolean,
  ): void {
    this.writesInFlight += 1;
    this.ctx.store({ op: 'txn', conditions, changes }, urgent ? 1 : 3, (r) => {
      this.writesInFlight -= 1;
      for (const m of machines) m.registering = false;
      for (const s of snapshots) s.job.writing = false;
      if (this.stopped) return;
      if (r.ok && r.value.revision !== undefined) {
        for (const m of machines) m.registered = true;
        for (const s of snapshots) this.written(s, r.value.revision);
      } else {
        for (const m of machines) this.newMachines.add(m);
        for (const id of drops) this.dropMachines.add(id);
        if (!r.ok && r.why !== 'refused') for (const s of snapshots) this.refresh(s.job);
        this.ctx.timers.set('flush', this.at(150));
      }
      this.releaseHeld();
    });
  }

  private written(s: Snapshot, version: Revision): void {
    const { job } = s;
    if (version > job.version) {
      job.version = version;
      job.durableState = s.state;
      job.durableStartTerm = s.startTerm;
      job.durableDone = RangeSet.from(s.done);
    }
    if (job.needsWrite === 'no' && job.state !== 'accepted' && job.placements.size === 0)
      this.cluster.active.delete(job);
    if (job.needsWrite === 'now') this.ctx.timers.set('flush', this.ctx.now.steady);
  }

  /** A write failed or has an unknown outcome: the store tells what holds now. */
  private refresh(job: Job): void {
    job.writing = true;
    this.ctx.store({ op: 'get', key: jobKey(job.id) }, 1, (r) => {
      job.writing = false;
      if (this.stopped || !r.ok || !r.value.item) return;
      this.loadJob(r.value.item);
      this.ctx.timers.set('flush', this.ctx.now.steady);
    });
  }

  /** Counts for display, where this node knows them. */
  counts(id: JobId): { done: number; running: number } | null {
    if (!this.valid() || !this.loaded) return null;
    const job = this.cluster.jobs.get(id);
    return job ? { done: job.done.count, running: job.runningCount() } : null;
  }
}
