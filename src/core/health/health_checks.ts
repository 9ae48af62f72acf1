import { workerLeaseExpiryMs } from '../lease_bounds.js';
import type { Machine } from '../machines/machine.js';
import { STRAGGLER_LOG_RATIO, type StragglerEvidence } from '../machines/straggler_detector.js';
import { moveReplica } from '../scheduler/replica_move.js';
import type { Cluster } from '../state/cluster.js';
import type { Placement } from '../state/placement.js';
import { addMilliseconds, type JobId, type MonotonicTime } from '../types.js';

/** One suspicion at a time: if everything seems slow, it isn't the machines. Of more machines, more may be replaced. */
const STRAGGLER_DRAIN_INTERVAL_MS = 30_000;
const MACHINES_PER_STRAGGLER_DRAIN = 30;
/** So many machines must have reported before what they don't hear says anything of this node. */
const MIN_MACHINES_FOR_ISOLATION_CHECK = 3;
/** Work on a draining machine without a notice may take so long to end; work not yet begun is reckoned so much longer. */
const DRAIN_SECONDS = 20;
const TASK_START_SECONDS = 5;
/** Work is left to end where it should be over after this share of the time left. */
const FINISH_IN_TIME_SHARE = 0.6;

/** What a leader looks after once a second: silence, slow machines, and work on machines about to go. */
export class HealthChecks {
  private nextStragglerDrainAt = 0 as MonotonicTime;

  constructor(
    private readonly cluster: Cluster,
    private readonly scheduleRoundSoon: () => void,
  ) {}

  run(): void {
    const now = this.cluster.context.now.monotonic;
    this.checkHeartbeats(now);
    this.breakIncompleteGangs();
    this.recordHealthyTasks(now);
    this.drainFaultyMachines();
    this.recordOverdueBoots(now);
    this.drainOneStraggler(now);
    this.evictFromLeavingMachines(now);
  }

