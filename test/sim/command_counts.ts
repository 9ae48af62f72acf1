import type { CommandPush } from '../../src/core/messages.js';
import type { Command } from '../../src/core/types.js';

/** A kind of command; `inquiry` is a push without commands, which asks for the status alone. */
export type CommandKind = Command['op'] | 'inquiry';

/** What workers are told to do, by kind: every command that reaches one and is entitled, whether or not it has an effect. */
export class CommandCounts {
  private readonly counts = new Map<CommandKind, number>();

  /** Counts anew from now on. */
  reset(): void {
    this.counts.clear();
  }

  /** How many of the kind reached workers since the counts were reset. */
  count(kind: CommandKind): number {
    return this.counts.get(kind) ?? 0;
  }

  /** A worker carries out a command. */
  onCommand({ op }: Command): void {
    this.add(op);
  }

  /** A direct call without commands only asks for the list of tasks. */
  onPushedCommands({ commands }: CommandPush): void {
    if (commands.length === 0) this.add('inquiry');
  }

  private add(kind: CommandKind): void {
    this.counts.set(kind, this.count(kind) + 1);
  }
}
