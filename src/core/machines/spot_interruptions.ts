/** How often spot machines are lost, as seen over the last minutes, starting from a cautious guess. */
export class SpotInterruptionRate {
  private losses = 0;
  private machineS = 0;
  private static readonly MEMORY_S = 150;
  private static readonly PRIOR_LOSSES = 0.3;
  private static readonly PRIOR_PER_S = 1.5 / 3600;

  /** `machines` spot machines were there for `seconds` more. */
  pass(machines: number, seconds: number): void {
    const keep = Math.exp(-seconds / SpotInterruptionRate.MEMORY_S);
    this.losses *= keep;
    this.machineS = this.machineS * keep + machines * seconds;
  }

  lost(): void {
    this.losses += 1;
  }

  /** Losses per machine and second. */
  get perS(): number {
    const prior = SpotInterruptionRate.PRIOR_LOSSES;
    return (this.losses + prior) / (this.machineS + prior / SpotInterruptionRate.PRIOR_PER_S);
  }
}

/**
 * Seconds that a start on a spot machine is expected to cost a task: the chance of a loss while it runs, times the work
 * that is then done again and the time to start anew.
 */
export function spotDelayS(perS: number, runS: number, checkpointS: number): number {
  const again = checkpointS > 0 ? Math.min(checkpointS, runS) / 2 : runS / 2;
  const chance = 1 - Math.exp(-perS * runS);
  return chance * (again + RESTART_S);
}

const RESTART_S = 15;
