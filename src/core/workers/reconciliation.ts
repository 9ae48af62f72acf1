import type { Cluster } from '../leadership/cluster.js';
import type { LeaderState } from '../leadership/leader.js';
import { type Machine, UNRESPONSIVE_AFTER_IGNORED_RESPONSES } from '../machines/machine.js';
import type { StepContext } from '../step_context.js';
import type { AgentEpoch, FencingToken, Heartbeat } from '../types.js';
import { applyReport, type ReportSource } from './report_processing.js';

const MAX_CONCURRENT = 24;
/** When many machines fall silent together, calls to them must not take all sockets, nor keep the others from theirs. */
export const MAX_OPEN_COMMANDS = 64;
const PROBE_PERIOD_MS = 3000;
/** Reports come a quarter early or late: after so many periods without one it is missed. */
const REPORT_MISSED_AFTER = 1.4;
/** The first answer may name another session; the second call then carries it. */
const MAX_TRIES = 3;
/** The session of a worker whose session isn't known. */
const FIRST_SESSION = 1n as AgentEpoch;

/**
 * Brings what is known of machines in line with what is on them. An empty direct command raises a worker's token, so that
 * nothing an earlier leader sent can still be carried out, and its answer is a list of tasks and a proof that the machine
 * is reached.
 */
export class Reconciliation {
  private readonly context: StepContext;
  private inFlight = 0;
  private waiting: Machine[] = [];
  private stopped = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly token: FencingToken,
    private readonly leader: LeaderState,
  ) {
    this.context = cluster.context;
  }

  stop(): void {
    this.stopped = true;
    this.waiting = [];
  }

  /** Asks every registered machine for its list. A few at a time: their own reports raise most tokens meanwhile. */
  reconcileAll(): void {
    for (const machine of this.cluster.machines.values()) {
      if (!machine.reconciled && machine.address && !this.willTell(machine)) this.waiting.push(machine);
    }
    this.reconcileNext();
  }

  /** One that has reported to this leader shows its token with the next report, and needs no question. */
  private willTell(machine: Machine): boolean {
    return this.cluster.previousTerms.recovery !== null && machine.firstHeartbeatAt !== null;
  }

  private reconcileNext(): void {
    while (this.inFlight < MAX_CONCURRENT) {
      const machine = this.waiting.shift();
      if (!machine) return;
      if (machine.reconciled || !this.cluster.isKnown(machine) || this.willTell(machine)) continue;
      this.inFlight += 1;
      this.ask(machine, FIRST_SESSION, MAX_TRIES, () => {
        this.inFlight -= 1;
        if (!this.stopped) this.reconcileNext();
      });
    }
  }

  private ask(machine: Machine, agentEpoch: AgentEpoch, tries: number, done: () => void): void {
    machine.commandInFlight = true;
    this.context.pushCommands(
      { address: machine.address, fencingToken: this.token, agentEpoch, commands: [] },
      (result) => {
        machine.commandInFlight = false;
        if (this.stopped || !this.cluster.isKnown(machine)) return done();
        if (!result.ok || result.value.heartbeat.machine !== machine.id) return done();
        const { executed, heartbeat } = result.value;
        this.take(machine, heartbeat, 'commandAnswer');
        if (!executed && tries > 1) return this.ask(machine, heartbeat.agentEpoch, tries - 1, done);
        if (executed) this.onReachable(machine);
        done();
      },
    );
  }

  /** Asks machines for an answer that are unresponsive, not confirmed, or overdue while they hold a replica. */
  probe(): void {
    const now = this.context.now.monotonic;
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'up' || machine.nextProbeAt > now || !this.needsProbe(machine)) continue;
      if (machine.commandInFlight || !machine.address || machine.terminationInFlight) continue;
      if (this.context.openCommandPushCount >= MAX_OPEN_COMMANDS) return;
      machine.nextProbeAt = this.context.after(PROBE_PERIOD_MS);
      this.ask(machine, machine.agentEpoch ?? FIRST_SESSION, MAX_TRIES, () => {});
    }
  }

  private needsProbe(machine: Machine): boolean {
    if (machine.unresponsiveSince !== null || !machine.reachabilityConfirmed) return true;
    // Whether the machine of a replica is gone decides when the replica runs elsewhere.
    const overdueMs = REPORT_MISSED_AFTER * this.context.settings.workers.heartbeatIntervalMs;
    return this.context.now.monotonic - machine.lastContactAt >= overdueMs && machine.hasReplica();
  }

  /** Takes in a list of tasks, from a report or from the answer to a direct command. Returns whether room came free. */
  take(machine: Machine, report: Heartbeat, source: ReportSource): boolean {
    if (report.fencingToken === this.token && machine.highestFencingToken < this.token) this.onReachable(machine);
    const freed = applyReport(this.cluster, machine, report, this.token, source);
    if (source === 'commandAnswer') machine.lastContactAt = this.context.now.monotonic;
    if (freed) this.leader.schedulePlanningRoundSoon();
    this.leader.lookUpSuspectedOrphans();
    const ignores = machine.ignoredResponses >= UNRESPONSIVE_AFTER_IGNORED_RESPONSES;
    if (ignores && machine.unresponsiveSince === null) this.markUnresponsive(machine);
    return freed;
  }

  /** Something sent has reached the machine. */
  onReachable(machine: Machine): void {
    if (!machine.confirmReachable()) return;
    this.context.log('info', 'machine answers commands again', { machine: machine.id });
    this.leader.schedulePlanningRoundSoon();
  }

  /** What is sent doesn't reach it, whatever is heard of it: no new work, until an answer to a command proves otherwise. */
  private markUnresponsive(machine: Machine): void {
    machine.unresponsiveSince = this.context.now.monotonic;
    machine.nextProbeAt = this.context.after(PROBE_PERIOD_MS);
    this.context.log('info', 'machine reports but does not react to answers: unresponsive', { machine: machine.id });
    this.cluster.releasePlanned(machine);
    this.leader.schedulePlanningRoundSoon();
  }
}
