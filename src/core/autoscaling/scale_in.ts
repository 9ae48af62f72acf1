/** Terminates machines: those that stand idle, are drained and empty, or will not be heard again. */
import { startKey, startKeyOf } from '../jobs/task_keys.js';
import { HEARTBEAT_OVERDUE_AFTER_PERIODS } from '../machines/agent_messages.js';
import type { DrainReason } from '../machines/cordon.js';
import type { Machine } from '../machines/machine.js';
import type { Cluster } from '../state/cluster.js';
import type { MonotonicTime } from '../types.js';
import { CAPACITY_TOLERANCE, type Capacity } from './guaranteed_capacity.js';

/** What the cloud takes in one request, and how many requests are under way at once. */
const TERMINATION_BATCH_SIZE = 100;
const MAX_CONCURRENT_TERMINATIONS = 2;
const TERMINATION_PRIORITY = 1;
const ROUND_AFTER_TERMINATION_MS = 20;
/** So many machines with overdue heartbeats, or such a share of all, are few: the fault is theirs. */
const FEW_OVERDUE_MACHINES = 2;
const FEW_OVERDUE_SHARE = 0.03;
/** A new leader judges heartbeats only after so many of their intervals. */
const JUDGE_HEARTBEATS_AFTER_PERIODS = 3;
/** A spot machine without contact for so many intervals is taken for lost. */
const SPOT_LOST_AFTER_PERIODS = 4;
/** A machine that stays without contact, or unresponsive, for this long beyond a lease is given up. */
const GIVE_UP_AFTER_LEASE_MS = 15_000;
/** No boot is given up sooner. */
const MIN_BOOT_TIMEOUT_SECONDS = 30;
/** A machine is charged for a minute whatever happens: it is not terminated much sooner. */
const MIN_CHARGED_SECONDS = 55;

/** What one look at all machines needs to judge each of them. */
interface FleetOverview {
  readonly now: MonotonicTime;
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  /** Most machines are heard, and have been for long enough: one that isn't is at fault itself. */
  readonly mayJudgeHeartbeats: boolean;
  /** Few are not heard. If more are, the network may be cut widely, and heal before their leases expire. */
  readonly fewOverdue: boolean;
}

/** Judges machines and terminates them, in batches. */
export class ScaleIn {
  private queue: Machine[] = [];
  private requestsInFlight = 0;

  /** `unregister` is told of machines that are terminated, `onLost` of those that were lost before. */
  constructor(
    private readonly cluster: Cluster,
    private readonly unregister: (machine: Machine) => void,
    private readonly onLost: (machine: Machine) => void,
  ) {}

  /**
   * Judges all machines once. `deficit`: what guarantees ask for beyond what is there, negative where there is some to spare;
   * it is changed in place.
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
    let heard = 0;
    for (const { phase, messages } of this.cluster.machines.values()) {
      if (phase !== 'up') continue;
      up += 1;
      if (now.monotonic - messages.lastContactAt < HEARTBEAT_OVERDUE_AFTER_PERIODS * heartbeatIntervalMs) heard += 1;
    }
    const ledLongEnough = now.monotonic - leadingSince > JUDGE_HEARTBEATS_AFTER_PERIODS * heartbeatIntervalMs;
    return {
      now: now.monotonic,
      heartbeatIntervalMs,
      leaseMs,
      mayJudgeHeartbeats: heard * 2 >= up && ledLongEnough,
      fewOverdue: up - heard <= Math.max(FEW_OVERDUE_MACHINES, FEW_OVERDUE_SHARE * up),
    };
  }

  /** Why the machine should go, whatever capacity is needed; null: it may stay. */
  private terminationReason(machine: Machine, overview: FleetOverview): DrainReason | null {
    const { cordon, isEmpty, lifecycle } = machine;
    if (cordon.isDraining) return isEmpty || lifecycle.wasTerminationRequested ? cordon.drainReason : null;
    if (cordon.interruptionAt !== null && isEmpty) return 'spot interruption';
    if (machine.phase === 'booting') return this.hasBootTimedOut(machine, overview.now) ? 'boot timeout' : null;
    const overdueReason = overview.mayJudgeHeartbeats ? overdueHeartbeatReason(machine, overview) : null;
    if (overdueReason !== null) return overdueReason;
    if (
      holdsOnlyUnconfirmedStarts(this.cluster, machine) &&
      overview.now - machine.messages.lastContactAt < overview.leaseMs
    ) {
      return 'unconfirmed start';
    }
    return overview.mayJudgeHeartbeats && isLongUnresponsive(machine, overview) ? 'unresponsive' : null;
  }

  private hasBootTimedOut(machine: Machine, now: MonotonicTime): boolean {
    const { type, zone } = machine;
    const { bootTimeEstimator, context } = this.cluster;
    const factor =
      context.tuning.machines.boot_give_up *
      bootTimeEstimator.timeoutFactor(type, zone, machine.lifecycle.provisionedAt, now);
    return machine.lifecycle.ageSeconds(now) > Math.max(MIN_BOOT_TIMEOUT_SECONDS, type.bootSeconds * factor);
  }

