/**
 * Requests machines' statuses when a heartbeat would arrive too late, or would not prove that messages reach the
 * machine.
 */
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { AgentEpoch } from '../types.js';
import type { CommandDelivery } from './command_delivery.js';

/** Maximum number of status requests in flight after a failover. */
const MAX_CONCURRENT_REQUESTS = 24;
/**
 * Maximum number of requests per status. The first response may name another agent epoch, which the second request
 * carries.
 */
const MAX_TRIES = 3;
/** Agent epoch in the first request to a worker whose epoch is unknown. */
const FIRST_AGENT_EPOCH = 1n as AgentEpoch;
/**
 * Number of heartbeat intervals without contact after which a heartbeat counts as missed. Heartbeats arrive up to a
 * quarter of an interval early or late.
 */
const HEARTBEAT_MISSED_AFTER_INTERVALS = 1.4;

/**
 * Requests statuses by delivering empty lists of commands. A request raises the worker's fencing token, so that
 * commands of previous leaders can no longer be executed. The response contains a status and proves that the machine is
 * reachable.
 */
export class StatusRequests {
  private readonly context: StepContext;
  private inFlight = 0;
  private pending: Machine[] = [];
  private stopped = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly delivery: CommandDelivery,
  ) {
    this.context = cluster.context;
  }

  /** Ends the term. No further statuses are requested. */
  stop(): void {
    this.stopped = true;
    this.pending = [];
  }

  /**
   * Requests the status of every unreconciled machine, a few at a time. Most machines are reconciled by their
   * heartbeats meanwhile.
   */
  requestAll(): void {
    for (const machine of this.cluster.machines.values()) {
      if (!machine.reconciled && machine.address && !this.heartbeatWillSuffice(machine)) this.pending.push(machine);
    }
    this.requestNext();
  }

  /**
   * Returns whether the machine needs no request, because recovery is on and the machine has sent this leader a
   * heartbeat. Its next heartbeat will carry this leader's fencing token.
   */
  private heartbeatWillSuffice(machine: Machine): boolean {
    return this.cluster.previousTerms.recovery !== null && machine.messages.firstHeartbeatAt !== null;
  }

  private requestNext(): void {
    while (this.inFlight < MAX_CONCURRENT_REQUESTS) {
      const machine = this.pending.shift();
      if (!machine) return;
      const isNeeded = !machine.reconciled && this.cluster.machines.isCurrent(machine);
      if (!isNeeded || this.heartbeatWillSuffice(machine)) continue;
      this.inFlight += 1;
      this.request(machine, FIRST_AGENT_EPOCH, MAX_TRIES, () => {
        this.inFlight -= 1;
        if (!this.stopped) this.requestNext();
      });
    }
  }

  private request(machine: Machine, agentEpoch: AgentEpoch, triesLeft: number, onDone: () => void): void {
    this.delivery.deliver({ machine, agentEpoch, commands: [] }, (outcome) => {
      if (outcome.kind === 'refused' && triesLeft > 1) {
        this.request(machine, outcome.agentEpoch, triesLeft - 1, onDone);
      } else {
        onDone();
      }
    });
  }

  /**
   * Requests the status of machines that are unresponsive, that no message is known to have reached, or that hold a
   * replica and missed a heartbeat.
   */
  probe(): void {
    const now = this.context.now.monotonic;
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'up' || !machine.reachability.isProbeDue(now) || !this.needsProbe(machine)) continue;
      if (machine.commandChannel.isBusy || !machine.address || machine.lifecycle.isTerminating) continue;
      if (this.delivery.isSaturated) return;
      machine.reachability.recordProbe(now);
      this.request(machine, machine.messages.agentEpoch ?? FIRST_AGENT_EPOCH, MAX_TRIES, () => {});
    }
  }

  private needsProbe(machine: Machine): boolean {
    if (!machine.reachability.isUsable) return true;
    // A replica is replaced only once it is proven that it no longer runs, so its machine is probed early.
    const missedAfterMs = HEARTBEAT_MISSED_AFTER_INTERVALS * this.context.settings.workers.heartbeatIntervalMs;
    return (
      this.context.now.monotonic - machine.messages.lastContactAt >= missedAfterMs && machine.allocations.hasReplica
    );
  }
}
