/** Estimates how often spot machines are lost, and what that costs a task. */
/** What was seen loses its weight with this time constant. */
const DECAY_SECONDS = 150;
/** The cautious guess that it starts from: how many interruptions it counts as, and its rate. */
const PRIOR_INTERRUPTIONS = 0.3;
const PRIOR_PER_SECOND = 1.5 / 3600;
/** A lost task is found out, placed anew and its image pulled within about this time. */
const RESTART_SECONDS = 15;

/** How often spot machines are lost, as seen over the last minutes. */
export class SpotInterruptionRate {
  private interruptionCount = 0;
  private machineSeconds = 0;

  /** Counts that so many spot machines were there for so many seconds more. */
  observe(machines: number, seconds: number): void {
    const keep = Math.exp(-seconds / DECAY_SECONDS);
    this.interruptionCount *= keep;
    this.machineSeconds = this.machineSeconds * keep + machines * seconds;
  }

  /** Counts the loss of a spot machine. */
  recordInterruption(): void {
    this.interruptionCount += 1;
  }

  /** The estimated interruptions per machine and second. */
  get perSecond(): number {
    return (
      (this.interruptionCount + PRIOR_INTERRUPTIONS) / (this.machineSeconds + PRIOR_INTERRUPTIONS / PRIOR_PER_SECOND)
    );
  }
}

/**
 * Seconds that a start on a spot machine is expected to cost a task: the chance of a loss while it runs, times the work
 * that is then done again and the time to start anew.
 */
export function expectedSpotDelaySeconds(
  perSecond: number,
  runSeconds: number,
  checkpointIntervalSeconds: number,
): number {
  const repeatedSeconds =
    checkpointIntervalSeconds > 0 ? Math.min(checkpointIntervalSeconds, runSeconds) / 2 : runSeconds / 2;
  const lossChance = 1 - Math.exp(-perSecond * runSeconds);
  return lossChance * (repeatedSeconds + RESTART_SECONDS);
}
