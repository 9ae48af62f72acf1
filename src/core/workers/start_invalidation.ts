/** Keeps pushed starts from arriving after their tasks are no longer wanted on the machine. */

import type { PushedStart } from '../machines/command_channel.js';
import type { Machine } from '../machines/machine.js';
import type { PlacementTable } from '../state/placement_table.js';
import type { StepContext } from '../step_context.js';
import type { JobId } from '../types.js';
import type { FencingTokens } from './fencing_tokens.js';

/** The leader's state and operations that the invalidation of starts depends on. */
export interface InvalidationLeader {
  /** Returns whether the job is known to be cancelled. The answer does not require that the state has been loaded. */
  isCancelled(job: JobId): boolean;
  /** Writes the machine's record again, which raises the revision of the state store. */
  rewriteMachineRecord(machine: Machine): void;
}

/**
 * Raises the fencing token of a machine to which an unwanted start may still be on its way. The raise needs no call: the
 * response to the next heartbeat carries the higher token. A worker either accepts that response and refuses the start,
 * or accepts no response and its lease ends, and with it the agent epoch that the start names.
 */
export class StartInvalidation {
  constructor(
    private readonly context: Pick<StepContext, 'log'>,
    private readonly placements: Pick<PlacementTable, 'find'>,
    private readonly tokens: FencingTokens,
    private readonly leader: InvalidationLeader,
  ) {}

  /**
   * Called before each response that renews the machine's lease. Raises the token if a start that may still arrive is
   * unwanted. Returns false if the lease may not be renewed, because the renewal would keep the start of a cancelled
   * task valid and the token can't be raised yet.
   */
  prepareRenewal(machine: Machine): boolean {
    const token = this.tokens.current(machine);
    const unwanted = [...machine.commandChannel.unconfirmedStarts].filter(
      (start) => start.fencingToken === token && this.isUnwanted(machine, start),
    );
    if (unwanted.length === 0) return true;
    const starts = unwanted.length;
    if (this.tokens.tryRaise(machine)) {
      const fencingToken = this.tokens.current(machine);
      this.context.log('pushed starts invalidated', { machine: machine.id, fencingToken, starts });
      return true;
    }
    this.leader.rewriteMachineRecord(machine);
    if (!unwanted.some(({ job }) => this.leader.isCancelled(job))) return true;
    this.context.log('lease renewal withheld', { machine: machine.id, starts });
    return false;
  }

  /** Returns whether the start is not to be executed: the job is cancelled, or the task is to stop or has exited. */
  private isUnwanted(machine: Machine, { job, index, attempt }: PushedStart): boolean {
    if (this.leader.isCancelled(job)) return true;
    const placement = this.placements.find(machine, job, index);
    return placement?.attempt !== attempt || placement.pendingStop !== null;
  }
}
