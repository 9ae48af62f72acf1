/** Terminates machines that are idle, drained and empty, lost, unresponsive, or whose boot timed out. */
import { startKey } from '../jobs/task_keys.js';
import { HEARTBEAT_OVERDUE_AFTER_INTERVALS } from '../machines/agent_messages.js';
import type { DrainReason } from '../machines/cordon.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { MonotonicTime } from '../types.js';
import { CAPACITY_TOLERANCE, type Capacity } from './guaranteed_capacity.js';

/** Maximum number of machines that the cloud accepts in one termination request. */
const TERMINATION_BATCH_SIZE = 100;
/** Maximum number of termination requests in flight. */
const MAX_CONCURRENT_TERMINATIONS = 2;
const TERMINATION_PRIORITY = 1;
/** Delay of the planning round that follows a successful termination request, in milliseconds. */
const PLANNING_DELAY_AFTER_TERMINATION_MS = 20;
/**
 * Machines with overdue heartbeats, as a number and as a share of all, up to which the machines themselves are assumed
 * to be at fault. The larger limit applies.
 */
const FEW_OVERDUE_MACHINES = 2;
const FEW_OVERDUE_SHARE = 0.03;
/** Heartbeat intervals after its election in which a leader terminates no machine as overdue or unresponsive. */
const NEW_LEADER_GRACE_INTERVALS = 3;
/** Heartbeat intervals without contact after which a spot machine counts as lost. */
const SPOT_LOST_AFTER_INTERVALS = 4;
/**
 * Time beyond the lease duration after which a machine without contact, or unresponsive, is terminated, in
 * milliseconds.
 */
const TERMINATE_AFTER_LEASE_MS = 15_000;
/** Lower bound of the boot timeout. */
const MIN_BOOT_TIMEOUT_SECONDS = 30;
/** Minimum age at which an idle machine is terminated. The cloud charges every machine for at least one minute. */
const MIN_IDLE_MACHINE_AGE_SECONDS = 55;

/** Summary of all machines that the evaluation of each machine depends on. */
interface FleetOverview {
  readonly now: MonotonicTime;
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  /**
   * Whether at least half of the machines have recent contact, and this controller has led for long enough. A machine
   * without contact is then likely at fault itself.
   */
  readonly mayActOnOverdueHeartbeats: boolean;
  /**
   * Whether few machines lack recent contact. If many do, the cause may be a large network partition that heals before
   * their leases expire.
   */
  readonly fewOverdue: boolean;
}

/** Decides which machines to terminate, and sends their terminations to the cloud in batches. */
export class ScaleIn {
  private queue: Machine[] = [];
  private requestsInFlight = 0;

  /**
   * `unregister` is called for each terminated machine. `onLost` is called when the termination of a machine is
   * requested because its heartbeats are overdue or because it stopped.
   */
  constructor(
    private readonly cluster: Cluster,
    private readonly unregister: (machine: Machine) => void,
    private readonly onLost: (machine: Machine) => void,
  ) {}

  /**
   * Evaluates all machines once. `deficit` is the guaranteed capacity that is missing, negative for a surplus. It is
   * updated in place.
   */
  run(leadingSince: MonotonicTime, deficit: Capacity): void {
    const overview = this.overview(leadingSince);
    for (const machine of [...this.cluster.machines.values()]) {
      if (machine.lifecycle.isTerminating) continue;
      const reason = this.terminationReason(machine, overview) ?? this.idleReason(machine, deficit);
      if (reason !== null) this.requestTermination(machine, reason);
    }
    this.sendTerminations();
  }

  private overview(leadingSince: MonotonicTime): FleetOverview {
    const { settings, now } = this.cluster.context;
    const { heartbeatIntervalMs, leaseMs } = settings.workers;
    let up = 0;
    let withRecentContact = 0;
    for (const { phase, messages } of this.cluster.machines.values()) {
      if (phase !== 'up') continue;
      up += 1;
      if (now.monotonic - messages.lastContactAt < HEARTBEAT_OVERDUE_AFTER_INTERVALS * heartbeatIntervalMs)
        withRecentContact += 1;
    }
    const ledLongEnough = now.monotonic - leadingSince > NEW_LEADER_GRACE_INTERVALS * heartbeatIntervalMs;
    return {
      now: now.monotonic,
      heartbeatIntervalMs,
      leaseMs,
      mayActOnOverdueHeartbeats: withRecentContact * 2 >= up && ledLongEnough,
      fewOverdue: up - withRecentContact <= Math.max(FEW_OVERDUE_MACHINES, FEW_OVERDUE_SHARE * up),
    };
  }

  /** Returns why the machine must be terminated even if its capacity is needed, or null if it may stay. */
  private terminationReason(machine: Machine, overview: FleetOverview): DrainReason | null {
    const { cordon, isEmpty, lifecycle } = machine;
    if (cordon.isDraining) return isEmpty || lifecycle.wasTerminationRequested ? cordon.drainReason : null;
    if (cordon.interruptionAt !== null && isEmpty) return 'spot interruption';
    if (machine.phase === 'booting') return this.hasBootTimedOut(machine, overview.now) ? 'boot timeout' : null;
    const overdueReason = overview.mayActOnOverdueHeartbeats ? overdueHeartbeatReason(machine, overview) : null;
    if (overdueReason !== null) return overdueReason;
    return overview.mayActOnOverdueHeartbeats && isLongUnresponsive(machine, overview) ? 'unresponsive' : null;
  }

