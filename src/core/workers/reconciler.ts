import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { AgentEpoch, FencingToken, Heartbeat } from '../types.js';
import { reconcileStatus, type StatusOutcome, type StatusSource } from './status_reconciliation.js';

const MAX_CONCURRENT_STATUS_REQUESTS = 24;
/** When many machines fall silent together, calls to them must not take all sockets, nor keep the others from theirs. */
export const MAX_PUSHES_IN_FLIGHT = 64;
const PROBE_INTERVAL_MS = 3000;
/** Reports come a quarter early or late: after so many periods without one it is missed. */
const HEARTBEAT_MISSED_AFTER_INTERVALS = 1.4;
/** The first answer may name another session; the second call then carries it. */
const MAX_STATUS_REQUEST_TRIES = 3;
/** The session of a worker whose session isn't known. */
const FIRST_AGENT_EPOCH = 1n as AgentEpoch;

/** What reconciliation sets off at the leader. */
export interface ReconciliationLeader {
  /** Brings the next planning round forward. */
  schedulePlanningRoundSoon(): void;
  /** Looks up the records of jobs that only workers know of. */
  lookUpSuspectedOrphans(): void;
}

/**
 * Brings what is known of machines in line with what is on them. An empty direct command raises a worker's token, so that
 * nothing an earlier leader sent can still be carried out, and its answer is a list of tasks and a proof that the machine
 * is reached.
 */
export class Reconciler {
  private readonly context: StepContext;
  private inFlight = 0;
  private pending: Machine[] = [];
  private stopped = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly fencingToken: FencingToken,
    private readonly leader: ReconciliationLeader,
  ) {
    this.context = cluster.context;
  }

  stop(): void {
    this.stopped = true;
    this.pending = [];
  }

  /** Asks every registered machine for its list. A few at a time: their own reports raise most tokens meanwhile. */
  reconcileAll(): void {
    for (const machine of this.cluster.machines.values()) {
      if (!machine.reconciled && machine.address && !this.heartbeatWillSuffice(machine)) this.pending.push(machine);
    }
    this.reconcileNext();
  }

  /** One that has reported to this leader shows its token with the next report, and needs no question. */
  private heartbeatWillSuffice(machine: Machine): boolean {
    return this.cluster.previousTerms.recovery !== null && machine.messages.firstHeartbeatAt !== null;
  }

  private reconcileNext(): void {
    while (this.inFlight < MAX_CONCURRENT_STATUS_REQUESTS) {
      const machine = this.pending.shift();
      if (!machine) return;
      if (machine.reconciled || !this.cluster.machines.isCurrent(machine) || this.heartbeatWillSuffice(machine))
        continue;
      this.inFlight += 1;
      this.requestStatus(machine, FIRST_AGENT_EPOCH, MAX_STATUS_REQUEST_TRIES, () => {
        this.inFlight -= 1;
        if (!this.stopped) this.reconcileNext();
      });
    }
  }

  private requestStatus(machine: Machine, agentEpoch: AgentEpoch, tries: number, done: () => void): void {
    machine.commandChannel.begin();
    this.context.pushCommands(
      { address: machine.address, fencingToken: this.fencingToken, agentEpoch, commands: [] },
      (result) => {
        machine.commandChannel.end();
        if (this.stopped || !this.cluster.machines.isCurrent(machine)) return done();
        if (!result.ok || result.value.heartbeat.machine !== machine.id) return done();
        const { executed, heartbeat } = result.value;
        this.reconcile(machine, heartbeat, 'commandResponse');
        if (!executed && tries > 1) return this.requestStatus(machine, heartbeat.agentEpoch, tries - 1, done);
        if (executed) this.onReachable(machine);
        done();
      },
    );
  }

  /** Asks machines for an answer that are unresponsive, not confirmed, or overdue while they hold a replica. */
  probeMachines(): void {
    const now = this.context.now.monotonic;
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'up' || !machine.reachability.isProbeDue(now) || !this.needsProbe(machine)) continue;
      if (machine.commandChannel.isBusy || !machine.address || machine.lifecycle.isTerminating) continue;
      if (this.context.openCommandPushCount >= MAX_PUSHES_IN_FLIGHT) return;
      machine.reachability.recordProbe(this.context.after(PROBE_INTERVAL_MS));
      this.requestStatus(machine, machine.messages.agentEpoch ?? FIRST_AGENT_EPOCH, MAX_STATUS_REQUEST_TRIES, () => {});
    }
  }

  private needsProbe(machine: Machine): boolean {
    if (!machine.reachability.isUsable) return true;
    // Whether the machine of a replica is gone decides when the replica runs elsewhere.
    const overdueMs = HEARTBEAT_MISSED_AFTER_INTERVALS * this.context.settings.workers.heartbeatIntervalMs;
    return this.context.now.monotonic - machine.messages.lastContactAt >= overdueMs && machine.hasReplica();
  }

  /** Applies a status of a machine, from a heartbeat or from the response to a pushed command, and sets off what follows. */
  reconcile(machine: Machine, status: Heartbeat, source: StatusSource): StatusOutcome {
    const showsNewToken = machine.messages.highestFencingToken < this.fencingToken;
    if (showsNewToken && status.fencingToken === this.fencingToken) this.onReachable(machine);
    const outcome = reconcileStatus(this.cluster, machine, status, this.fencingToken, source);
    if (source === 'commandResponse') machine.messages.recordCommandResponse(this.context.now.monotonic);
    if (outcome.kind === 'applied' && outcome.planning === 'due') this.leader.schedulePlanningRoundSoon();
    this.leader.lookUpSuspectedOrphans();
    if (machine.reachability.shouldMarkUnresponsive) this.markUnresponsive(machine);
    return outcome;
  }

  /** Something sent has reached the machine. */
  onReachable(machine: Machine): void {
    if (!machine.reachability.confirm()) return;
    this.context.log('info', 'machine reachable again', { machine: machine.id });
    this.leader.schedulePlanningRoundSoon();
  }

  /** What is sent doesn't reach it, whatever is heard of it: no new work, until an answer to a command proves otherwise. */
  private markUnresponsive(machine: Machine): void {
    machine.reachability.markUnresponsive(this.context.now.monotonic, this.context.after(PROBE_INTERVAL_MS));
    this.context.log('info', 'machine unresponsive', { machine: machine.id });
    this.cluster.placements.releasePlanned(machine);
    this.leader.schedulePlanningRoundSoon();
  }
}
