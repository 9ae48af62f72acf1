import { LeaseRenewals } from '../../recovery/index.js';
import type { Cluster } from '../leadership/cluster.js';
import type { LeaderState } from '../leadership/leader.js';
import { Machine, UNRESPONSIVE_AFTER_IGNORED_RESPONSES } from '../machines/machine.js';
import type { HeartbeatResponse } from '../messages.js';
import type { StepContext } from '../step_context.js';
import type { Command, FencingToken, Heartbeat, MonotonicTime, SequenceNumber } from '../types.js';
import { compileCommands } from './commands.js';
import type { Reconciliation } from './reconciliation.js';
import { isNewer } from './report_processing.js';
import { isGangStartDue, mayStart } from './start_checks.js';
import { type ReportReply, type UnreadList, UnreadLists } from './unread_lists.js';

/** A report is held for so long at most for records and rounds that its answer waits for. */
const HOLD_MS = 600;
/** Workers drop an answer that comes after 4 s: the report of an empty machine is held for well less. */
const IDLE_HOLD_SHARE = 0.8;
const MAX_IDLE_HOLD_MS = 2500;
const ROUND_SOON_MS = 20;
/** A worker shows a new token with its next report or the one after; what goes on without it isn't listening. */
const MAX_STALE_TOKEN_REPORTS = 4;

interface HeldReport {
  readonly reply: ReportReply;
  readonly machine: Machine;
  readonly seq: SequenceNumber;
  readonly until: MonotonicTime;
  /** Kept back only in case work comes up: the machine is empty. */
  readonly idle: boolean;
}

const UNAVAILABLE: HeartbeatResponse = { status: 503 };

