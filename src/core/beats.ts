import type { Cluster } from './cluster.js';
import type { Context } from './context.js';
import type { Leadership } from './election.js';
import { Machine, startKey, UNRESPONSIVE_AFTER_IGNORED } from './fleet.js';
import type { Job, Placement } from './jobs.js';
import type { WorkerAnswer } from './messages.js';
import { applyReport, compileCommands, isNewer } from './reports.js';
import { type Command, type Seq, type Session, type Steady, steadyPlus, type WorkerReport } from './types.js';

const HOLD_MS = 600;
/** Workers drop an answer that comes after 4 s: an idle one is kept waiting for well less. */
const IDLE_HOLD_SHARE = 0.8;
const IDLE_HOLD_MOST_MS = 2500;
/** A start is based on what was known of jobs at most so long ago: a cancellation may be on record since. */
const WATCH_FRESH_MS = 4000;
/** A worker shows a new token with its next report or the one after; what goes on without it isn't listening. */
const OLD_TOKEN_ANSWERS = 4;
const PROBE_MS = 3000;
/** Reports come a quarter early or late: after so many periods without one it is missed. */
const MISSED_REPORTS = 1.4;
const FENCES_AT_ONCE = 24;
/** When many machines fall silent together, calls to them must not take all sockets, nor keep the others from theirs. */
const DIRECTS_AT_ONCE = 64;
const SILENT_PAUSE_MS = 5000;

export type ReportReply = (answer: WorkerAnswer) => void;

interface HeldReport {
  readonly reply: ReportReply;
  readonly machine: Machine;
  readonly seq: Seq;
  readonly until: Steady;
  /** Kept back only in case work comes up: the machine is empty. */
  readonly idle: boolean;
}

export interface ReportHandlerDependencies {
  isLeaseValid(): boolean;
  /** Whether what is known of jobs is fresh enough to renew workers' leases on. */
  hasRecentJobView(): boolean;
  isLoaded(): boolean;
  /** Whether records are being written that a start may wait for. */
  writesInFlight(): boolean;
  /** When what the store holds of jobs was last known to be current. */
  jobsCurrentAsOf(): Steady;
  registerMachine(m: Machine): void;
  scheduleRoundSoon(): void;
}

