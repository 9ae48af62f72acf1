/**
 * Checks machines once per second for missing heartbeats and faults, and evicts work from machines that are about to be
 * terminated.
 */
import { workerLeaseExpiryMs } from '../lease_bounds.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { MonotonicTime } from '../types.js';
import { evictFromLeavingMachines } from './graceful_evictions.js';
import { StragglerChecks } from './straggler_checks.js';

/**
 * Minimum number of machines that have sent heartbeats before unresponsive machines can show that this controller is
 * isolated.
 */
const MIN_MACHINES_FOR_ISOLATION_CHECK = 3;

/** The health checks that a leader runs once per second, and the actions that they trigger. */
export class HealthChecks {
  private readonly stragglerChecks: StragglerChecks;

  /** `scheduleRoundSoon` is called when a worker's lease has expired or a straggler was drained. */
  constructor(
    private readonly cluster: Cluster,
    private readonly scheduleRoundSoon: () => void,
  ) {
    this.stragglerChecks = new StragglerChecks(cluster);
  }

  /** Runs all checks once. */
  run(): void {
    const now = this.cluster.context.now.monotonic;
    this.checkHeartbeats(now);
    this.breakIncompleteGangs();
    this.recordHealthyTasks(now);
    this.drainFaultyMachines();
    this.recordOverdueBoots(now);
    if (this.stragglerChecks.drainOneStraggler(now)) this.scheduleRoundSoon();
    evictFromLeavingMachines(this.cluster, now);
  }

  /**
   * Releases planned placements on machines with overdue heartbeats, and all placements on machines with expired
   * leases.
   */
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
   * Breaks gangs of which a previous leader started only a part. Once all machines that may hold the other tasks are
   * reconciled, those tasks are certain not to be on any machine, and the started tasks would wait for them until the
   * gang barrier times out (scenario gang-half-placed.txt).
   */
  private breakIncompleteGangs(): void {
    const { previousTerms } = this.cluster;
    const unreconciled = previousTerms.updateUnreconciled();
    if (unreconciled > 0 && previousTerms.recovery === null) return;
    for (const job of this.cluster.jobs.active) {
      const isIncomplete = job.isGang && job.placedCount > 0 && job.placedCount < job.spec.taskCount;
      if (!isIncomplete || job.state !== 'accepted' || previousTerms.mayRunOnUnreconciledMachine(job)) continue;
      this.cluster.placements.breakGang(job);
    }
  }

  /**
   * Records a success for a job with failures once one of its tasks has run much longer than the others took to fail.
   */
  private recordHealthyTasks(now: MonotonicTime): void {
    for (const job of this.cluster.jobs.active) {
      const { failureHistory } = job;
      if (!failureHistory.hasFailed || failureHistory.hasSucceeded) continue;
      for (const { phase, runningSince } of this.cluster.placements.ofJob(job).values()) {
        const isRunning = phase === 'running' && runningSince !== null;
        if (isRunning && failureHistory.isHealthyAfter(now - runningSince)) failureHistory.recordSuccess();
      }
    }
  }

  /** Counts each machine with an overdue boot once, because other machines of its type and zone may be late too. */
  private recordOverdueBoots(now: MonotonicTime): void {
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'booting' || !this.cluster.machines.isBootOverdue(machine)) continue;
      if (!machine.lifecycle.recordBootOverdue()) continue;
      this.cluster.bootTimeEstimator.recordOverdue(machine.type, machine.zone, now);
    }
  }

  /** Drains machines with too many failures of jobs that run elsewhere or are not known to be faulty. */
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
   * Handles the expiry of a worker's lease. No leader, including previous ones, has responded to the worker for longer
   * than its lease, so all its tasks have ended. The worker returns with a new agent epoch, and messages of the old
   * epoch are ignored.
   */
  private onLeaseExpired(machine: Machine): void {
    this.cluster.context.log('agent lease expired', {
      machine: machine.id,
      lostTasks: machine.allocations.taskCount,
      reconciled: machine.reconciled,
    });
    this.cluster.clearMachine(machine, 'agentLeaseExpired');
    machine.messages.expireEpoch();
    machine.commandChannel.clearPushedStarts();
    this.cluster.markReconciled(machine, 'leaseEnded');
    this.scheduleRoundSoon();
  }

  /**
   * Returns whether most machines that send heartbeats are unresponsive. In that case this controller itself is
   * partitioned, and another one should lead.
   */
  isLeaderIsolated(): boolean {
    let machinesWithHeartbeats = 0;
    let unresponsive = 0;
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'up' || machine.messages.firstHeartbeatAt === null) continue;
      machinesWithHeartbeats += 1;
      if (machine.reachability.isUnresponsive) unresponsive += 1;
    }
    return machinesWithHeartbeats >= MIN_MACHINES_FOR_ISOLATION_CHECK && unresponsive * 2 > machinesWithHeartbeats;
  }
}