/** Takes in workers' reports, whichever node they reached, and answers them: at once, or when what they wait for is there. */
export class ReportHandler {
  private readonly context: StepContext;
  private held: HeldReport[] = [];
  private readonly unreadLists: UnreadLists;
  /** When reports were last answered before it was known which machines there are. */
  readonly renewedWhileLoading = new LeaseRenewals();
  private duplicates = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly token: FencingToken,
    private readonly reconciliation: Reconciliation,
    private readonly leader: LeaderState,
  ) {
    this.context = cluster.context;
    this.unreadLists = new UnreadLists(this.context, {
      take: (list) => this.takeWaiting(list),
      renewal: () => (this.mayAnswer() ? this.emptyAnswer : UNAVAILABLE),
    });
  }

  stop(): void {
    for (const { reply } of this.held) reply(UNAVAILABLE);
    this.held = [];
    this.unreadLists.stop();
  }

  /** Whether answers may renew workers' leases. */
  private mayAnswer(): boolean {
    return this.leader.isLeaseValid() && this.leader.hasRecentJobView();
  }

  /** Renews the lease and says nothing else. */
  private get emptyAnswer(): HeartbeatResponse {
    return { status: 200, fencingToken: this.token, commands: [] };
  }

  onReport(report: Heartbeat, reply: ReportReply): void {
    if (!this.mayAnswer() || report.fencingToken > this.token) {
      reply(UNAVAILABLE);
      return;
    }
    if (!this.leader.isLoaded()) {
      this.renewedWhileLoading.record(report.machine, this.context.now.monotonic);
      reply(this.emptyAnswer);
      return;
    }
    if (this.cluster.removedMachines.has(report.machine)) {
      reply(UNAVAILABLE);
      return;
    }
    const machine = this.cluster.machines.get(report.machine) ?? this.addUnlisted(report);
    if (!machine) {
      reply(this.emptyAnswer);
      return;
    }
    if (isDuplicate(machine, report)) {
      this.dropDuplicate(machine, report, reply);
      return;
    }
    if (this.isNotListening(machine, report)) {
      reply(UNAVAILABLE);
      return;
    }
    this.noteIgnoredAnswer(machine, report);
    const isFirst = this.recordSignOfLife(machine, report);
    if (!machine.registered) this.leader.registerMachine(machine);
    const list: UnreadList = { machine, report, reply, isFirst, until: this.context.after(HOLD_MS) };
    if (this.mustWaitInBacklog(list)) return;
    this.takeList(list);
  }

  /** Takes in the list of tasks that came with a report, and answers the report, or holds the answer back. */
  private takeList({ machine, report, reply, isFirst }: UnreadList): void {
    const newer = isNewer(machine, report);
    const freed = this.reconciliation.take(machine, report, 'report');
    machine.lastHeartbeatSequence = report.sequence;
    if (reply === null) return;
    const taken = newer && machine.sequence === report.sequence && machine.agentEpoch === report.agentEpoch;
    if (taken) this.answerOrHold(machine, report, reply, freed || isFirst);
    else reply(this.emptyAnswer);
  }

  /** Once everything is certain, no list has to wait for its turn. */
  private mustWaitInBacklog(list: UnreadList): boolean {
    const { recovery } = this.cluster.previousTerms;
    if (!recovery || recovery.isFinished || list.report.fencingToken !== this.token) return false;
    const waits = this.unreadLists.mustWait(list);
    recovery.recordBacklogLength(this.unreadLists.size);
    return waits;
  }

  takeBacklog(): void {
    this.unreadLists.onTimer();
  }

  private takeWaiting(list: UnreadList): void {
    if (this.mayAnswer() && this.cluster.isKnown(list.machine)) this.takeList(list);
    else list.reply?.(UNAVAILABLE);
  }

  private answerOrHold(machine: Machine, report: Heartbeat, reply: ReportReply, roomCameFree: boolean): void {
    const held = { reply, machine, seq: report.sequence, until: this.context.after(HOLD_MS), idle: false };
    if (roomCameFree) {
      // Planned at once, so that the answer already carries what starts in the room.
      this.leader.schedulePlanningRoundSoon();
      this.hold(held);
    } else if (this.waitsForRecords(machine)) {
      this.hold(held);
    } else if (this.mayHoldIdle(machine, report)) {
      this.hold({ ...held, until: this.context.after(this.idleHoldMs()), idle: true });
    } else {
      this.answer(held);
    }
  }

  /** Nobody waits for the answer to a duplicate; it is no sign of life and moves no lease. */
  private dropDuplicate(machine: Machine, report: Heartbeat, reply: ReportReply): void {
    this.duplicates += 1;
    this.context.log('debug', 'duplicate of a report', {
      machine: machine.id,
      seq: report.sequence,
      duplicates: this.duplicates,
    });
    reply(UNAVAILABLE);
  }

  private isStale(report: Heartbeat): boolean {
    return report.fencingToken < this.token;
  }

  /** A machine that may be long gone, and goes on to show an old token, is not answered any more. */
  private isNotListening(machine: Machine, report: Heartbeat): boolean {
    if (!this.isStale(report) || machine.reachabilityConfirmed) return false;
    machine.staleTokenHeartbeats += 1;
    return machine.staleTokenHeartbeats > MAX_STALE_TOKEN_REPORTS;
  }

  /** Signs that the last answers have not arrived: an old token after one, or a lease that ran out all the same. */
  private noteIgnoredAnswer(machine: Machine, report: Heartbeat): void {
    if (machine.firstHeartbeatAt === null) return;
    const answeredLately =
      this.context.now.monotonic - machine.leaseRenewedAt < this.context.settings.workers.leaseMs / 2;
    const isNewSession = machine.agentEpoch !== null && report.agentEpoch > machine.agentEpoch;
    if (isNewSession && answeredLately) machine.ignoredResponses = UNRESPONSIVE_AFTER_IGNORED_RESPONSES;
    else if (this.isStale(report)) machine.ignoredResponses += 1;
  }

  /** Returns whether it is the machine's first report to this leader. */
  private recordSignOfLife(machine: Machine, report: Heartbeat): boolean {
    const { monotonic } = this.context.now;
    machine.lastContactAt = monotonic;
    machine.leaseRenewedAt = monotonic;
    machine.lastHeartbeatAt = monotonic;
    if (report.address) machine.address = report.address;
    if (machine.phase === 'booting') this.onUp(machine);
    if (machine.firstHeartbeatAt !== null) return false;
    machine.firstHeartbeatAt = monotonic;
    machine.idleSince = monotonic;
    return true;
  }

  private onUp(machine: Machine): void {
    machine.phase = 'up';
    const { monotonic } = this.context.now;
    if (machine.provisionedByThisLeader) {
      this.cluster.bootTimeEstimator.recordBoot(machine.type, machine.zone, machine.ageSeconds(monotonic), monotonic);
    }
    this.context.log('info', 'machine is up', {
      machine: machine.id,
      type: machine.typeName,
      zone: machine.zone,
      spot: machine.spot,
      afterS: Math.round(machine.ageSeconds(monotonic)),
    });
  }

  /**
   * Not in the registry, so nobody has ever sent it a command: its list can hold nothing of ours. But the report may be a
   * late copy from a machine that is long gone: it gets no work before it has shown that it hears this node.
   */
  private addUnlisted({ machine: id, type: typeName, zone, spot, address }: Heartbeat): Machine | null {
    const type = this.cluster.machineTypes.get(typeName);
    if (!type) return null;
    const now = this.context.now.monotonic;
    const machine = new Machine({ id, type, zone, spot, address, reconciled: true, phase: 'up', now });
    this.cluster.machines.set(id, machine);
    this.cluster.previousTerms.recovery?.onUnregisteredMachine();
    this.context.log('info', 'report of a machine that was not listed', { machine: id });
    return machine;
  }

  // ---- answers

  /**
   * An empty machine's report is answered late on purpose: work that comes up meanwhile starts at once instead of with
   * its next report. Nothing can change on an empty machine that the delay would hide, except a notice.
   */
  private mayHoldIdle(machine: Machine, report: Heartbeat): boolean {
    const hasNothing = machine.isEmpty && machine.exitedTasks.length === 0;
    return hasNothing && report.fencingToken === this.token && machine.drainReason === null;
  }

  private idleHoldMs(): number {
    return Math.min(MAX_IDLE_HOLD_MS, this.context.settings.workers.heartbeatIntervalMs * IDLE_HOLD_SHARE);
  }

  private hold(report: HeldReport): void {
    this.held.push(report);
    this.context.timers.bringForward('heldReports', report.until);
  }

  private waitsForRecords(machine: Machine): boolean {
    if (!machine.registered) return true;
    for (const { phase, job } of machine.placements.values()) {
      if (phase === 'planned' && !job.isStartDurable(machine.zone)) return true;
    }
    return false;
  }

  /** Answers held reports that have nothing left to wait for. */
  releaseHeld(): void {
    if (this.held.length === 0) return;
    const roundSoonMs = this.context.tuning.scheduler.spacing_ms + ROUND_SOON_MS;
    const isRoundSoon = this.context.timers.isDueBy('round', this.context.after(roundSoonMs));
    const kept: HeldReport[] = [];
    let next: MonotonicTime | null = null;
    for (const report of this.held) {
      if (!this.mustWait(report, isRoundSoon)) {
        this.answer(report);
        continue;
      }
      kept.push(report);
      if (next === null || report.until < next) next = report.until;
    }
    this.held = kept;
    if (next !== null) this.context.timers.set('heldReports', next);
  }

  private mustWait({ until, idle, machine }: HeldReport, isRoundSoon: boolean): boolean {
    if (until <= this.context.now.monotonic) return false;
    if (idle && machine.placements.size === 0) return true;
    if (isRoundSoon && !idle) return true;
    return this.leader.hasWritesInFlight() && this.waitsForRecords(machine);
  }

  private answer({ reply, machine, seq }: HeldReport): void {
    if (!this.mayAnswer()) {
      reply(UNAVAILABLE);
      return;
    }
    const all = machine.reconciled ? compileCommands(this.cluster, machine) : [];
    const mayStartTasks = this.leader.mayStartTasks() && machine.sequence === seq;
    const commands = all.filter((command) => {
      if (command.op !== 'start') return true;
      return mayStartTasks && this.markSent(machine, command, seq);
    });
    reply({ status: 200, fencingToken: this.token, commands });
  }

  /** Notes that a start goes out; returns false where it must not. */
  private markSent(machine: Machine, command: Command, seq: SequenceNumber): boolean {
    const placement = this.cluster.findPlacement(machine, command.job, command.index);
    if (!placement || !mayStart(placement.job, machine)) return false;
    if (placement.job.isGang && placement.phase === 'planned' && !isGangStartDue(this.cluster, placement)) return false;
    placement.phase = 'sent';
    placement.sentInResponseTo = seq;
    this.cluster.previousTerms.onTaskStarted();
    return true;
  }
}

/** One report is in flight at a time, and numbers rise: whatever isn't newer than the last is a copy or came too late. */
function isDuplicate({ agentEpoch, lastHeartbeatSequence }: Machine, report: Heartbeat): boolean {
  if (agentEpoch === null) return false;
  if (report.agentEpoch !== agentEpoch) return report.agentEpoch < agentEpoch;
  return lastHeartbeatSequence !== null && report.sequence <= lastHeartbeatSequence;
}
