/** How long what was seen counts. */
const MEMORY_S = 150;
/** The cautious guess that it starts from: its rate, and how many losses it counts as. */
const PRIOR_LOSSES = 0.3;
const PRIOR_PER_S = 1.5 / 3600;
/** A lost task is found out, placed and fetched anew within about this time. */
const RESTART_S = 15;

/** How often spot machines are lost, as seen over the last minutes. */
export class SpotInterruptionRate {
  private losses = 0;
  private machineS = 0;

  /** So many spot machines were there for so many seconds more. */
  pass(machines: number, seconds: number): void {
    const keep = Math.exp(-seconds / MEMORY_S);
    this.losses *= keep;
    this.machineS = this.machineS * keep + machines * seconds;
  }

  lost(): void {
    this.losses += 1;
  }

  /** Losses per machine and second. */
  get perS(): number {
    return (this.losses + PRIOR_LOSSES) / (this.machineS + PRIOR_LOSSES / PRIOR_PER_S);
  }
}

/**
 * Seconds that a start on a spot machine is expected to cost a task: the chance of a loss while it runs, times the work
 * that is then done again and the time to start anew.
 */
export function spotDelayS(perS: number, runS: number, checkpointS: number): number {
  const repeatedS = checkpointS > 0 ? Math.min(checkpointS, runS) / 2 : runS / 2;
  const lossChance = 1 - Math.exp(-perS * runS);
  return lossChance * (repeatedS + RESTART_S);
}
