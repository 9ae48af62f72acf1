/** Pushes commands to workers, and passes the statuses in their responses on for reconciliation. */
import type { PushedStart } from '../machines/command_channel.js';
import type { Machine } from '../machines/machine.js';
import type { CommandPushResult } from '../messages.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { AgentEpoch, Command, FencingToken } from '../types.js';
import type { FencingTokens } from './fencing_tokens.js';
import type { Reconciler } from './reconciler.js';

/**
 * Maximum number of pushes in flight. When many machines become unreachable at once, pushes to them must not use up all
 * sockets and block pushes to the other machines.
 */
const MAX_PUSHES_IN_FLIGHT = 64;

/** Commands for one agent epoch of a machine's worker. */
interface Delivery {
  readonly machine: Machine;
  readonly agentEpoch: AgentEpoch;
  /** An empty list still raises the worker's fencing token, and the response still contains a status of the machine. */
  readonly commands: readonly Command[];
}

/** A delivery that was sent. */
interface SentDelivery {
  readonly machine: Machine;
  /** The starts among the commands. Until a response arrives, they may still reach the worker. */
  readonly starts: readonly PushedStart[];
}

type DeliveryOutcome =
  | { readonly kind: 'executed' }
  /** Not executed, because the worker has another agent epoch or has seen a higher fencing token. */
  | { readonly kind: 'refused'; readonly agentEpoch: AgentEpoch }
  /** No response arrived. The commands may have been executed, or may still be. */
  | { readonly kind: 'unanswered' }
  /** The status in the response is ignored: another machine sent it, the machine was removed, or this term is over. */
  | { readonly kind: 'obsolete' };

/** Delivers commands to workers, and passes the status in each response to the reconciler. */
export class CommandDelivery {
  private readonly context: StepContext;
  private stopped = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly tokens: FencingTokens,
    private readonly reconciler: Reconciler,
  ) {
    this.context = cluster.context;
  }

  /** Ends the term. Statuses in later responses are ignored. */
  stop(): void {
    this.stopped = true;
  }

  /** Whether the limit of pushes in flight is reached, so that no more may be pushed to any machine for now. */
  get isSaturated(): boolean {
    return this.context.commandPushes.openCount >= MAX_PUSHES_IN_FLIGHT;
  }

  /** Pushes the commands at once. Calls `onOutcome` after the status in the response, if any, was reconciled. */
  deliver(delivery: Delivery, onOutcome: (outcome: DeliveryOutcome) => void): void {
    const { machine, agentEpoch, commands } = delivery;
    const fencingToken = this.tokens.current(machine);
    const starts = startsIn(commands, fencingToken);
    machine.commandChannel.begin(starts);
    this.context.commandPushes.push({ address: machine.address, fencingToken, agentEpoch, commands }, (result) =>
      onOutcome(this.processResult({ machine, starts }, result)),
    );
  }

  private processResult({ machine, starts }: SentDelivery, result: CommandPushResult): DeliveryOutcome {
    machine.commandChannel.end();
    if (!result.ok) return { kind: 'unanswered' };
    machine.commandChannel.confirmStarts(starts);
    const { executed, heartbeat } = result.value;
    const isFromCurrentMachine = heartbeat.machine === machine.id && this.cluster.machines.isCurrent(machine);
    if (this.stopped || !isFromCurrentMachine) return { kind: 'obsolete' };
    this.reconciler.reconcile(machine, heartbeat, 'commandResponse');
    if (!executed) return { kind: 'refused', agentEpoch: heartbeat.agentEpoch };
    this.reconciler.onReachable(machine);
    return { kind: 'executed' };
  }
}

function startsIn(commands: readonly Command[], fencingToken: FencingToken): PushedStart[] {
  return commands
    .filter(({ op }) => op === 'start')
    .map(({ job, index, attempt }) => ({ job, index, attempt, fencingToken }));
}
