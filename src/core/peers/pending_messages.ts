/** Messages to peers that await a response, each until its deadline. */
import type { StepContext } from '../step_context.js';
import type { MonotonicTime } from '../types.js';

/** The data stored for a message, and whether its deadline has passed. */
interface PendingMessage<T> {
  readonly entry: T;
  readonly isExpired: boolean;
}

interface PendingEntry<T> {
  readonly entry: T;
  readonly deadline: MonotonicTime;
}

/** The pending messages of one kind, by the message id that the response carries. */
export class PendingMessages<T> {
  private readonly entries = new Map<number, PendingEntry<T>>();

  /** `timeoutMs` is how long a message waits for its response. */
  constructor(
    private readonly context: StepContext,
    private readonly timeoutMs: number,
  ) {}

  /** Adds a message that is sent in this step. */
  add(id: number, entry: T): void {
    this.entries.set(id, { entry, deadline: this.context.after(this.timeoutMs) });
  }

  /** Returns the data of a message that stays pending. Undefined if no message with this id is pending. */
  get(id: number): T | undefined {
    return this.entries.get(id)?.entry;
  }

  /** Removes a message and returns it. Undefined if no message with this id is pending. */
  take(id: number): PendingMessage<T> | undefined {
    const found = this.entries.get(id);
    if (!found) return undefined;
    this.entries.delete(id);
    return { entry: found.entry, isExpired: this.isExpired(found) };
  }

  /** Removes and returns the messages whose deadline has passed or for which `isObsolete` returns true. */
  takeOverdue(isObsolete: (entry: T) => boolean = () => false): PendingMessage<T>[] {
    const taken: PendingMessage<T>[] = [];
    for (const [id, pendingEntry] of this.entries) {
      const isExpired = this.isExpired(pendingEntry);
      if (!isExpired && !isObsolete(pendingEntry.entry)) continue;
      this.entries.delete(id);
      taken.push({ entry: pendingEntry.entry, isExpired });
    }
    return taken;
  }

  /** Returns the earliest deadline. Null if no message is pending. */
  nextDeadline(): MonotonicTime | null {
    let first: MonotonicTime | null = null;
    for (const { deadline } of this.entries.values()) if (first === null || deadline < first) first = deadline;
    return first;
  }

  private isExpired({ deadline }: PendingEntry<T>): boolean {
    return deadline <= this.context.now.monotonic;
  }
}
