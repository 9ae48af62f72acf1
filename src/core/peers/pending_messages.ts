/** Messages to peers that await an answer, each until its deadline. */
import type { StepContext } from '../step_context.js';
import type { MonotonicTime } from '../types.js';

/** What is remembered of a message, and whether its answer is too late. */
interface PendingMessage<T> {
  readonly entry: T;
  readonly isExpired: boolean;
}

interface Entered<T> {
  readonly entry: T;
  readonly deadline: MonotonicTime;
}

/** The messages of one kind, by the number that the answer repeats. */
export class PendingMessages<T> {
  private readonly entered = new Map<number, Entered<T>>();

  /** `timeoutMs`: how long an answer is awaited. */
  constructor(
    private readonly context: StepContext,
    private readonly timeoutMs: number,
  ) {}

  /** Remembers a message that is sent in this step. */
  add(id: number, entry: T): void {
    this.entered.set(id, { entry, deadline: this.context.after(this.timeoutMs) });
  }

  /** Returns what was remembered, and goes on waiting; undefined where nothing waits for that answer. */
  get(id: number): T | undefined {
    return this.entered.get(id)?.entry;
  }

  /** Returns what was remembered, and waits no longer; undefined where nothing waits for that answer. */
  take(id: number): PendingMessage<T> | undefined {
    const found = this.entered.get(id);
    if (!found) return undefined;
    this.entered.delete(id);
    return { entry: found.entry, isExpired: this.isExpired(found) };
  }

  /** Takes the messages whose deadline has come, and those for which `isObsolete` holds. */
  takeOverdue(isObsolete: (entry: T) => boolean = () => false): PendingMessage<T>[] {
    const taken: PendingMessage<T>[] = [];
    for (const [id, entered] of this.entered) {
      const isExpired = this.isExpired(entered);
      if (!isExpired && !isObsolete(entered.entry)) continue;
      this.entered.delete(id);
      taken.push({ entry: entered.entry, isExpired });
    }
    return taken;
  }

  /** When the first deadline comes; null where nothing waits. */
  nextDeadline(): MonotonicTime | null {
    let first: MonotonicTime | null = null;
    for (const { deadline } of this.entered.values()) if (first === null || deadline < first) first = deadline;
    return first;
  }

  private isExpired({ deadline }: Entered<T>): boolean {
    return deadline <= this.context.now.monotonic;
  }
}
