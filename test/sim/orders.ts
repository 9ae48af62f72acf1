import type { CommandPush } from '../../src/core/messages.js';
import type { Command } from '../../src/core/types.js';

export type OrderKind = Command['op'] | 'inquiry';

/** What workers are told to do, by kind: every command that reaches one and is entitled, whether or not it has an effect. */
export class Orders {
  private readonly counts = new Map<OrderKind, number>();

  /** Counts anew from now on. */
  reset(): void {
    this.counts.clear();
  }

  of(kind: OrderKind): number {
    return this.counts.get(kind) ?? 0;
  }

  command({ op }: Command): void {
    this.add(op);
  }

  /** A direct call without commands only asks for the list of tasks. */
  directCall({ commands }: CommandPush): void {
    if (commands.length === 0) this.add('inquiry');
  }

  private add(kind: OrderKind): void {
    this.counts.set(kind, this.of(kind) + 1);
  }
}
