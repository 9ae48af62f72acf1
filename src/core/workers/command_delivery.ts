/** Pushes commands to workers, and takes in the status in their responses. */
import type { StartKey } from '../jobs/task_keys.js';
import type { Machine } from '../machines/machine.js';
import type { CommandPushResult } from '../messages.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { AgentEpoch, Command, FencingToken } from '../types.js';
import type { Reconciler } from './reconciler.js';

/** When many machines fall silent together, pushes to them must not take all sockets, nor keep the others from theirs. */
const MAX_PUSHES_IN_FLIGHT = 64;

/** Commands for one agent epoch of a machine's worker. */
interface Delivery {
  readonly machine: Machine;
  readonly agentEpoch: AgentEpoch;
  /** None at all still raises the worker's fencing token, and its response is a status of the machine. */
  readonly commands: readonly Command[];
  /** The starts among them: they may still arrive for as long as there is no response. */
  readonly starts: readonly StartKey[];
}

/** What came of a delivery. */
type DeliveryOutcome =
  | { readonly kind: 'executed' }
  /** Not executed: the worker has another agent epoch, or has seen a higher fencing token. */
  | { readonly kind: 'refused'; readonly agentEpoch: AgentEpoch }
  /** No response came: the commands may have been executed, or still be. */
  | { readonly kind: 'unanswered' }
  /** Nothing follows from the response: another machine sent it, the machine is gone, or this term is over. */
  | { readonly kind: 'obsolete' };

/** Delivers commands, and has the status in each response reconciled. */
export class CommandDelivery {
  private readonly context: StepContext;
  private stopped = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly fencingToken: FencingToken,
    private readonly reconciler: Reconciler,
  ) {
    this.context = cluster.context;
  }

  /** The term is over: responses have no effect any more. */
  stop(): void {
    this.stopped = true;
  }

  /** Whether no more may be pushed to any machine before a response comes. */
  get isSaturated(): boolean {
    return this.context.commandPushes.openCount >= MAX_PUSHES_IN_FLIGHT;
  }

  /** Pushes the commands at once; `onOutcome` is called after the status in the response was reconciled. */
  deliver(delivery: Delivery, onOutcome: (outcome: DeliveryOutcome) => void): void {
    const { machine, agentEpoch, commands, starts } = delivery;
    machine.commandChannel.begin(starts);
    this.context.commandPushes.push(
      { address: machine.address, fencingToken: this.fencingToken, agentEpoch, commands },
      (result) => onOutcome(this.processResult(delivery, result)),
    );
  }

  private processResult({ machine, starts }: Delivery, result: CommandPushResult): DeliveryOutcome {
    machine.commandChannel.end();
    if (!result.ok) return { kind: 'unanswered' };
    machine.commandChannel.confirmStarts(starts);
    const { executed, heartbeat } = result.value;
    const isOfMachine = heartbeat.machine === machine.id && this.cluster.machines.isCurrent(machine);
    if (this.stopped || !isOfMachine) return { kind: 'obsolete' };
    this.reconciler.reconcile(machine, heartbeat, 'commandResponse');
    if (!executed) return { kind: 'refused', agentEpoch: heartbeat.agentEpoch };
    this.reconciler.onReachable(machine);
    return { kind: 'executed' };
  }
}
