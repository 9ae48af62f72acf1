/** Reconciles the statuses of machines with what is known, and sets off what follows from it. */
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { StepContext } from '../step_context.js';
import type { FencingToken, Heartbeat } from '../types.js';
import { reconcileStatus, type StatusOutcome, type StatusSource } from './status_reconciliation.js';

/** What reconciliation sets off at the leader. */
export interface ReconciliationLeader {
  /** Brings the next planning round forward. */
  schedulePlanningRoundSoon(): void;
  /** Looks up the records of jobs that only workers know of. */
  lookUpSuspectedOrphans(): void;
}

/** Takes every status, whether it came with a heartbeat or with the response to pushed commands. */
export class Reconciler {
  private readonly context: StepContext;

  constructor(
    private readonly cluster: Cluster,
    private readonly fencingToken: FencingToken,
    private readonly leader: ReconciliationLeader,
  ) {
    this.context = cluster.context;
  }

  /** Applies a status of a machine, and plans soon where that is due. */
  reconcile(machine: Machine, status: Heartbeat, source: StatusSource): StatusOutcome {
    const isTokenNew = machine.messages.highestFencingToken < this.fencingToken;
    if (isTokenNew && status.fencingToken === this.fencingToken) this.onReachable(machine);
    const outcome = reconcileStatus(this.cluster, machine, status, this.fencingToken, source);
    if (source === 'commandResponse') machine.messages.recordCommandResponse(this.context.now.monotonic);
    if (outcome.kind === 'applied' && outcome.planning === 'due') this.leader.schedulePlanningRoundSoon();
    this.leader.lookUpSuspectedOrphans();
    if (machine.reachability.shouldMarkUnresponsive) this.markUnresponsive(machine);
    return outcome;
  }

  /** Something that was sent has reached the machine: it may get work, again or for the first time. */
  onReachable(machine: Machine): void {
    if (!machine.reachability.confirm()) return;
    this.context.log('machine reachable again', { machine: machine.id });
    this.leader.schedulePlanningRoundSoon();
  }

  /** What is sent doesn't reach it, whatever is heard of it: no new work until a response to a command proves otherwise. */
  private markUnresponsive(machine: Machine): void {
    machine.reachability.markUnresponsive(this.context.now.monotonic);
    this.context.log('machine unresponsive', { machine: machine.id });
    this.cluster.placements.releasePlanned(machine);
    this.leader.schedulePlanningRoundSoon();
  }
}
