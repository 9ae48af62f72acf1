/** The fencing tokens that a leader sends to workers. They start at one token for all and can be raised per machine. */
import type { Machine } from '../machines/machine.js';
import type { FencingToken, Revision } from '../types.js';

/**
 * The fencing tokens of one term. A worker refuses commands with a lower token than the highest it has seen, so raising
 * a machine's token ends the validity of all commands that were pushed to the machine before.
 *
 * The tokens from the revision at which this leader acquired the leader key up to the newest revision of the state
 * store belong to this leader: the token of every later leader is the revision of a later change. This holds for a
 * revision that a reply has shown, as long as no other controller can have become the leader, which is checked wherever
 * tokens are sent.
 */
export class FencingTokens {
  /**
   * `first`: the revision at which the leader key was acquired. `newestRevision` returns the newest revision of the
   * state store that any reply has shown.
   */
  constructor(
    private readonly first: FencingToken,
    private readonly newestRevision: () => Revision,
  ) {}

  /** Returns the token of messages to the machine, or to one that this leader does not track. */
  current(machine: Machine | undefined): FencingToken {
    return (this.first + (machine?.commandChannel.tokenRaises ?? 0n)) as FencingToken;
  }

  /** Returns whether the token is one of a previous leader, so that commands of that leader may still be executed. */
  isOfPreviousTerm(token: FencingToken): boolean {
    return token < this.first;
  }

  /** Returns whether the worker of the machine received the token from this leader. */
  isOfThisTerm(token: FencingToken, machine: Machine): boolean {
    return token >= this.first && token <= this.current(machine);
  }

  /**
   * Raises the machine's token by one. Returns false if no reply of the state store has shown that the higher token
   * belongs to this leader.
   */
  tryRaise(machine: Machine): boolean {
    if (this.current(machine) >= (this.newestRevision() as bigint)) return false;
    machine.commandChannel.recordTokenRaise();
    return true;
  }
}
