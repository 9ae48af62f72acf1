/* Faults on the way of pushed commands to a stand-in worker: pushes that are held up, or delivered a second time. */

type Fields = Record<string, unknown>;

/** Holds up and repeats the pushes to one worker. */
export class PushFaults {
  /** The starts in the pushes that were held up, by their names on the wire. */
  readonly heldStarts = new Set<string>();
  private isHoldingUp = false;
  private heldPushes: (() => void)[] = [];
  private readonly executedPushes: Fields[] = [];

  /** `execute` executes pushed commands if their fencing token and agent epoch allow it. Returns whether they did. */
  constructor(private readonly execute: (push: Fields) => boolean) {}

  /**
   * Holds up all pushes from now on. They are executed after `release`, even if their sender has given up by then, if
   * their fencing token and agent epoch still match.
   */
  holdUp(): void {
    this.isHoldingUp = true;
  }

  /** Delivers the held pushes in order. */
  release(): void {
    this.isHoldingUp = false;
    for (const deliver of this.heldPushes.splice(0)) deliver();
  }

  /** Delivers all pushes that were executed a second time. */
  repeatAll(): void {
    for (const push of this.executedPushes) this.execute(push);
  }

  /** Delivers a push, now or after `release`. Returns whether its commands were executed. */
  async deliver(push: Fields): Promise<boolean> {
    if (this.isHoldingUp) await this.waitForRelease(push.calls as Fields[]);
    const executed = this.execute(push);
    if (executed) this.executedPushes.push(push);
    return executed;
  }

  private async waitForRelease(commands: Fields[]): Promise<void> {
    for (const { call, chick } of commands) if (call === 'run') this.heldStarts.add(String(chick));
    await new Promise<void>((resolve) => this.heldPushes.push(resolve));
  }
}