/** Reports taken in and answered, whichever node they reached; commands sent directly; fencing. */
export class ReportHandler {
  private readonly ctx: Context;
  private held: HeldReport[] = [];
  private stopped = false;
  private fencing = 0;
  private toFence: Machine[] = [];
  private duplicateCount = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly leadership: Leadership,
    private readonly dependencies: ReportHandlerDependencies,
  ) {
    this.ctx = cluster.ctx;
  }

  stop(): void {
    this.stopped = true;
    for (const h of this.held) h.reply({ status: 503 });
    this.held = [];
    this.toFence = [];
  }

  private at(ms: number): Steady {
    return steadyPlus(this.ctx.now.steady, ms);
  }

  // ---- fencing

  /** Raises every registered worker's token, so that nothing an earlier leader sent can still be carried out. */
  fence(): void {
    for (const m of this.cluster.machines.values()) if (!m.reconciled && m.addr) this.toFence.push(m);
    this.fenceNext();
  }

  /** A few at a time: their own reports raise most tokens meanwhile, and cost nothing more. */
  private fenceNext(): void {
    while (this.fencing < FENCES_AT_ONCE) {
      const m = this.toFence.shift();
      if (!m) return;
      if (m.reconciled || this.cluster.machines.get(m.id) !== m) continue;
      this.fencing += 1;
      this.reconcile(m, 1n as Session, 0, () => {
        this.fencing -= 1;
        if (!this.stopped) this.fenceNext();
      });
    }
  }

  /** An empty direct command: it raises the token, and its answer is a list and a proof that the machine is reached. */
  private reconcile(m: Machine, session: Session, tries: number, done: () => void): void {
    const { token } = this.leadership;
    m.commandInFlight = true;
    this.ctx.worker({ addr: m.addr, token, session, commands: [] }, (r) => {
      m.commandInFlight = false;
      if (this.stopped || this.cluster.machines.get(m.id) !== m) return done();
      if (!r.ok || r.value.report.machine !== m.id) return done();
      this.takeReport(m, r.value.report, false);
      // The session was another: its number is in the answer.
      if (!r.value.executed && tries < 2) return this.reconcile(m, r.value.report.session, tries + 1, done);
      if (r.value.executed) this.onReachable(m);
      done();
    });
  }

  private onReachable(m: Machine): void {
    if (!m.confirmReachable()) return;
    this.ctx.log('info', 'machine heeds commands again', { machine: m.id });
    this.dependencies.scheduleRoundSoon();
  }

  /** What we say doesn't reach it, whatever we hear of it: no new work, until an answer to a direct call proves otherwise. */
  private markUnresponsive(m: Machine): void {
    m.unresponsiveSince = this.ctx.now.steady;
    m.nextProbeAt = this.at(PROBE_MS);
    this.ctx.log('info', 'machine reports but does not heed answers: set aside', { machine: m.id });
    for (const p of [...m.placements.values()]) if (p.phase === 'planned') this.cluster.release(p);
    this.dependencies.scheduleRoundSoon();
  }

  /** Asks machines that were set aside, and such as have yet to show that they are there, for an answer. */
  probe(): void {
    const now = this.ctx.now.steady;
    for (const m of this.cluster.machines.values()) {
      const asks = m.unresponsiveSince !== null || !m.confirmed || this.hasMissedReport(m);
      if (!asks || m.phase !== 'up' || m.nextProbeAt > now) continue;
      if (m.commandInFlight || !m.addr || m.deletionInFlight) continue;
      if (this.ctx.workerCallsOpen >= DIRECTS_AT_ONCE) return;
      m.nextProbeAt = this.at(PROBE_MS);
      this.reconcile(m, m.session ?? (1n as Session), 0, () => {});
    }
  }

  /** A replica's machine that is overdue is asked at once: whether it is gone decides when the replica runs elsewhere. */
  private hasMissedReport(m: Machine): boolean {
    if (this.ctx.now.steady - m.lastSeenAt < MISSED_REPORTS * this.ctx.settings.workers.reportMs) return false;
    for (const { job } of m.placements.values()) if (job.spec.shape === 'service') return true;
    return false;
  }

  // ---- reports

  take(report: WorkerReport, reply: ReportReply): void {
    if (!this.dependencies.isLeaseValid() || !this.dependencies.hasRecentJobView()) return reply({ status: 503 });
    if (report.token > this.leadership.token) return reply({ status: 503 });
    const answer = (): void => reply({ status: 200, token: this.leadership.token, commands: [] });
    if (!this.dependencies.isLoaded()) return answer();
    if (this.cluster.removedMachines.has(report.machine)) return reply({ status: 503 });
    const m = this.cluster.machines.get(report.machine) ?? this.addUnlistedMachine(report);
    if (!m) return answer();
    if (this.isDuplicate(m, report)) return this.dropDuplicate(m, report, reply);
    const old = report.token < this.leadership.token;
    if (old && !m.confirmed && ++m.staleTokenReports > OLD_TOKEN_ANSWERS) return reply({ status: 503 });
    this.noteIgnoredAnswer(m, report, old);
    this.recordSignOfLife(m, report);
    const first = m.firstReportAt === null;
    if (first) {
      m.firstReportAt = this.ctx.now.steady;
      m.idleSince = this.ctx.now.steady;
    }
    if (!m.registered) this.dependencies.registerMachine(m);
    const newer = isNewer(m, report);
    const freed = this.takeReport(m, report, true);
    m.lastReportSeq = report.seq;
    if (!newer || m.seq !== report.seq || m.session !== report.session) return answer();
    const beat: HeldReport = { reply, machine: m, seq: report.seq, until: this.at(HOLD_MS), idle: false };
    if (freed || first) {
      // Room came free: plan at once, so that the answer already carries what starts in it.
      this.dependencies.scheduleRoundSoon();
      this.hold(beat);
    } else if (this.waitsForStore(m)) this.hold(beat);
    else if (this.mayHoldIdle(m, report)) this.hold({ ...beat, until: this.at(this.idleHoldMs()), idle: true });
    else this.answer(beat);
  }

  /** One report is in flight at a time, and numbers rise: whatever isn't newer than the last is a copy or came too late. */
  private isDuplicate(m: Machine, r: WorkerReport): boolean {
    if (m.session === null) return false;
    return r.session < m.session || (r.session === m.session && m.lastReportSeq !== null && r.seq <= m.lastReportSeq);
  }

  /** Nobody waits for its answer; it is no sign of life and moves no lease. */
  private dropDuplicate(m: Machine, report: WorkerReport, reply: ReportReply): void {
    this.duplicateCount += 1;
    this.ctx.log('debug', 'late copy of a report', { machine: m.id, seq: report.seq, copies: this.duplicateCount });
    reply({ status: 503 });
  }

  /** Signs that our last answers have not arrived: an old token after one, or a lease that ran out all the same. */
  private noteIgnoredAnswer(m: Machine, report: WorkerReport, old: boolean): void {
    if (m.firstReportAt === null) return;
    const answeredLately = this.ctx.now.steady - m.leaseRenewedAt < this.ctx.settings.workers.leaseMs / 2;
    if (m.session !== null && report.session > m.session && answeredLately)
      m.ignoredAnswers = UNRESPONSIVE_AFTER_IGNORED;
    else if (old) m.ignoredAnswers += 1;
  }

  private recordSignOfLife(m: Machine, report: WorkerReport): void {
    const { steady } = this.ctx.now;
    m.lastSeenAt = steady;
    m.leaseRenewedAt = steady;
    m.lastReportAt = steady;
    if (report.addr) m.addr = report.addr;
    if (m.phase !== 'booting') return;
    m.phase = 'up';
    this.ctx.log('info', 'machine is up', {
      machine: m.id,
      type: m.typeName,
      zone: m.zone,
      spot: m.spot,
      afterS: Math.round((steady - m.rentedAt) / 1000),
    });
  }

  /**
   * Not in the registry, so nobody has ever sent it a command: its list can hold nothing of ours. But the report may be a
   * late copy from a machine that is long gone: it gets no work before it has shown that it hears us.
   */
  private addUnlistedMachine(report: WorkerReport): Machine | null {
    const type = this.cluster.types.get(report.type);
    if (!type) return null;
    const now = this.ctx.now.steady;
    const m = new Machine(report.machine, type, report.zone, report.spot, report.addr, true, 'up', now);
    this.cluster.machines.set(m.id, m);
    this.ctx.log('info', 'machine reported that nobody had listed', { machine: m.id });
    return m;
  }

  private takeReport(m: Machine, report: WorkerReport, beat: boolean): boolean {
    const { token } = this.leadership;
    const before = m.tokenSeen;
    if (report.token === token && before < token) this.onReachable(m);
    const freed = applyReport(this.cluster, m, report, token, beat);
    if (!beat) m.lastSeenAt = this.ctx.now.steady;
    if (freed) this.dependencies.scheduleRoundSoon();
    if (m.ignoredAnswers >= UNRESPONSIVE_AFTER_IGNORED && m.unresponsiveSince === null) this.markUnresponsive(m);
    return freed;
  }

  // ---- answers

  /**
   * An empty machine's report is answered late on purpose: work that comes up meanwhile starts at once instead of with
   * its next report. Nothing can change on an empty machine that the delay would hide, except a notice.
   */
  private mayHoldIdle(m: Machine, report: WorkerReport): boolean {
    return (
      m.placements.size === 0 &&
      m.exitedTasks.length === 0 &&
      report.token === this.leadership.token &&
      m.draining === null
    );
  }

  private idleHoldMs(): number {
    return Math.min(IDLE_HOLD_MOST_MS, this.ctx.settings.workers.reportMs * IDLE_HOLD_SHARE);
  }

  private hold(beat: HeldReport): void {
    this.held.push(beat);
    const due = this.ctx.timers.at('heldReports');
    if (due === null || beat.until < due) this.ctx.timers.set('heldReports', beat.until);
  }

  private waitsForStore(m: Machine): boolean {
    if (!m.registered) return true;
    for (const p of m.placements.values()) if (p.phase === 'planned' && p.job.durableStartTerm === 0) return true;
    return false;
  }

  /** Answers held reports that have nothing left to wait for. */
  release(): void {
    if (this.held.length === 0) return;
    const now = this.ctx.now.steady;
    const pendingRound = this.ctx.timers.has('round', this.at(this.ctx.tuning.scheduler.spacing_ms + 20));
    const kept: HeldReport[] = [];
    let next = Number.POSITIVE_INFINITY;
    for (const h of this.held) {
      const idle = h.idle && h.machine.placements.size === 0;
      const wait =
        h.until > now &&
        (idle || (pendingRound && !h.idle) || (this.dependencies.writesInFlight() && this.waitsForStore(h.machine)));
      if (wait) {
        kept.push(h);
        if (h.until < next) next = h.until;
      } else this.answer(h);
    }
    this.held = kept;
    if (kept.length > 0) this.ctx.timers.set('heldReports', next as Steady);
  }

  private answer(h: HeldReport): void {
    if (!this.dependencies.isLeaseValid() || !this.dependencies.hasRecentJobView()) return h.reply({ status: 503 });
    const m = h.machine;
    const hasFreshJobView = this.fresh();
    const all = m.reconciled ? compileCommands(this.cluster, m, true) : [];
    const commands: typeof all = [];
    for (const c of all) {
      if (c.op !== 'start') {
        commands.push(c);
        continue;
      }
      const p = this.cluster.findPlacement(m, c.job, c.index);
      if (!p || !hasFreshJobView || m.seq !== h.seq || !this.mayStart(p.job, m)) continue;
      p.phase = 'sent';
      p.sentInReplyTo = h.seq;
      commands.push(c);
    }
    h.reply({ status: 200, token: this.leadership.token, commands });
  }

  /** The last look before a start goes out. */
  private mayStart(job: Job, m: Machine): boolean {
    return (
      job.state === 'accepted' &&
      job.durableState === 'accepted' &&
      job.durableStartTerm > 0 &&
      !job.gangBroken &&
      m.registered &&
      m.unresponsiveSince === null
    );
  }

  private fresh(): boolean {
    return this.ctx.now.steady - this.dependencies.jobsCurrentAsOf() < WATCH_FRESH_MS;
  }

  /**
   * Stops go to the workers at once, and so do starts of replicas; all others only ever in answers to reports. A direct
   * command can arrive late: a start sent this way counts as possibly there until the call is answered, the session ends
   * or the machine is gone.
   */
  sendDirect(): void {
    if (!this.dependencies.isLeaseValid()) return;
    let again = false;
    for (const m of new Set([...this.cluster.machinesWithStops, ...this.cluster.machinesWithStarts])) {
      const stops = this.directStops(m);
      const starts = this.directStarts(m);
      if (stops === 'none') this.cluster.machinesWithStops.delete(m);
      if (starts === 'none') this.cluster.machinesWithStarts.delete(m);
      if (stops === 'none' && starts === 'none') continue;
      again = true;
      if (!m.reconciled || !m.addr || m.session === null || m.deletionInFlight) continue;
      if (m.commandInFlight || m.nextCommandAt > this.ctx.now.steady) continue;
      if (this.ctx.workerCallsOpen >= DIRECTS_AT_ONCE) break;
      const begun = starts === 'none' ? [] : starts;
      const commands = [...(stops === 'none' ? [] : stops), ...begun.map((p) => this.startOf(p, m))];
      if (commands.length > 0) this.command(m, m.session, commands, begun.map(startKey));
    }
    if (again) this.ctx.timers.set('workerCommands', this.at(1000));
  }

  private command(m: Machine, session: Session, commands: readonly Command[], starts: readonly string[]): void {
    m.commandInFlight = true;
    this.ctx.worker({ addr: m.addr, token: this.leadership.token, session, commands }, (r) => {
      m.commandInFlight = false;
      if (!r.ok) m.nextCommandAt = this.at(SILENT_PAUSE_MS);
      else for (const key of starts) m.unconfirmedStarts.delete(key);
      if (this.stopped || !r.ok || r.value.report.machine !== m.id) return;
      if (this.cluster.machines.get(m.id) !== m) return;
      this.takeReport(m, r.value.report, false);
      if (r.value.executed) this.onReachable(m);
    });
  }

  private directStops(m: Machine): Command[] | 'none' {
    if (!this.cluster.machinesWithStops.has(m) || this.cluster.machines.get(m.id) !== m || m.placements.size === 0)
      return 'none';
    const commands = compileCommands(this.cluster, m, false).filter((c) => {
      const p = c.op === 'stop' ? this.cluster.findPlacement(m, c.job, c.index) : undefined;
      return p?.stop !== null && p !== undefined && (p.phase !== 'saving' || p.stop?.graceS === 0);
    });
    return commands.length > 0 ? commands : 'none';
  }

  /** Replicas that may be started there now; 'none' once none waits to be. */
  private directStarts(m: Machine): Placement[] | 'none' {
    if (!this.cluster.machinesWithStarts.has(m) || this.cluster.machines.get(m.id) !== m) return 'none';
    const waiting = [...m.placements.values()].filter((p) => p.job.spec.shape === 'service' && p.phase === 'planned');
    if (waiting.length === 0) return 'none';
    return this.fresh() && this.dependencies.hasRecentJobView() ? waiting.filter((p) => this.mayStart(p.job, m)) : [];
  }

  private startOf(p: Placement, m: Machine): Command {
    p.phase = 'sent';
    p.sentInReplyTo = null;
    m.unconfirmedStarts.add(startKey(p));
    return { op: 'start', job: p.job.id, index: p.index, attempt: p.attempt };
  }
}
