/**
 * Pushes stops and the starts of replicas to workers without waiting for heartbeats. All other starts are sent only in
 * heartbeat responses. A pushed command can arrive late. A task whose start was pushed therefore counts as possibly on
 * the machine until a response arrives, a status shows a higher fencing token, the agent epoch ends or the machine is
 * removed.
 */

import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import type { StepContext } from '../step_context.js';
import type { AgentEpoch, Command } from '../types.js';
import type { CommandDelivery } from './command_delivery.js';
import { recordStartSent, stopCommands } from './commands.js';
import { mayStart } from './start_checks.js';

/** Delay before commands that could not be pushed, or had no effect, are retried, in milliseconds. */
const RETRY_INTERVAL_MS = 1000;
/** Delay before the next push to a machine that did not respond, in milliseconds. */
const UNANSWERED_BACKOFF_MS = 5000;

/** The leader's state that pushed commands depend on. */
export interface CommandLeader {
  /** Returns whether this controller is the leader and its lease rules out any other leader at this moment. */
  isLeaseValid(): boolean;
  /** Returns whether the view of jobs is recent enough to renew workers' leases. */
  hasRecentJobView(): boolean;
  /** Returns whether the view of jobs is recent enough to start tasks. */
  mayStartTasks(): boolean;
}

/** Pushes pending stops and replica starts to workers. */
export class CommandPusher {
  private readonly context: StepContext;

  constructor(
    private readonly cluster: Cluster,
    private readonly delivery: CommandDelivery,
    private readonly leader: CommandLeader,
  ) {
    this.context = cluster.context;
    cluster.timers.commandPush.setCallback(() => this.pushDueCommands());
  }

  /** Pushes due commands, and sets the retry timer if there were any. */
  pushDueCommands(): void {
    if (!this.leader.isLeaseValid()) return;
    let hasPendingCommands = false;
    for (const machine of this.cluster.pendingCommands.machines()) {
      const stops = this.dueStops(machine);
      const replicas = this.plannedReplicas(machine);
      if (stops.length === 0 && replicas.length === 0) continue;
      hasPendingCommands = true;
      const { agentEpoch } = machine.messages;
      if (agentEpoch === null || !this.mayPushTo(machine)) continue;
      if (this.delivery.isSaturated) break;
      this.push(machine, agentEpoch, stops, replicas);
    }
    if (hasPendingCommands) this.cluster.timers.commandPush.set(this.context.after(RETRY_INTERVAL_MS));
  }

  private mayPushTo(machine: Machine): boolean {
    if (!machine.reconciled || !machine.address || machine.lifecycle.isTerminating) return false;
    return machine.commandChannel.isReady(this.context.now.monotonic);
  }

  /** Returns the stops that the worker has yet to execute. If there are none, clears the machine's pending stops. */
  private dueStops(machine: Machine): Command[] {
    const { pendingCommands } = this.cluster;
    if (!pendingCommands.hasStops(machine)) return [];
    const stops = this.cluster.machines.isCurrent(machine) ? stopCommands(this.cluster, machine, isStopDue) : [];
    if (stops.length === 0) pendingCommands.clearStops(machine);
    return stops;
  }

  /** Returns the machine's replicas that have yet to be started. If there are none, clears its pending starts. */
  private plannedReplicas(machine: Machine): Placement[] {
    const { pendingCommands } = this.cluster;
    if (!pendingCommands.hasStarts(machine)) return [];
    const placements = this.cluster.machines.isCurrent(machine)
      ? [...this.cluster.placements.onMachine(machine).values()]
      : [];
    const planned = placements.filter(({ job, phase }) => job.isService && phase === 'planned');
    if (planned.length === 0) pendingCommands.clearStarts(machine);
    return planned;
  }

  private push(
    machine: Machine,
    agentEpoch: AgentEpoch,
    stops: readonly Command[],
    replicas: readonly Placement[],
  ): void {
    const mayStartAny = this.leader.mayStartTasks() && this.leader.hasRecentJobView();
    const starting = mayStartAny ? replicas.filter(({ job }) => mayStart(job, machine)) : [];
    const commands = [...stops, ...starting.map((placement) => recordStartSent(this.cluster, placement, null))];
    if (commands.length === 0) return;
    this.delivery.deliver({ machine, agentEpoch, commands }, ({ kind }) => {
      if (kind === 'unanswered') machine.commandChannel.pause(this.context.after(UNANSWERED_BACKOFF_MS));
    });
  }
}

/**
 * Returns whether a stop has to be pushed. A checkpointing task is already executing its stop, unless the stop now
 * allows no time for a checkpoint.
 */
const isStopDue = ({ phase, pendingStop }: Placement): boolean =>
  phase !== 'checkpointing' || pendingStop?.gracePeriodSeconds === 0;
