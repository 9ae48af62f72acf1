import type { Placement } from '../jobs/job.js';
import { type StartKey, startKeyOf } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { AgentEpoch, Command, FencingToken } from '../types.js';
import { recordStartSent, stopCommands } from './commands.js';
import { MAX_PUSHES_IN_FLIGHT, type Reconciler } from './reconciler.js';
import { mayStart } from './start_checks.js';

const RETRY_INTERVAL_MS = 1000;
/** After a command without an answer the machine is left alone for so long. */
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

/**
 * Sends stops to the workers at once, and starts of replicas; all other starts only ever go out in answers to reports. A
 * direct command can arrive late: a start sent this way counts as possibly there until the command is answered, the session
 * ends or the machine is gone.
 */
export class CommandPusher {
  private readonly context: StepContext;
  private stopped = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly fencingToken: FencingToken,
    private readonly reconciler: Reconciler,
    private readonly leader: CommandLeader,
  ) {
    this.context = cluster.context;
  }

  stop(): void {
    this.stopped = true;
  }

  /** Sends what is due, and looks again as long as something is left. */
  pushDueCommands(): void {
    if (!this.leader.isLeaseValid()) return;
    const { machinesWithStops, machinesWithStarts } = this.cluster.pendingCommands;
    let anyLeft = false;
    for (const machine of new Set([...machinesWithStops, ...machinesWithStarts])) {
      const stops = this.dueStops(machine);
      const planned = this.plannedReplicas(machine);
      if (stops.length === 0 && planned.length === 0) continue;
      anyLeft = true;
      const { agentEpoch } = machine.messages;
      if (agentEpoch === null || !this.canPush(machine)) continue;
      if (this.context.openCommandPushCount >= MAX_PUSHES_IN_FLIGHT) break;
      this.pushCommands(machine, agentEpoch, stops, planned);
    }
    if (anyLeft) this.context.timers.set('workerCommands', this.context.after(RETRY_INTERVAL_MS));
  }

  private canPush(machine: Machine): boolean {
    if (!machine.reconciled || !machine.address || machine.lifecycle.isTerminating) return false;
    return machine.commandChannel.isReady(this.context.now.monotonic);
  }

  /** Stops that the machine has yet to carry out. Without any it is not looked at again. */
  private dueStops(machine: Machine): Command[] {
    const { machinesWithStops } = this.cluster.pendingCommands;
    if (!machinesWithStops.has(machine)) return [];
    const isDue = ({ phase, pendingStop }: Placement): boolean =>
      phase !== 'checkpointing' || pendingStop?.gracePeriodSeconds === 0;
    const stops = this.cluster.machines.isCurrent(machine) ? stopCommands(machine, isDue) : [];
    if (stops.length === 0) machinesWithStops.delete(machine);
    return stops;
  }

  /** Replicas that have a place there and are yet to be started. Without any the machine is not looked at again. */
  private plannedReplicas(machine: Machine): Placement[] {
    const { machinesWithStarts } = this.cluster.pendingCommands;
    if (!machinesWithStarts.has(machine)) return [];
    const placements = this.cluster.machines.isCurrent(machine) ? [...machine.placements.values()] : [];
    const planned = placements.filter(({ job, phase }) => job.isService && phase === 'planned');
    if (planned.length === 0) machinesWithStarts.delete(machine);
    return planned;
  }

  private pushCommands(
    machine: Machine,
    session: AgentEpoch,
    stops: readonly Command[],
    planned: readonly Placement[],
  ): void {
    const mayStartAny = this.leader.mayStartTasks() && this.leader.hasRecentJobView();
    const starting = mayStartAny ? planned.filter(({ job }) => mayStart(job, machine)) : [];
    const commands = [...stops, ...starting.map((placement) => this.startCommand(placement))];
    if (commands.length > 0) this.sendCommands(machine, session, commands, starting.map(startKeyOf));
  }

  private startCommand(placement: Placement): Command {
    return recordStartSent(this.cluster, placement, null);
  }

  private sendCommands(
    machine: Machine,
    agentEpoch: AgentEpoch,
    commands: readonly Command[],
    starts: readonly StartKey[],
  ): void {
    machine.commandChannel.begin(starts);
    this.context.pushCommands(
      { address: machine.address, fencingToken: this.fencingToken, agentEpoch, commands },
      (result) => {
        machine.commandChannel.end();
        if (result.ok) machine.commandChannel.confirmStarts(starts);
        else machine.commandChannel.pause(this.context.after(UNANSWERED_BACKOFF_MS));
        if (this.stopped || !result.ok || result.value.heartbeat.machine !== machine.id) return;
        if (!this.cluster.machines.isCurrent(machine)) return;
        this.reconciler.reconcile(machine, result.value.heartbeat, 'commandResponse');
        if (result.value.executed) this.reconciler.onReachable(machine);
      },
    );
  }
}
