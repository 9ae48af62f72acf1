/** Detects machines that take several times as long as expected for all tasks, and drains one at a time. */
import type { Machine } from '../machines/machine.js';
import { STRAGGLER_LOG_RATIO, type StragglerEvidence } from '../machines/straggler_detector.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import { addMilliseconds, type JobId, type MonotonicTime } from '../types.js';

/**
 * Minimum time between drains of stragglers in a small cluster, in milliseconds. Drains are spaced because the machines
 * are not at fault if all of them seem slow.
 */
const STRAGGLER_DRAIN_INTERVAL_MS = 30_000;
/** Number of machines for which one straggler may be drained per interval, so that larger clusters may replace more. */
const MACHINES_PER_STRAGGLER_DRAIN = 30;

const NO_EVIDENCE: ReadonlyMap<JobId, StragglerEvidence> = new Map();

/**
 * Detects stragglers by tasks that completed on a machine and by running tasks that already exceed their expected run
 * time.
 */
export class StragglerChecks {
  private nextDrainAt = 0 as MonotonicTime;

  constructor(private readonly cluster: Cluster) {}

  /** Drains the first straggler found, unless one was drained recently. Returns whether a machine was drained. */
  drainOneStraggler(now: MonotonicTime): boolean {
    if (now < this.nextDrainAt) return false;
    const straggler = this.findStraggler(now);
    if (!straggler) return false;
    straggler.cordon.drain('straggler');
    const drainsPerInterval = Math.max(1, this.cluster.machines.size / MACHINES_PER_STRAGGLER_DRAIN);
    this.nextDrainAt = addMilliseconds(now, STRAGGLER_DRAIN_INTERVAL_MS / drainsPerInterval);
    this.cluster.context.log('straggler detected', { machine: straggler.id });
    return true;
  }

  private findStraggler(now: MonotonicTime): Machine | null {
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'up' || machine.cordon.isDraining || machine.lifecycle.isTerminating) continue;
      if (machine.stragglerDetector.isStraggler(this.overrunEvidence(machine, now))) return machine;
    }
    return null;
  }

  /**
   * Returns the evidence from tasks running on a machine that already exceed their expected run time, at most one per
   * job.
   */
  private overrunEvidence(machine: Machine, now: MonotonicTime): ReadonlyMap<JobId, StragglerEvidence> {
    let evidence: Map<JobId, StragglerEvidence> | null = null;
    for (const placement of this.cluster.placements.onMachine(machine).values()) {
      const logRatio = this.overrunLogRatio(placement, now);
      const { job } = placement;
      if (logRatio <= (evidence?.get(job.id)?.logRatio ?? 0)) continue;
      evidence ??= new Map();
      const logStandardDeviation = this.cluster.runtimeEstimator.logStandardDeviation(job.spec);
      evidence.set(job.id, { logRatio, logStandardDeviation });
      if (logRatio > STRAGGLER_LOG_RATIO) job.schedulingHistory.recordSlowMachine(machine.id);
    }
    return evidence ?? NO_EVIDENCE;
  }

  /**
   * Returns log(run time / expected run time) of a running task that exceeds its expected run time, or 0 if the task
   * shows nothing about its machine.
   */
  private overrunLogRatio({ job, phase, runningSince }: Placement, now: MonotonicTime): number {
    if (phase !== 'running' || runningSince === null) return 0;
    // A service runs for as long as its user wants, and a gang is as slow as its slowest machine.
    if (job.isService || (job.isGang && job.spec.taskCount > 1)) return 0;
    if (job.schedulingHistory.isMisestimated) return 0;
    const ranSeconds = (now - runningSince) / 1000;
    return Math.max(0, Math.log(ranSeconds / this.cluster.runtimeEstimator.expectedSeconds(job.spec)));
  }
}
