import { LeaseRenewals } from '../../recovery/index.js';
import { Machine } from '../machines/machine.js';
import type { HeartbeatResponse } from '../messages.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { Command, FencingToken, Heartbeat, MonotonicTime, SequenceNumber } from '../types.js';
import { type BackloggedHeartbeat, BackloggedHeartbeats, type HeartbeatResponder } from './backlogged_heartbeats.js';
import { compileCommands } from './commands.js';
import type { Reconciler } from './reconciler.js';
import { isGangStartDue, mayStart } from './start_checks.js';

/** A report is held for so long at most for records and rounds that its answer waits for. */
const MAX_DEFERRAL_MS = 600;
/** Workers drop an answer that comes after 4 s: the report of an empty machine is held for well less. */
const IDLE_DEFERRAL_SHARE = 0.8;
const MAX_IDLE_DEFERRAL_MS = 2500;
const IMMINENT_ROUND_MS = 20;

interface DeferredResponse {
  readonly reply: HeartbeatResponder;
  readonly machine: Machine;
  readonly seq: SequenceNumber;
  readonly until: MonotonicTime;
  /** Kept back only in case work comes up: the machine is empty. */
  readonly idle: boolean;
}

/** What heartbeats' responses depend on at the leader. */
export interface HeartbeatLeader {
  /** Whether no other controller can be the leader at this moment. */
  isLeaseValid(): boolean;
  /** Whether the view of jobs is recent enough to renew workers' leases on. */
  hasRecentJobView(): boolean;
  /** Whether the view of jobs is recent enough to start tasks on. */
  mayStartTasks(): boolean;
  /** Whether the state of previous terms has been read. */
  isLoaded(): boolean;
  /** Whether records are being written that a start may wait for. */
  hasWritesInFlight(): boolean;
  /** Puts the machine on record. */
  registerMachine(machine: Machine): void;
  /** Brings the next planning round forward. */
  schedulePlanningRoundSoon(): void;
}

const UNAVAILABLE: HeartbeatResponse = { status: 503 };

