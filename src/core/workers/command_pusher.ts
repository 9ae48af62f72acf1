/**
 * Pushes stops to workers at once, and the starts of replicas; all other starts only ever go out in responses to heartbeats. A
 * pushed command can arrive late: a start sent this way counts as possibly there until there is a response, the agent epoch
 * ends or the machine is gone.
 */

import { startKeyOf } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import type { StepContext } from '../step_context.js';
import type { AgentEpoch, Command } from '../types.js';
import type { CommandDelivery } from './command_delivery.js';
import { recordStartSent, stopCommands } from './commands.js';
import { mayStart } from './start_checks.js';

/** Commands that could not be pushed, or had no effect, are tried again after so long. */
const RETRY_INTERVAL_MS = 1000;
/** A machine from which no response came is left alone for so long. */
const UNANSWERED_BACKOFF_MS = 5000;

/** What pushed commands depend on at the leader. */
export interface CommandLeader {
  /** Whether no other controller can be the leader at this moment. */
  isLeaseValid(): boolean;
  /** Whether the view of jobs is recent enough to renew workers' leases on. */
  hasRecentJobView(): boolean;
  /** Whether the view of jobs is recent enough to start tasks on. */
  mayStartTasks(): boolean;
}

/** Pushes the commands that machines are due. */
export class CommandPusher {
  private readonly context: StepContext;

  constructor(
    private readonly cluster: Cluster,
    private readonly delivery: CommandDelivery,
    private readonly leader: CommandLeader,
  ) {
    this.context = cluster.context;
    cluster.timers.commandPush.handle(() => this.pushDueCommands());
  }

  /** Pushes what is due, and sets the timer to look again as long as something is left. */
  pushDueCommands(): void {
    if (!this.leader.isLeaseValid()) return;
    let isAnyLeft = false;
    for (const machine of this.cluster.pendingCommands.machines()) {
      const stops = this.dueStops(machine);
      const replicas = this.plannedReplicas(machine);
      if (stops.length === 0 && replicas.length === 0) continue;
      isAnyLeft = true;
      const { agentEpoch } = machine.messages;
      if (agentEpoch === null || !this.mayPushTo(machine)) continue;
      if (this.delivery.isSaturated) break;
      this.push(machine, agentEpoch, stops, replicas);
    }
    if (isAnyLeft) this.cluster.timers.commandPush.set(this.context.after(RETRY_INTERVAL_MS));
  }

  private mayPushTo(machine: Machine): boolean {
    if (!machine.reconciled || !machine.address || machine.lifecycle.isTerminating) return false;
    return machine.commandChannel.isReady(this.context.now.monotonic);
  }

  /** Returns the stops that the machine has yet to carry out. Without any it is not looked at again. */
  private dueStops(machine: Machine): Command[] {
    const { pendingCommands } = this.cluster;
    if (!pendingCommands.hasStops(machine)) return [];
    const stops = this.cluster.machines.isCurrent(machine) ? stopCommands(this.cluster, machine, isStopDue) : [];
    if (stops.length === 0) pendingCommands.clearStops(machine);
    return stops;
  }

  /** Returns the replicas placed there that are yet to be started. Without any the machine is not looked at again. */
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
    this.delivery.deliver({ machine, agentEpoch, commands, starts: starting.map(startKeyOf) }, ({ kind }) => {
      if (kind === 'unanswered') machine.commandChannel.pause(this.context.after(UNANSWERED_BACKOFF_MS));
    });
  }
}

/** A task that is checkpointing carries out its stop already, unless it is to end without. */
const isStopDue = ({ phase, pendingStop }: Placement): boolean =>
  phase !== 'checkpointing' || pendingStop?.gracePeriodSeconds === 0;
