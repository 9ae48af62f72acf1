/** How long what was seen counts. */
const DECAY_SECONDS = 150;
/** The cautious guess that it starts from: its rate, and how many losses it counts as. */
const PRIOR_INTERRUPTIONS = 0.3;
const PRIOR_PER_SECOND = 1.5 / 3600;
/** A lost task is found out, placed and fetched anew within about this time. */
const RESTART_SECONDS = 15;

/** How often spot machines are lost, as seen over the last minutes. */
export class SpotInterruptionRate {
  private interruptionCount = 0;
  private machineSeconds = 0;

  /** So many spot machines were there for so many seconds more. */
  observe(machines: number, seconds: number): void {
    const keep = Math.exp(-seconds / DECAY_SECONDS);
    this.interruptionCount *= keep;
    this.machineSeconds = this.machineSeconds * keep + machines * seconds;
  }

  recordInterruption(): void {
    this.interruptionCount += 1;
  }

  /** Losses per machine and second. */
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
export function expectedSpotDelaySeconds(perS: number, runS: number, checkpointS: number): number {
  const repeatedS = checkpointS > 0 ? Math.min(checkpointS, runS) / 2 : runS / 2;
  const lossChance = 1 - Math.exp(-perS * runS);
  return lossChance * (repeatedS + RESTART_SECONDS);
}
