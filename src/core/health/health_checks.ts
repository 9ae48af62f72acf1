/** Looks after machines once a second: heartbeats that are missing, machines at fault, and work on machines about to go. */
import { workerLeaseExpiryMs } from '../lease_bounds.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { MonotonicTime } from '../types.js';
import { evictFromLeavingMachines } from './graceful_evictions.js';
import { StragglerChecks } from './straggler_checks.js';

/** So many machines must have sent heartbeats before what they don't hear says anything of this controller. */
const MIN_MACHINES_FOR_ISOLATION_CHECK = 3;

/** The checks that a leader runs once a second, and what follows from them. */
export class HealthChecks {
  private readonly stragglerChecks: StragglerChecks;

  /** `scheduleRoundSoon` is called when capacity was freed or a machine was drained. */
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

  /** Releases what is only planned on machines that are not heard, and everything on those whose lease has expired. */
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
   * A previous leader may have started only a part of a gang. Once all machines that may hold the rest are reconciled, the rest
   * is certain not to be anywhere, and the part that runs would wait in vain (gang-half-placed.txt).
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
        const isRunning = phase === 'running' && runningSince !== null;
        if (isRunning && failureHistory.isHealthyAfter(now - runningSince)) failureHistory.recordSuccess();
      }
    }
  }

  /** Counts machines that did not come up in time, each once: others of their type and zone may be late too. */
  private recordOverdueBoots(now: MonotonicTime): void {
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'booting' || !this.cluster.machines.isBootOverdue(machine)) continue;
      if (!machine.lifecycle.recordBootOverdue()) continue;
      this.cluster.bootTimeEstimator.recordOverdue(machine.type, machine.zone, now);
    }
  }

  /** Drains machines that fail what runs elsewhere. */
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
   * Nobody has answered it for longer than its lease, not even a previous leader: whatever it held is gone. It comes back
   * with a new agent epoch, and nothing of the old one counts.
   */
  private onLeaseExpired(machine: Machine): void {
    this.cluster.context.log('agent lease expired', {
      machine: machine.id,
      lostTasks: machine.allocations.taskCount,
      reconciled: machine.reconciled,
    });
    this.cluster.clearMachine(machine, 'agentLeaseExpired');
    machine.messages.expireEpoch();
    machine.commandChannel.clearUnconfirmedStarts();
    this.cluster.markReconciled(machine, 'leaseEnded');
    this.scheduleRoundSoon();
  }

  /** Whether most machines hear nothing of what is sent: then it is this controller that is cut off, and another should lead. */
  isLeaderIsolated(): boolean {
    let heard = 0;
    let unresponsive = 0;
    for (const machine of this.cluster.machines.values()) {
      if (machine.phase !== 'up' || machine.messages.firstHeartbeatAt === null) continue;
      heard += 1;
      if (machine.reachability.isUnresponsive) unresponsive += 1;
    }
    return heard >= MIN_MACHINES_FOR_ISOLATION_CHECK && unresponsive * 2 > heard;
  }
}
