/** Keeps pushed starts from arriving, or arriving again, after their tasks are no longer wanted on the machine. */

import { startKey } from '../jobs/task_keys.js';
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
 * Raises the fencing token of a machine to which an unwanted start may still be on its way, for the first time or as a
 * repetition of a push that was executed. The raise needs no call: the response to the next heartbeat carries the higher
 * token. A worker either accepts that response and refuses the start, or accepts no response and its lease ends, and
 * with it the agent epoch that the start names.
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
    const valid = [...machine.commandChannel.pushedStarts].filter(({ fencingToken }) => fencingToken === token);
    const unwanted = valid.filter((start) => this.isUnwanted(machine, start));
    if (unwanted.length === 0) return true;
    const starts = unwanted.length;
    if (this.tokens.tryRaise(machine)) {
      const fencingToken = this.tokens.current(machine);
      this.context.log('pushed starts invalidated', { machine: machine.id, fencingToken, starts });
      return true;
    }
    this.leader.rewriteMachineRecord(machine);
    if (!unwanted.some((start) => isUnconfirmed(machine, start) && this.leader.isCancelled(start.job))) return true;
    this.context.log('lease renewal withheld', { machine: machine.id, starts });
    return false;
  }

  /**
   * Returns whether the start is not to be executed. One that has not been confirmed is unwanted once the task is to
   * stop, its job is cancelled or it has exited. A confirmed one is unwanted once the task has exited, because the
   * worker would run the attempt again after the exit is acknowledged. On a machine that is about to be terminated, exits
   * need not be acknowledged.
   */
  private isUnwanted(machine: Machine, start: PushedStart): boolean {
    const { job, index, attempt } = start;
    const placement = this.placements.find(machine, job, index);
    const hasExited = placement?.attempt !== attempt;
    if (!isUnconfirmed(machine, start)) return hasExited && !machine.cordon.isLeaving;
    return hasExited || placement.pendingStop !== null || this.leader.isCancelled(job);
  }
}

const isUnconfirmed = ({ commandChannel }: Machine, { job, index, attempt }: PushedStart): boolean =>
  commandChannel.isUnconfirmed(startKey(job, index, attempt));
