/** Reconciles machines' statuses with the leader's state, and triggers the follow-up actions. */
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { Heartbeat } from '../types.js';
import type { FencingTokens } from './fencing_tokens.js';
import { reconcileStatus, type StatusOutcome, type StatusSource } from './status_reconciliation.js';

/** Operations of the leader that reconciliation triggers. */
export interface ReconciliationLeader {
  /** Brings the next planning round forward. */
  schedulePlanningRoundSoon(): void;
  /** Looks up the records of jobs that are known only from workers' statuses. */
  lookUpSuspectedOrphans(): void;
}

/** Processes every status, whether it arrived in a heartbeat or in the response to pushed commands. */
export class Reconciler {
  private readonly context: StepContext;

  constructor(
    private readonly cluster: Cluster,
    private readonly tokens: FencingTokens,
    private readonly leader: ReconciliationLeader,
  ) {
    this.context = cluster.context;
  }

  /** Applies a machine's status, and brings the next planning round forward if planning is due. */
  reconcile(machine: Machine, status: Heartbeat, source: StatusSource): StatusOutcome {
    const isFirstOfTerm = this.tokens.isOfPreviousTerm(machine.messages.highestFencingToken);
    if (isFirstOfTerm && this.tokens.isOfThisTerm(status.fencingToken, machine)) this.onReachable(machine);
    const outcome = reconcileStatus(this.cluster, machine, status, this.tokens, source);
    if (source === 'commandResponse') machine.messages.recordCommandResponse(this.context.now.monotonic);
    if (outcome.kind === 'applied' && outcome.planning === 'due') this.leader.schedulePlanningRoundSoon();
    this.leader.lookUpSuspectedOrphans();
    if (machine.reachability.shouldMarkUnresponsive) this.markUnresponsive(machine);
    return outcome;
  }

  /** Handles proof that a message has reached the machine. The machine may get work, again or for the first time. */
  onReachable(machine: Machine): void {
    if (!machine.reachability.confirm()) return;
    this.context.log('machine reachable again', { machine: machine.id });
    this.leader.schedulePlanningRoundSoon();
  }

  /**
   * Handles a machine that does not receive responses although its heartbeats arrive. It gets no new work until a
   * response to a command, or its first heartbeat with this leader's fencing token, proves that messages reach it.
   */
  private markUnresponsive(machine: Machine): void {
    machine.reachability.markUnresponsive(this.context.now.monotonic);
    this.context.log('machine unresponsive', { machine: machine.id });
    this.cluster.placements.releasePlanned(machine);
    this.leader.schedulePlanningRoundSoon();
  }
}