  /** Where the machine stands idle and no guarantee needs it; takes it off what is to spare. */
  private idleReason(machine: Machine, deficit: Capacity): DrainReason | null {
    if (machine.cordon.isDraining || machine.phase === 'booting') return null;
    if (!machine.isEmpty || holdsUnstoredResults(machine) || !this.isIdle(machine)) return null;
    const { cpus, gpus } = machine.type;
    const isGuaranteed = deficit.gpus >= CAPACITY_TOLERANCE - gpus || deficit.cpus >= CAPACITY_TOLERANCE - cpus;
    if (isGuaranteed) return null;
    deficit.gpus += gpus;
    deficit.cpus += cpus;
    return 'idle';
  }

  private isIdle(machine: Machine): boolean {
    const now = this.cluster.context.now.monotonic;
    // Made empty on purpose, for a job that is on its way here.
    if (machine.reservedFor(now) !== null) return false;
    if (machine.lifecycle.ageSeconds(now) < MIN_CHARGED_SECONDS) return false;
    const idleSince = Math.max(
      machine.allocations.idleSince,
      machine.messages.firstHeartbeatAt ?? machine.allocations.idleSince,
    );
    return (now - idleSince) / 1000 >= this.cluster.context.tuning.machines.idle_return_s;
  }

  /** Drains a machine and queues its termination; `sendTerminations` sends it. Without effect if that is under way. */
  requestTermination(machine: Machine, reason: DrainReason): void {
    if (machine.lifecycle.isTerminating) return;
    machine.lifecycle.beginTermination();
    if (reason === 'heartbeat overdue' || reason === 'stopped') this.onLost(machine);
    machine.cordon.drain(reason);
    if (reason === 'boot timeout') this.recordAbandonedBoot(machine);
    this.cluster.context.log('terminating machine', { machine: machine.id, type: machine.typeName, reason });
    this.queue.push(machine);
  }

  private recordAbandonedBoot({ type, zone, lifecycle }: Machine): void {
    this.cluster.bootTimeEstimator.recordAbandoned(
      type,
      zone,
      lifecycle.provisionedAt,
      this.cluster.context.now.monotonic,
    );
  }

  /** Sends what is queued, as many to a request as the cloud takes. */
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
      for (const machine of batch) this.onTerminationAnswered(machine, result.ok);
      if (result.ok) this.cluster.timers.planningRound.set(context.after(ROUND_AFTER_TERMINATION_MS));
      this.sendTerminations();
    });
  }

  private onTerminationAnswered(machine: Machine, terminated: boolean): void {
    if (!this.cluster.machines.isCurrent(machine)) return;
    if (!terminated) {
      machine.lifecycle.failTermination();
      return;
    }
    this.cluster.removeMachine(machine);
    this.unregister(machine);
  }
}

/** Why a machine that has not been heard for some time is terminated; null: it may come back. */
function overdueHeartbeatReason(
  machine: Machine,
  { now, heartbeatIntervalMs, leaseMs, fewOverdue }: FleetOverview,
): DrainReason | null {
  const sinceContactMs = now - machine.messages.lastContactAt;
  const isOverdue = sinceContactMs > HEARTBEAT_OVERDUE_AFTER_PERIODS * heartbeatIntervalMs;
  if (machine.spot && machine.cordon.interruptionAt !== null && isOverdue) return 'spot interruption';
  // Terminating it proves it empty sooner than its lease would.
  if (machine.spot && sinceContactMs > SPOT_LOST_AFTER_PERIODS * heartbeatIntervalMs) return 'heartbeat overdue';
  // Users of a service wait until it is proven that the replica is gone.
  if (fewOverdue && isOverdue && machine.allocations.hasReplica) return 'heartbeat overdue';
  return sinceContactMs > leaseMs + GIVE_UP_AFTER_LEASE_MS ? 'heartbeat overdue' : null;
}

function isLongUnresponsive(machine: Machine, { now, leaseMs }: FleetOverview): boolean {
  const { unresponsiveSince } = machine.reachability;
  return unresponsiveSince !== null && now - unresponsiveSince > leaseMs + GIVE_UP_AFTER_LEASE_MS;
}

/** Whether results are there that aren't on record; exits kept only against a late start go with the machine. */
const holdsUnstoredResults = (machine: Machine): boolean =>
  machine.reportedTasks.exited.some(
    ({ job, index, attempt }) => !machine.commandChannel.isUnconfirmed(startKey(job, index, attempt)),
  );

/** Whether nothing is there but starts of replicas that are no longer needed, and whose pushed commands were never answered. */
function holdsOnlyUnconfirmedStarts(cluster: Cluster, machine: Machine): boolean {
  const { commandChannel } = machine;
  if (!commandChannel.hasUnconfirmedStarts || commandChannel.isBusy) return false;
  for (const placement of cluster.placements.onMachine(machine).values()) {
    const unwanted = placement.phase === 'sent' && placement.pendingStop !== null;
    if (!unwanted || !commandChannel.isUnconfirmed(startKeyOf(placement))) return false;
  }
  return machine.allocations.taskCount > 0;
}