/** Takes in workers' reports, whichever node they reached, and answers them: at once, or when what they wait for is there. */
export class HeartbeatHandler {
  private readonly context: StepContext;
  private deferred: DeferredResponse[] = [];
  private readonly backlog: BackloggedHeartbeats;
  /** When reports were last answered before it was known which machines there are. */
  readonly renewalsWhileLoading = new LeaseRenewals();
  private duplicates = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly fencingToken: FencingToken,
    private readonly reconciler: Reconciler,
    private readonly leader: HeartbeatLeader,
  ) {
    this.context = cluster.context;
    this.backlog = new BackloggedHeartbeats(this.context, {
      process: (list) => this.processBacklogged(list),
      leaseRenewal: () => (this.mayRenewLeases() ? this.emptyResponse : UNAVAILABLE),
    });
  }

  stop(): void {
    for (const { reply } of this.deferred) reply(UNAVAILABLE);
    this.deferred = [];
    this.backlog.stop();
  }

  /** Whether answers may renew workers' leases. */
  private mayRenewLeases(): boolean {
    return this.leader.isLeaseValid() && this.leader.hasRecentJobView();
  }

  /** Renews the lease and says nothing else. */
  private get emptyResponse(): HeartbeatResponse {
    return { status: 200, fencingToken: this.fencingToken, commands: [] };
  }

  onHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder): void {
    if (!this.mayRenewLeases() || heartbeat.fencingToken > this.fencingToken) {
      respond(UNAVAILABLE);
      return;
    }
    if (!this.leader.isLoaded()) {
      this.renewalsWhileLoading.record(heartbeat.machine, this.context.now.monotonic);
      respond(this.emptyResponse);
      return;
    }
    if (this.cluster.machines.wasRemoved(heartbeat.machine)) {
      respond(UNAVAILABLE);
      return;
    }
    const machine = this.cluster.machines.get(heartbeat.machine) ?? this.addUnlistedMachine(heartbeat);
    if (!machine) {
      respond(this.emptyResponse);
      return;
    }
    if (machine.messages.isDuplicateHeartbeat(heartbeat)) {
      this.dropDuplicate(machine, heartbeat, respond);
      return;
    }
    if (this.ignoresResponses(machine, heartbeat)) {
      respond(UNAVAILABLE);
      return;
    }
    this.countIgnoredResponse(machine, heartbeat);
    const isFirst = this.recordHeartbeat(machine, heartbeat);
    if (!machine.lifecycle.isRegistered) this.leader.registerMachine(machine);
    const list: BackloggedHeartbeat = {
      machine,
      heartbeat,
      respond,
      isFirst,
      deadline: this.context.after(MAX_DEFERRAL_MS),
    };
    if (this.mustJoinBacklog(list)) return;
    this.processStatus(list);
  }

  /** Takes in the list of tasks that came with a report, and answers the report, or holds the answer back. */
  private processStatus({ machine, heartbeat, respond, isFirst }: BackloggedHeartbeat): void {
    const newer = machine.messages.isNewer(heartbeat);
    const freed = this.reconciler.reconcile(machine, heartbeat, 'report');
    machine.messages.recordHeartbeatSequence(heartbeat.sequence);
    if (respond === null) return;
    const taken = newer && machine.messages.isLatest(heartbeat);
    if (taken) this.respondOrDefer(machine, heartbeat, respond, freed || isFirst);
    else respond(this.emptyResponse);
  }

  /** Once everything is certain, no list has to wait for its turn. */
  private mustJoinBacklog(list: BackloggedHeartbeat): boolean {
    const { recovery } = this.cluster.previousTerms;
    if (!recovery || recovery.isFinished || list.heartbeat.fencingToken !== this.fencingToken) return false;
    const waits = this.backlog.mustWait(list);
    recovery.recordBacklogLength(this.backlog.size);
    return waits;
  }

  processBacklog(): void {
    this.backlog.onTimer();
  }

  private processBacklogged(list: BackloggedHeartbeat): void {
    if (this.mayRenewLeases() && this.cluster.machines.isCurrent(list.machine)) this.processStatus(list);
    else list.respond?.(UNAVAILABLE);
  }

  private respondOrDefer(machine: Machine, report: Heartbeat, reply: HeartbeatResponder, roomCameFree: boolean): void {
    const held = { reply, machine, seq: report.sequence, until: this.context.after(MAX_DEFERRAL_MS), idle: false };
    if (roomCameFree) {
      // Planned at once, so that the answer already carries what starts in the room.
      this.leader.schedulePlanningRoundSoon();
      this.defer(held);
    } else if (this.awaitsDurableRecords(machine)) {
      this.defer(held);
    } else if (this.mayDeferIdle(machine, report)) {
      this.defer({ ...held, until: this.context.after(this.idleDeferralMs()), idle: true });
    } else {
      this.sendResponse(held);
    }
  }

  /** Nobody waits for the answer to a duplicate; it is no sign of life and moves no lease. */
  private dropDuplicate(machine: Machine, report: Heartbeat, reply: HeartbeatResponder): void {
    this.duplicates += 1;
    this.context.log('debug', 'duplicate of a report', {
      machine: machine.id,
      seq: report.sequence,
      duplicates: this.duplicates,
    });
    reply(UNAVAILABLE);
  }

  private hasStaleToken(report: Heartbeat): boolean {
    return report.fencingToken < this.fencingToken;
  }

  /** A machine that may be long gone, and goes on to show an old token, is not answered any more. */
  private ignoresResponses(machine: Machine, report: Heartbeat): boolean {
    return this.hasStaleToken(report) && machine.reachability.recordStaleToken();
  }

  /** Signs that the last answers have not arrived: an old token after one, or a lease that ran out all the same. */
  private countIgnoredResponse(machine: Machine, report: Heartbeat): void {
    const { messages, reachability } = machine;
    if (messages.firstHeartbeatAt === null) return;
    const sinceRenewalMs = this.context.now.monotonic - messages.leaseRenewedAt;
    const answeredLately = sinceRenewalMs < this.context.settings.workers.leaseMs / 2;
    if (messages.beginsNewEpoch(report) && answeredLately) reachability.recordLostResponses();
    else if (this.hasStaleToken(report)) reachability.recordIgnoredResponse();
  }

  /** Returns whether it is the machine's first report to this leader. */
  private recordHeartbeat(machine: Machine, report: Heartbeat): boolean {
    const { monotonic } = this.context.now;
    const isFirst = machine.messages.recordHeartbeat(monotonic);
    machine.learnAddress(report.address);
    if (machine.phase === 'booting') this.onMachineUp(machine);
    if (isFirst) machine.idleSince = monotonic;
    return isFirst;
  }

  private onMachineUp(machine: Machine): void {
    machine.lifecycle.markUp();
    const { monotonic } = this.context.now;
    if (machine.lifecycle.isProvisionedByThisLeader) {
      this.cluster.bootTimeEstimator.recordBoot(
        machine.type,
        machine.zone,
        machine.lifecycle.ageSeconds(monotonic),
        monotonic,
      );
    }
    this.context.log('info', 'machine is up', {
      machine: machine.id,
      type: machine.typeName,
      zone: machine.zone,
      spot: machine.spot,
      afterS: Math.round(machine.lifecycle.ageSeconds(monotonic)),
    });
  }

  /**
   * Not in the registry, so nobody has ever sent it a command: its list can hold nothing of ours. But the report may be a
   * late copy from a machine that is long gone: it gets no work before it has shown that it hears this node.
   */
  private addUnlistedMachine({ machine: id, type: typeName, zone, spot, address }: Heartbeat): Machine | null {
    const type = this.cluster.machineTypes.get(typeName);
    if (!type) return null;
    const now = this.context.now.monotonic;
    const machine = new Machine({ id, type, zone, spot, address, reconciled: true, phase: 'up', now });
    this.cluster.machines.add(machine);
    this.cluster.previousTerms.recovery?.onUnregisteredMachine();
    this.context.log('info', 'report of a machine that was not listed', { machine: id });
    return machine;
  }

  // ---- answers

  /**
   * An empty machine's report is answered late on purpose: work that comes up meanwhile starts at once instead of with
   * its next report. Nothing can change on an empty machine that the delay would hide, except a notice.
   */
  private mayDeferIdle(machine: Machine, report: Heartbeat): boolean {
    const hasNothing = machine.isEmpty && machine.exitedTasks.length === 0;
    return hasNothing && report.fencingToken === this.fencingToken && !machine.cordon.isDraining;
  }

  private idleDeferralMs(): number {
    return Math.min(MAX_IDLE_DEFERRAL_MS, this.context.settings.workers.heartbeatIntervalMs * IDLE_DEFERRAL_SHARE);
  }

  private defer(report: DeferredResponse): void {
    this.deferred.push(report);
    this.context.timers.bringForward('heldReports', report.until);
  }

  private awaitsDurableRecords(machine: Machine): boolean {
    if (!machine.lifecycle.isRegistered) return true;
    for (const { phase, job } of machine.placements.values()) {
      if (phase === 'planned' && !job.isStartDurable(machine.zone)) return true;
    }
    return false;
  }

  /** Answers held reports that have nothing left to wait for. */
  releaseDeferred(): void {
    if (this.deferred.length === 0) return;
    const roundSoonMs = this.context.tuning.scheduler.spacing_ms + IMMINENT_ROUND_MS;
    const isRoundSoon = this.context.timers.isDueBy('round', this.context.after(roundSoonMs));
    const kept: DeferredResponse[] = [];
    let next: MonotonicTime | null = null;
    for (const report of this.deferred) {
      if (!this.mustStayDeferred(report, isRoundSoon)) {
        this.sendResponse(report);
        continue;
      }
      kept.push(report);
      if (next === null || report.until < next) next = report.until;
    }
    this.deferred = kept;
    if (next !== null) this.context.timers.set('heldReports', next);
  }

  private mustStayDeferred({ until, idle, machine }: DeferredResponse, isRoundSoon: boolean): boolean {
    if (until <= this.context.now.monotonic) return false;
    if (idle && machine.placements.size === 0) return true;
    if (isRoundSoon && !idle) return true;
    return this.leader.hasWritesInFlight() && this.awaitsDurableRecords(machine);
  }

  private sendResponse({ reply, machine, seq }: DeferredResponse): void {
    if (!this.mayRenewLeases()) {
      reply(UNAVAILABLE);
      return;
    }
    const all = machine.reconciled ? compileCommands(this.cluster, machine) : [];
    const mayStartTasks = this.leader.mayStartTasks() && machine.messages.latestSequence === seq;
    const commands = all.filter((command) => {
      if (command.op !== 'start') return true;
      return mayStartTasks && this.markSent(machine, command, seq);
    });
    reply({ status: 200, fencingToken: this.fencingToken, commands });
  }

  /** Notes that a start goes out; returns false where it must not. */
  private markSent(machine: Machine, command: Command, seq: SequenceNumber): boolean {
    const placement = this.cluster.placements.find(machine, command.job, command.index);
    if (!placement || !mayStart(placement.job, machine)) return false;
    if (placement.job.isGang && placement.phase === 'planned' && !isGangStartDue(this.cluster, placement)) return false;
    placement.phase = 'sent';
    placement.sentInResponseTo = seq;
    this.cluster.previousTerms.onTaskStarted();
    return true;
  }
}
