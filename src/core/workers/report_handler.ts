import type { Context } from '../context.js';
import type { Job, Placement } from '../jobs/job.js';
import type { Cluster } from '../leadership/cluster.js';
import type { Leadership } from '../leadership/election.js';
import { Machine, startKey, UNRESPONSIVE_AFTER_IGNORED } from '../machines/machine.js';
import type { WorkerAnswer } from '../messages.js';
import { type Command, type Seq, type Session, type Steady, steadyPlus, type WorkerReport } from '../types.js';
import { applyReport, compileCommands, isNewer } from './report_processing.js';

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
      const machine = this.toFence.shift();
      if (!machine) return;
      if (machine.reconciled || this.cluster.machines.get(machine.id) !== machine) continue;
      this.fencing += 1;
      this.reconcile(machine, 1n as Session, 0, () => {
        this.fencing -= 1;
        if (!this.stopped) this.fenceNext();
      });
    }
  }

  /** An empty direct command: it raises the token, and its answer is a list and a proof that the machine is reached. */
  private reconcile(machine: Machine, session: Session, tries: number, done: () => void): void {
    const { token } = this.leadership;
    machine.commandInFlight = true;
    this.ctx.worker({ addr: machine.addr, token, session, commands: [] }, (result) => {
      machine.commandInFlight = false;
      if (this.stopped || this.cluster.machines.get(machine.id) !== machine) return done();
      if (!result.ok || result.value.report.machine !== machine.id) return done();
      this.takeReport(machine, result.value.report, false);
      // The session was another: its number is in the answer.
      if (!result.value.executed && tries < 2)
        return this.reconcile(machine, result.value.report.session, tries + 1, done);
      if (result.value.executed) this.onReachable(machine);
      done();
    });
  }

  private onReachable(machine: Machine): void {
    if (!machine.confirmReachable()) return;
    this.ctx.log('info', 'machine heeds commands again', { machine: machine.id });
    this.dependencies.scheduleRoundSoon();
  }

  /** What we say doesn't reach it, whatever we hear of it: no new work, until an answer to a direct call proves otherwise. */
  private markUnresponsive(machine: Machine): void {
    machine.unresponsiveSince = this.ctx.now.steady;
    machine.nextProbeAt = this.at(PROBE_MS);
    this.ctx.log('info', 'machine reports but does not heed answers: set aside', { machine: machine.id });
    for (const p of [...machine.placements.values()]) if (p.phase === 'planned') this.cluster.release(p);
    this.dependencies.scheduleRoundSoon();
  }

  /** Asks machines that were set aside, and such as have yet to show that they are there, for an answer. */
  probe(): void {
    const now = this.ctx.now.steady;
    for (const machine of this.cluster.machines.values()) {
      const asks = machine.unresponsiveSince !== null || !machine.confirmed || this.hasMissedReport(machine);
      if (!asks || machine.phase !== 'up' || machine.nextProbeAt > now) continue;
      if (machine.commandInFlight || !machine.addr || machine.deletionInFlight) continue;
      if (this.ctx.workerCallsOpen >= DIRECTS_AT_ONCE) return;
      machine.nextProbeAt = this.at(PROBE_MS);
      this.reconcile(machine, machine.session ?? (1n as Session), 0, () => {});
    }
  }

  /** A replica's machine that is overdue is asked at once: whether it is gone decides when the replica runs elsewhere. */
  private hasMissedReport(machine: Machine): boolean {
    if (this.ctx.now.steady - machine.lastSeenAt < MISSED_REPORTS * this.ctx.settings.workers.reportMs) return false;
    for (const { job } of machine.placements.values()) if (job.spec.shape === 'service') return true;
    return false;
  }

  // ---- reports

  take(report: WorkerReport, reply: ReportReply): void {
    if (!this.dependencies.isLeaseValid() || !this.dependencies.hasRecentJobView()) return reply({ status: 503 });
    if (report.token > this.leadership.token) return reply({ status: 503 });
    const answer = (): void => reply({ status: 200, token: this.leadership.token, commands: [] });
    if (!this.dependencies.isLoaded()) return answer();
    if (this.cluster.removedMachines.has(report.machine)) return reply({ status: 503 });
    const machine = this.cluster.machines.get(report.machine) ?? this.addUnlistedMachine(report);
    if (!machine) return answer();
    if (this.isDuplicate(machine, report)) return this.dropDuplicate(machine, report, reply);
    const old = report.token < this.leadership.token;
    if (old && !machine.confirmed && ++machine.staleTokenReports > OLD_TOKEN_ANSWERS) return reply({ status: 503 });
    this.noteIgnoredAnswer(machine, report, old);
    this.recordSignOfLife(machine, report);
    const first = machine.firstReportAt === null;
    if (first) {
      machine.firstReportAt = this.ctx.now.steady;
      machine.idleSince = this.ctx.now.steady;
    }
    if (!machine.registered) this.dependencies.registerMachine(machine);
    const newer = isNewer(machine, report);
    const freed = this.takeReport(machine, report, true);
    machine.lastReportSeq = report.seq;
    if (!newer || machine.seq !== report.seq || machine.session !== report.session) return answer();
    const beat: HeldReport = { reply, machine: machine, seq: report.seq, until: this.at(HOLD_MS), idle: false };
    if (freed || first) {
      // Room came free: plan at once, so that the answer already carries what starts in it.
      this.dependencies.scheduleRoundSoon();
      this.hold(beat);
    } else if (this.waitsForStore(machine)) this.hold(beat);
    else if (this.mayHoldIdle(machine, report)) this.hold({ ...beat, until: this.at(this.idleHoldMs()), idle: true });
    else this.answer(beat);
  }

  /** One report is in flight at a time, and numbers rise: whatever isn't newer than the last is a copy or came too late. */
  private isDuplicate(machine: Machine, report: WorkerReport): boolean {
    if (machine.session === null) return false;
    return (
      report.session < machine.session ||
      (report.session === machine.session && machine.lastReportSeq !== null && report.seq <= machine.lastReportSeq)
    );
  }

  /** Nobody waits for its answer; it is no sign of life and moves no lease. */
  private dropDuplicate(machine: Machine, report: WorkerReport, reply: ReportReply): void {
    this.duplicateCount += 1;
    this.ctx.log('debug', 'late copy of a report', {
      machine: machine.id,
      seq: report.seq,
      copies: this.duplicateCount,
    });
    reply({ status: 503 });
  }

  /** Signs that our last answers have not arrived: an old token after one, or a lease that ran out all the same. */
  private noteIgnoredAnswer(machine: Machine, report: WorkerReport, old: boolean): void {
    if (machine.firstReportAt === null) return;
    const answeredLately = this.ctx.now.steady - machine.leaseRenewedAt < this.ctx.settings.workers.leaseMs / 2;
    if (machine.session !== null && report.session > machine.session && answeredLately)
      machine.ignoredAnswers = UNRESPONSIVE_AFTER_IGNORED;
    else if (old) machine.ignoredAnswers += 1;
  }

  private recordSignOfLife(machine: Machine, report: WorkerReport): void {
    const { steady } = this.ctx.now;
    machine.lastSeenAt = steady;
    machine.leaseRenewedAt = steady;
    machine.lastReportAt = steady;
    if (report.addr) machine.addr = report.addr;
    if (machine.phase !== 'booting') return;
    machine.phase = 'up';
    this.ctx.log('info', 'machine is up', {
      machine: machine.id,
      type: machine.typeName,
      zone: machine.zone,
      spot: machine.spot,
      afterS: Math.round((steady - machine.rentedAt) / 1000),
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
    const machine = new Machine(report.machine, type, report.zone, report.spot, report.addr, true, 'up', now);
    this.cluster.machines.set(machine.id, machine);
    this.ctx.log('info', 'machine reported that nobody had listed', { machine: machine.id });
    return machine;
  }

  private takeReport(machine: Machine, report: WorkerReport, beat: boolean): boolean {
    const { token } = this.leadership;
    const before = machine.tokenSeen;
    if (report.token === token && before < token) this.onReachable(machine);
    const freed = applyReport(this.cluster, machine, report, token, beat);
    if (!beat) machine.lastSeenAt = this.ctx.now.steady;
    if (freed) this.dependencies.scheduleRoundSoon();
    if (machine.ignoredAnswers >= UNRESPONSIVE_AFTER_IGNORED && machine.unresponsiveSince === null)
      this.markUnresponsive(machine);
    return freed;
  }

  // ---- answers

  /**
   * An empty machine's report is answered late on purpose: work that comes up meanwhile starts at once instead of with
   * its next report. Nothing can change on an empty machine that the delay would hide, except a notice.
   */
  private mayHoldIdle(machine: Machine, report: WorkerReport): boolean {
    return (
      machine.placements.size === 0 &&
      machine.exitedTasks.length === 0 &&
      report.token === this.leadership.token &&
      machine.draining === null
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

  private waitsForStore(machine: Machine): boolean {
    if (!machine.registered) return true;
    for (const p of machine.placements.values()) if (p.phase === 'planned' && p.job.durableStartTerm === 0) return true;
    return false;
  }

  /** Answers held reports that have nothing left to wait for. */
  release(): void {
    if (this.held.length === 0) return;
    const now = this.ctx.now.steady;
    const pendingRound = this.ctx.timers.has('round', this.at(this.ctx.tuning.scheduler.spacing_ms + 20));
    const kept: HeldReport[] = [];
    let next = Number.POSITIVE_INFINITY;
    for (const held of this.held) {
      const idle = held.idle && held.machine.placements.size === 0;
      const wait =
        held.until > now &&
        (idle ||
          (pendingRound && !held.idle) ||
          (this.dependencies.writesInFlight() && this.waitsForStore(held.machine)));
      if (wait) {
        kept.push(held);
        if (held.until < next) next = held.until;
      } else this.answer(held);
    }
    this.held = kept;
    if (kept.length > 0) this.ctx.timers.set('heldReports', next as Steady);
  }

  private answer(held: HeldReport): void {
    if (!this.dependencies.isLeaseValid() || !this.dependencies.hasRecentJobView()) return held.reply({ status: 503 });
    const machine = held.machine;
    const hasFreshJobView = this.fresh();
    const all = machine.reconciled ? compileCommands(this.cluster, machine, true) : [];
    const commands: typeof all = [];
    for (const command of all) {
      if (command.op !== 'start') {
        commands.push(command);
        continue;
      }
      const placement = this.cluster.findPlacement(machine, command.job, command.index);
      if (!placement || !hasFreshJobView || machine.seq !== held.seq || !this.mayStart(placement.job, machine))
        continue;
      placement.phase = 'sent';
      placement.sentInReplyTo = held.seq;
      commands.push(command);
    }
    held.reply({ status: 200, token: this.leadership.token, commands });
  }

  /** The last look before a start goes out. */
  private mayStart(job: Job, machine: Machine): boolean {
    return (
      job.state === 'accepted' &&
      job.durableState === 'accepted' &&
      job.durableStartTerm > 0 &&
      !job.gangBroken &&
      machine.registered &&
      machine.unresponsiveSince === null
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
    for (const machine of new Set([...this.cluster.machinesWithStops, ...this.cluster.machinesWithStarts])) {
      const stops = this.directStops(machine);
      const starts = this.directStarts(machine);
      if (stops === 'none') this.cluster.machinesWithStops.delete(machine);
      if (starts === 'none') this.cluster.machinesWithStarts.delete(machine);
      if (stops === 'none' && starts === 'none') continue;
      again = true;
      if (!machine.reconciled || !machine.addr || machine.session === null || machine.deletionInFlight) continue;
      if (machine.commandInFlight || machine.nextCommandAt > this.ctx.now.steady) continue;
      if (this.ctx.workerCallsOpen >= DIRECTS_AT_ONCE) break;
      const begun = starts === 'none' ? [] : starts;
      const commands = [...(stops === 'none' ? [] : stops), ...begun.map((p) => this.startOf(p, machine))];
      if (commands.length > 0) this.command(machine, machine.session, commands, begun.map(startKey));
    }
    if (again) this.ctx.timers.set('workerCommands', this.at(1000));
  }

  private command(machine: Machine, session: Session, commands: readonly Command[], starts: readonly string[]): void {
    machine.commandInFlight = true;
    this.ctx.worker({ addr: machine.addr, token: this.leadership.token, session, commands }, (result) => {
      machine.commandInFlight = false;
      if (!result.ok) machine.nextCommandAt = this.at(SILENT_PAUSE_MS);
      else for (const key of starts) machine.unconfirmedStarts.delete(key);
      if (this.stopped || !result.ok || result.value.report.machine !== machine.id) return;
      if (this.cluster.machines.get(machine.id) !== machine) return;
      this.takeReport(machine, result.value.report, false);
      if (result.value.executed) this.onReachable(machine);
    });
  }

  private directStops(machine: Machine): Command[] | 'none' {
    if (
      !this.cluster.machinesWithStops.has(machine) ||
      this.cluster.machines.get(machine.id) !== machine ||
      machine.placements.size === 0
    )
      return 'none';
    const commands = compileCommands(this.cluster, machine, false).filter((command) => {
      const placement =
        command.op === 'stop' ? this.cluster.findPlacement(machine, command.job, command.index) : undefined;
      return (
        placement?.stop !== null &&
        placement !== undefined &&
        (placement.phase !== 'saving' || placement.stop?.graceS === 0)
      );
    });
    return commands.length > 0 ? commands : 'none';
  }

  /** Replicas that may be started there now; 'none' once none waits to be. */
  private directStarts(machine: Machine): Placement[] | 'none' {
    if (!this.cluster.machinesWithStarts.has(machine) || this.cluster.machines.get(machine.id) !== machine)
      return 'none';
    const waiting = [...machine.placements.values()].filter(
      (p) => p.job.spec.shape === 'service' && p.phase === 'planned',
    );
    if (waiting.length === 0) return 'none';
    return this.fresh() && this.dependencies.hasRecentJobView()
      ? waiting.filter((p) => this.mayStart(p.job, machine))
      : [];
  }

  private startOf(placement: Placement, machine: Machine): Command {
    placement.phase = 'sent';
    placement.sentInReplyTo = null;
    machine.unconfirmedStarts.add(startKey(placement));
    return { op: 'start', job: placement.job.id, index: placement.index, attempt: placement.attempt };
  }
}
