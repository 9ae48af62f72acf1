/** Estimates how often spot machines are interrupted, and the delay that this causes for a task. */

/** Time constant with which observations lose weight. */
const DECAY_SECONDS = 150;
/** Weight of the cautious initial estimate, as a number of observed interruptions. */
const PRIOR_INTERRUPTIONS = 0.3;
/** Cautious initial estimate of the number of interruptions per machine and second. */
const PRIOR_PER_SECOND = 1.5 / 3600;
/** Approximate time until the loss of a task is detected, the task is placed again and its image is pulled. */
const RESTART_SECONDS = 15;

/** Rate of interruptions of spot machines over the last minutes. */
export class SpotInterruptionRate {
  private interruptionCount = 0;
  private machineSeconds = 0;

  /** Records that a number of spot machines has been up for a further period. */
  observe(machines: number, seconds: number): void {
    const decayFactor = Math.exp(-seconds / DECAY_SECONDS);
    this.interruptionCount *= decayFactor;
    this.machineSeconds = this.machineSeconds * decayFactor + machines * seconds;
  }

  /** Records the interruption of a spot machine. */
  recordInterruption(): void {
    this.interruptionCount += 1;
  }

  /** Estimated number of interruptions per machine and second. */
  get perSecond(): number {
    return (
      (this.interruptionCount + PRIOR_INTERRUPTIONS) / (this.machineSeconds + PRIOR_INTERRUPTIONS / PRIOR_PER_SECOND)
    );
  }
}

/**
 * Returns the expected delay, in seconds, of a task that is started on a spot machine. It is the probability of an
 * interruption during the run, multiplied by the sum of the work to be repeated and the time of a restart.
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
