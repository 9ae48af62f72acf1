/** Asks machines for their status, where a heartbeat can't be waited for or doesn't prove enough. */
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { AgentEpoch } from '../types.js';
import type { CommandDelivery } from './command_delivery.js';

/** So many machines are asked at a time after a failover. */
const MAX_CONCURRENT_REQUESTS = 24;
/** The first response may name another agent epoch; the second request then carries it. */
const MAX_TRIES = 3;
/** The epoch that is tried for a worker whose epoch isn't known. */
const FIRST_AGENT_EPOCH = 1n as AgentEpoch;
/** Heartbeats come a quarter early or late: after so many intervals without one it is missed. */
const HEARTBEAT_MISSED_AFTER_INTERVALS = 1.4;

/**
 * A request is an empty delivery of commands. It raises the worker's fencing token, so that nothing an earlier leader sent can
 * still be executed; its response is a status of the machine, and proves that the machine is reached.
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

  /** The term is over: nothing more is asked. */
  stop(): void {
    this.stopped = true;
    this.pending = [];
  }

  /** Asks every machine that isn't reconciled, a few at a time: meanwhile the heartbeats of most do the same. */
  requestAll(): void {
    for (const machine of this.cluster.machines.values()) {
      if (!machine.reconciled && machine.address && !this.heartbeatWillSuffice(machine)) this.pending.push(machine);
    }
    this.requestNext();
  }

  /** A machine that has sent this leader a heartbeat shows its token with the next one, and needs no request. */
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
    this.delivery.deliver({ machine, agentEpoch, commands: [], starts: [] }, (outcome) => {
      if (outcome.kind === 'refused' && triesLeft > 1) {
        this.request(machine, outcome.agentEpoch, triesLeft - 1, onDone);
      } else {
        onDone();
      }
    });
  }

  /** Asks machines that are unresponsive, that nothing is known to have reached, or that miss heartbeats with a replica. */
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
    // Whether the machine of a replica is gone decides when the replica runs elsewhere.
    const missedAfterMs = HEARTBEAT_MISSED_AFTER_INTERVALS * this.context.settings.workers.heartbeatIntervalMs;
    return (
      this.context.now.monotonic - machine.messages.lastContactAt >= missedAfterMs && machine.allocations.hasReplica
    );
  }
}
