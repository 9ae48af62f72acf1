/** Counts the commands that workers receive. */
import type { CommandPush } from '../../src/core/messages.js';
import type { Command } from '../../src/core/types.js';

/** A kind of command. `inquiry` is a push without commands, which only requests the worker's status. */
export type CommandKind = Command['op'] | 'inquiry';

/**
 * Counts, by kind, the commands that workers receive with a valid fencing token, whether or not they have an effect.
 */
export class CommandCounts {
  private readonly counts = new Map<CommandKind, number>();

  /** Resets all counts to zero. */
  reset(): void {
    this.counts.clear();
  }

  /** The number of commands of the kind since the last reset. */
  count(kind: CommandKind): number {
    return this.counts.get(kind) ?? 0;
  }

  /** Called when a worker executes a command. */
  onCommand({ op }: Command): void {
    this.add(op);
  }

  /**
   * Called when a worker accepts a push. A push without commands counts as an inquiry; others count by their commands.
   */
  onPushedCommands({ commands }: CommandPush): void {
    if (commands.length === 0) this.add('inquiry');
  }

  private add(kind: CommandKind): void {
    this.counts.set(kind, this.count(kind) + 1);
  }
}