  private checkHeartbeats(now: MonotonicTime): void {
    const { settings } = this.cluster.context;
    const leaseExpiryMs = workerLeaseExpiryMs(settings);
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase === 'booting' && machine.reconciled) continue;
      if (machine.phase === 'up' && machine.messages.isHeartbeatOverdue(now, settings.workers.heartbeatIntervalMs))
        this.cluster.placements.releasePlanned(machine);
      const mayHoldTasks = !machine.reconciled || !machine.isEmpty;
      if (mayHoldTasks && now - machine.messages.leaseRenewedAt > leaseExpiryMs) this.onLeaseExpired(machine);
    }
  }

  /**
   * An earlier leader may have started only a part of a gang. Once the lists of all machines that may hold the rest are known,
   * it is certain not to be anywhere, and that part would wait in vain (gang-half-placed.txt).
   */
  private breakIncompleteGangs(): void {
    const { previousTerms } = this.cluster;
    const unreconciled = previousTerms.updateUnreconciled();
    if (unreconciled > 0 && previousTerms.recovery === null) return;
    for (const job of this.cluster.jobs.active) {
      const isIncomplete = job.isGang && job.placedCount > 0 && job.placedCount < job.spec.taskCount;
      if (!isIncomplete || job.state !== 'accepted' || previousTerms.mayRunUnreconciled(job)) continue;
      this.cluster.placements.breakGang(job);
    }
  }

  /** A job that has failed is cleared by a task that runs for much longer than it took the others to fail. */
  private recordHealthyTasks(now: MonotonicTime): void {
    for (const job of this.cluster.jobs.active) {
      const { failureHistory } = job;
      if (!failureHistory.hasFailed || failureHistory.hasSucceeded) continue;
      for (const { phase, runningSince } of this.cluster.placements.ofJob(job).values()) {
        const doesWell =
          phase === 'running' && runningSince !== null && failureHistory.isHealthyAfter(now - runningSince);
        if (doesWell) failureHistory.recordSuccess();
      }
    }
  }

  private recordOverdueBoots(now: MonotonicTime): void {
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'booting' || !this.cluster.machines.isBootOverdue(machine)) continue;
      if (!machine.lifecycle.recordBootOverdue()) continue;
      this.cluster.bootTimeEstimator.recordOverdue(machine.type, machine.zone, now);
    }
  }

  private drainFaultyMachines(): void {
    const { context, machines } = this.cluster;
    for (const machine of machines.values()) {
      if (!machine.taskFailures.hasFailures || machine.cordon.isDraining) continue;
      if (!machine.taskFailures.isMachineAtFault(context.tuning.machines.error_limit, context.now.monotonic)) continue;
      machine.cordon.drain('task failures');
      context.log('machine failing tasks', { machine: machine.id });
    }
  }

  /**
   * Nobody has answered it for longer than its lease, not even an earlier leader: whatever it held is gone. It comes back
   * with a new session, and nothing of the old one counts.
   */
  private onLeaseExpired(machine: Machine): void {
    this.cluster.context.log('agent lease expired', {
      machine: machine.id,
      lostTasks: machine.allocations.taskCount,
      reconciled: machine.reconciled,
    });
    this.cluster.clearMachine(machine);
    machine.messages.expireEpoch();
    machine.commandChannel.clearUnconfirmedStarts();
    this.cluster.markReconciled(machine, 'leaseEnded');
    this.scheduleRoundSoon();
  }

  /** If most machines hear nothing of what is sent, it is this node that is cut off: another should lead. */
  isLeaderIsolated(): boolean {
    let reporting = 0;
    let unresponsive = 0;
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'up' || machine.messages.firstHeartbeatAt === null) continue;
      reporting += 1;
      if (machine.reachability.isUnresponsive) unresponsive += 1;
    }
    return reporting >= MIN_MACHINES_FOR_ISOLATION_CHECK && unresponsive * 2 > reporting;
  }

  /** A machine that takes several times as long for everything is replaced, one at a time. */
  private drainOneStraggler(now: MonotonicTime): void {
    if (now < this.nextStragglerDrainAt) return;
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'up' || machine.cordon.isDraining || machine.lifecycle.isTerminating) continue;
      if (!machine.stragglerDetector.isStraggler(this.overrunEvidence(machine, now))) continue;
      machine.cordon.drain('straggler');
      const allowance = Math.max(1, this.cluster.machines.size / MACHINES_PER_STRAGGLER_DRAIN);
      this.nextStragglerDrainAt = addMilliseconds(now, STRAGGLER_DRAIN_INTERVAL_MS / allowance);
      this.cluster.context.log('straggler detected', {
        machine: machine.id,
      });
      this.scheduleRoundSoon();
      return;
    }
  }

  /** What runs on a machine and has already taken longer than expected. */
  private overrunEvidence(machine: Machine, now: MonotonicTime): ReadonlyMap<JobId, StragglerEvidence> {
    let found: Map<JobId, StragglerEvidence> | null = null;
    for (const placement of this.cluster.placements.onMachine(machine).values()) {
      const logRatio = this.overrunLogRatio(placement, now);
      const { job } = placement;
      if (logRatio <= (found?.get(job.id)?.logRatio ?? 0)) continue;
      found ??= new Map();
      found.set(job.id, {
        logRatio,
        logStandardDeviation: this.cluster.runtimeEstimator.logStandardDeviation(job.spec),
      });
      if (logRatio > STRAGGLER_LOG_RATIO) job.recordSlowMachine(machine.id);
    }
    return found ?? NO_EVIDENCE;
  }

  /** log(time run / time expected) of a task that has run too long already; 0 where it says nothing of its machine. */
  private overrunLogRatio({ job, phase, runningSince }: Placement, now: MonotonicTime): number {
    if (phase !== 'running' || runningSince === null) return 0;
    // A service runs for as long as its user wants, and a gang is as slow as its slowest machine.
    if (job.isService || (job.isGang && job.spec.taskCount > 1)) return 0;
    if (job.isMisestimated) return 0;
    const ranS = (now - runningSince) / 1000;
    return Math.max(0, Math.log(ranS / this.cluster.runtimeEstimator.expectedSeconds(job.spec)));
  }

  /** Work on a machine about to go is saved where that helps; what would end in time is left alone. */
  private evictFromLeavingMachines(now: MonotonicTime): void {
    for (const machine of this.cluster.machines.values()) {
      if (!machine.cordon.isLeaving) continue;
      for (const placement of [...this.cluster.placements.onMachine(machine).values()]) {
        if (placement.pendingStop === null) this.evictFromLeavingMachine(placement, now);
      }
    }
  }

  private evictFromLeavingMachine(placement: Placement, now: MonotonicTime): void {
    if (placement.phase === 'planned') this.cluster.placements.release(placement);
    else if (placement.job.isService) moveReplica(this.cluster, placement);
    else if (!this.finishesInTime(placement, now)) this.cluster.placements.evictWithCheckpoint(placement);
  }

  private finishesInTime({ job, machine, phase, runningSince }: Placement, now: MonotonicTime): boolean {
    const { drainReason, interruptionAt } = machine.cordon;
    if (phase !== 'running' || drainReason === 'straggler') return false;
    const leftS = interruptionAt === null ? DRAIN_SECONDS : (interruptionAt - now) / 1000;
    const expectedS = this.cluster.runtimeEstimator.expectedSeconds(job.spec);
    const remainingS = runningSince === null ? expectedS + TASK_START_SECONDS : expectedS - (now - runningSince) / 1000;
    return remainingS < leftS * FINISH_IN_TIME_SHARE;
  }
}

const NO_EVIDENCE: ReadonlyMap<JobId, StragglerEvidence> = new Map();