  private hasBootTimedOut(machine: Machine, now: MonotonicTime): boolean {
    const { type, zone } = machine;
    const { bootTimeEstimator, context } = this.cluster;
    const factor =
      context.tuning.machines.boot_give_up *
      bootTimeEstimator.timeoutFactor(type, zone, machine.lifecycle.provisionedAt, now);
    return machine.lifecycle.ageSeconds(now) > Math.max(MIN_BOOT_TIMEOUT_SECONDS, type.bootSeconds * factor);
  }

  /**
   * Returns a reason if the machine is idle and no guarantee needs its capacity. The capacity is then subtracted from
   * the surplus in `deficit`.
   */
  private idleReason(machine: Machine, deficit: Capacity): DrainReason | null {
    if (machine.cordon.isDraining || machine.phase === 'booting') return null;
    if (!machine.isEmpty || holdsUnstoredResults(machine) || !this.isIdle(machine)) return null;
    const { cpus, gpus } = machine.type;
    const isNeededForGuarantees =
      (gpus > 0 && deficit.gpus >= CAPACITY_TOLERANCE - gpus) || deficit.cpus >= CAPACITY_TOLERANCE - cpus;
    if (isNeededForGuarantees) return null;
    deficit.gpus += gpus;
    deficit.cpus += cpus;
    return 'idle';
  }

  private isIdle(machine: Machine): boolean {
    const now = this.cluster.context.now.monotonic;
    // The machine was emptied for a job that is about to be placed on it.
    if (machine.reservedFor(now) !== null) return false;
    if (machine.lifecycle.ageSeconds(now) < MIN_IDLE_MACHINE_AGE_SECONDS) return false;
    const idleSince = Math.max(
      machine.allocations.idleSince,
      machine.messages.firstHeartbeatAt ?? machine.allocations.idleSince,
    );
    return (now - idleSince) / 1000 >= this.cluster.context.tuning.machines.idle_return_s;
  }

  /**
   * Drains a machine and enqueues its termination, which `sendTerminations` sends. Has no effect if its termination is
   * already enqueued or in flight.
   */
  requestTermination(machine: Machine, reason: DrainReason): void {
    if (machine.lifecycle.isTerminating) return;
    machine.lifecycle.beginTermination();
    if (reason === 'heartbeat overdue' || reason === 'stopped') this.onLost(machine);
    machine.cordon.drain(reason);
    if (reason === 'boot timeout') this.recordBootTimeout(machine);
    this.cluster.context.log('machine termination requested', { machine: machine.id, type: machine.typeName, reason });
    this.queue.push(machine);
  }

  private recordBootTimeout({ type, zone, lifecycle }: Machine): void {
    this.cluster.bootTimeEstimator.recordTimeout(
      type,
      zone,
      lifecycle.provisionedAt,
      this.cluster.context.now.monotonic,
    );
  }

  /** Sends enqueued terminations in batches, up to the limit of concurrent requests. */
  sendTerminations(): void {
    while (this.queue.length > 0 && this.requestsInFlight < MAX_CONCURRENT_TERMINATIONS) {
      this.sendBatch(this.queue.splice(0, TERMINATION_BATCH_SIZE));
    }
  }

  private sendBatch(batch: readonly Machine[]): void {
    const { context } = this.cluster;
    this.requestsInFlight += 1;
    context.cloud.call({ op: 'terminate', machines: batch.map(({ id }) => id) }, TERMINATION_PRIORITY, (result) => {
      this.requestsInFlight -= 1;
      for (const machine of batch) this.onTerminationResult(machine, result.ok);
      if (result.ok) this.cluster.timers.planningRound.set(context.after(PLANNING_DELAY_AFTER_TERMINATION_MS));
      this.sendTerminations();
    });
  }

  private onTerminationResult(machine: Machine, terminated: boolean): void {
    if (!this.cluster.machines.isCurrent(machine)) return;
    if (!terminated) {
      machine.lifecycle.failTermination();
      return;
    }
    this.cluster.removeMachine(machine);
    this.unregister(machine);
  }
}

/** Returns why a machine without recent contact is terminated, or null if it may resume contact. */
function overdueHeartbeatReason(
  machine: Machine,
  { now, heartbeatIntervalMs, leaseMs, fewOverdue }: FleetOverview,
): DrainReason | null {
  const sinceContactMs = now - machine.messages.lastContactAt;
  const isOverdue = sinceContactMs > HEARTBEAT_OVERDUE_AFTER_INTERVALS * heartbeatIntervalMs;
  if (machine.spot && machine.cordon.interruptionAt !== null && isOverdue) return 'spot interruption';
  // Its termination proves that no task runs on it, sooner than the expiry of its lease would.
  if (machine.spot && sinceContactMs > SPOT_LOST_AFTER_INTERVALS * heartbeatIntervalMs) return 'heartbeat overdue';
  // A replica is replaced only after it is proven that it no longer runs. Users of the service wait until then.
  if (fewOverdue && isOverdue && machine.allocations.hasReplica) return 'heartbeat overdue';
  return sinceContactMs > leaseMs + TERMINATE_AFTER_LEASE_MS ? 'heartbeat overdue' : null;
}

/** Returns whether the machine has been unresponsive for long enough to be terminated. */
function isLongUnresponsive(machine: Machine, { now, leaseMs }: FleetOverview): boolean {
  const { unresponsiveSince } = machine.reachability;
  return unresponsiveSince !== null && now - unresponsiveSince > leaseMs + TERMINATE_AFTER_LEASE_MS;
}

/**
 * Returns whether the machine holds task results that are not stored yet. Exits that are kept only because a pushed
 * start may still arrive do not count, and are lost with the machine.
 */
const holdsUnstoredResults = (machine: Machine): boolean =>
  machine.reportedTasks.exited.some(
    ({ job, index, attempt }) => !machine.commandChannel.isUnconfirmed(startKey(job, index, attempt)),
  );
