/** Finds the capacity that is free now for a waiting job, also where plans or reservations keep it for other jobs. */
import type { Job } from '../jobs/job.js';
import { type CapacityPool, capacityPoolKey } from '../machines/capacity_pool.js';
import type { Machine } from '../machines/machine.js';
import { countFitting, fitsInto } from '../resource_amounts.js';
import type { MonotonicTime, Resources } from '../types.js';
import type { ClusterState } from './cluster_state.js';
import { isFeasibleType, isInBoundZone } from './placement_constraints.js';
import { hasZoneAllowance, useZoneAllowance, type ZoneAllowance, zoneAllowance } from './zone_allowance.js';

/** Number of machines looked at that count as one plan step. Only their free amounts are compared. */
const MACHINES_PER_STEP = 16;
/** Maximum number of machines of one pool with room for a task whose suitability is compared. */
const MAX_MACHINES_COMPARED = 16;
/** Seconds of image pull for which a machine without the drawback is preferred to one with it. */
const STRAGGLER_SECONDS = 100_000;
const RESERVED_MACHINE_SECONDS = 10_000;
const UNUSED_GPUS_SECONDS = 1000;

/** Returns whether a job may use a machine, apart from its type, zone and capacity. */
type MachineFilter = (machine: Machine) => boolean;

/** Returns whether a machine may get new tasks now. */
type SchedulableCheck = (machine: Machine, now: MonotonicTime, heartbeatIntervalMs: number) => boolean;

/** A machine with room for a task. A lower unsuitability is better. */
interface MachineOffer {
  readonly machine: Machine;
  readonly unsuitability: number;
}

/** The machines of one capacity pool. */
interface FreePool extends CapacityPool {
  readonly machines: Machine[];
  /**
   * Free capacities of machines, without those that another machine exceeds in each resource. A task fits on a machine
   * of the pool if and only if it fits one of them.
   */
  largest: Resources[];
  /** Index of the machine at which the next search begins, so that searches do not begin with the same full machines. */
  nextIndex: number;
}

/**
 * The free capacity of machines that may get new tasks, summarized by capacity pool. Whether a job has room is answered
 * without looking at each machine, so that a round can ask it for every waiting job.
 */
export class FreeCapacity {
  private machinesLookedAt = 0;
  private readonly pools: readonly FreePool[];

  private constructor(
    private readonly cluster: ClusterState,
    mayGetTasks: SchedulableCheck,
  ) {
    const { now, settings } = cluster.context;
    const { heartbeatIntervalMs } = settings.workers;
    const machines = [...cluster.machines.values()];
    this.pools = groupByPool(machines.filter((machine) => mayGetTasks(machine, now.monotonic, heartbeatIntervalMs)));
    for (const pool of this.pools) this.summarize(pool);
  }

  /** Returns the free capacity of all schedulable machines. */
  static ofSchedulable(cluster: ClusterState): FreeCapacity {
    return new FreeCapacity(cluster, (machine, ...time) => machine.isSchedulable(...time));
  }

  /** Returns the free capacity of all machines that are schedulable or could be, as a last resort. */
  static ofLastResort(cluster: ClusterState): FreeCapacity {
    return new FreeCapacity(cluster, (machine, ...time) => machine.isSchedulableAsLastResort(...time));
  }

  /** Plan steps spent so far. */
  get steps(): number {
    return Math.ceil(this.machinesLookedAt / MACHINES_PER_STEP);
  }

  /** Returns whether a machine that the job may use has room for one of its tasks. Quotas are not checked. */
  hasRoomForTask(job: Job): boolean {
    const allowance = zoneAllowance(this.cluster, job);
    return this.pools.some((pool) => this.mayHaveRoom(pool, job, allowance));
  }

  /**
   * Returns whether the machines that the gang may use have room for all of its tasks together. Quotas are not checked.
   */
  hasRoomForGang(job: Job): boolean {
    return this.machinesForGang(job, () => true) !== null;
  }

  /**
   * Returns the most suitable of some machines with room for a task of the job, or null if there is none. First come
   * those that are not draining, then those that are not reserved for another job, then those without GPUs for a job
   * that requests none, then those with the shortest image pull.
   */
  findMachine(job: Job, mayUse: MachineFilter): Machine | null {
    let best: MachineOffer | null = null;
    for (const pool of this.poolsWithRoom(job, zoneAllowance(this.cluster, job))) {
      const offer = this.bestOffer(pool, job, mayUse);
      if (offer && (best === null || offer.unsuitability < best.unsuitability)) best = offer;
    }
    return best?.machine ?? null;
  }

  private bestOffer(pool: FreePool, job: Job, mayUse: MachineFilter): MachineOffer | null {
    let best: MachineOffer | null = null;
    let compared = 0;
    for (const machine of this.machinesWithRoom(pool, job)) {
      compared += 1;
      const unsuitability = mayUse(machine) ? this.unsuitability(job, machine) : Number.POSITIVE_INFINITY;
      if (unsuitability < (best?.unsuitability ?? Number.POSITIVE_INFINITY)) best = { machine, unsuitability };
      if (compared >= MAX_MACHINES_COMPARED) break;
    }
    // Without a machine, the summary of the pool is older than the latest placements.
    if (compared === 0) this.summarize(pool);
    return best;
  }

  /**
   * Returns a machine for each task of the gang, or null if there is no room for all of them together. With
   * `singleZone` they are in one zone, and a zone spread limits the tasks of each zone.
   */
  machinesForGang(job: Job, mayUse: MachineFilter): Machine[] | null {
    const allowance = zoneAllowance(this.cluster, job);
    const pools = this.poolsWithRoom(job, allowance);
    if (!job.spec.singleZone) return this.fillGang(pools, job, allowance, mayUse);
    for (const zone of new Set(pools.map((pool) => pool.zone))) {
      const inZone = pools.filter((pool) => pool.zone === zone);
      const machines = this.fillGang(inZone, job, allowance && new Map(allowance), mayUse);
      if (machines !== null) return machines;
    }
    return null;
  }

  /** Returns a machine of the pools for each task of the gang, or null if there are too few. Uses up the allowance. */
  private fillGang(
    pools: readonly FreePool[],
    job: Job,
    allowance: ZoneAllowance,
    mayUse: MachineFilter,
  ): Machine[] | null {
    const { taskCount } = job.spec;
    const chosen: Machine[] = [];
    for (const pool of pools) {
      for (const machine of this.machinesWithRoom(pool, job)) {
        if (!mayUse(machine)) continue;
        const allowed = allowance?.get(pool.zone) ?? taskCount;
        const tasks = Math.min(tasksFittingNow(machine, job.spec), allowed, taskCount - chosen.length);
        useZoneAllowance(allowance, pool.zone, job, tasks);
        for (let task = 0; task < tasks; task++) chosen.push(machine);
        if (chosen.length >= taskCount) return chosen;
      }
    }
    return null;
  }

  private poolsWithRoom(job: Job, allowance: ZoneAllowance): FreePool[] {
    return this.pools.filter((pool) => this.mayHaveRoom(pool, job, allowance));
  }

  private mayHaveRoom(pool: FreePool, job: Job, allowance: ZoneAllowance): boolean {
    const { spec } = job;
    return (
      pool.largest.some((free) => fitsInto(free, spec)) &&
      (spec.toleratesSpot || !pool.spot) &&
      isFeasibleType(job, pool.type, pool.zone) &&
      isInBoundZone(this.cluster, job, pool.zone) &&
      hasZoneAllowance(allowance, pool.zone, job)
    );
  }

  /** Yields the machines of the pool that have room for a task of the job. */
  private *machinesWithRoom(pool: FreePool, job: Job): Iterable<Machine> {
    const { machines } = pool;
    for (let looked = 0; looked < machines.length; looked++) {
      const machine = machines[pool.nextIndex % machines.length] as Machine;
      this.machinesLookedAt += 1;
      if (machine.allocations.hasFreeCapacityFor(job.spec)) yield machine;
      pool.nextIndex += 1;
    }
  }

  private unsuitability(job: Job, machine: Machine): number {
    const now = this.cluster.context.now.monotonic;
    const { image, imageGb, gpus } = job.spec;
    const stragglerSeconds = machine.cordon.isDraining ? STRAGGLER_SECONDS : 0;
    const reservedSeconds = machine.isReservedForOther(job.id, now) ? RESERVED_MACHINE_SECONDS : 0;
    const unusedGpusSeconds = gpus === 0 && machine.type.gpus > 0 ? UNUSED_GPUS_SECONDS : 0;
    const pullSeconds = machine.images.remainingPullSeconds(image, imageGb, now);
    return stragglerSeconds + reservedSeconds + unusedGpusSeconds + pullSeconds;
  }

  private summarize(pool: FreePool): void {
    pool.largest = [];
    this.machinesLookedAt += pool.machines.length;
    for (const machine of pool.machines) {
      const { free } = machine.allocations;
      if (pool.largest.some((other) => fitsInto(other, free))) continue;
      pool.largest = pool.largest.filter((other) => !fitsInto(free, other));
      pool.largest.push(free);
    }
  }
}

function groupByPool(machines: readonly Machine[]): FreePool[] {
  const pools = new Map<string, FreePool>();
  for (const machine of machines) {
    const { type, zone, spot } = machine;
    const key = capacityPoolKey(machine);
    const pool = pools.get(key);
    if (pool) pool.machines.push(machine);
    else pools.set(key, { type, zone, spot, machines: [machine], largest: [], nextIndex: 0 });
  }
  return [...pools.values()];
}

/** Returns how many tasks with this demand fit into the free capacity of the machine now. */
function tasksFittingNow(machine: Machine, task: Resources): number {
  const { free } = machine.allocations;
  return Math.min(
    countFitting(free.cpus, task.cpus),
    countFitting(free.gpus, task.gpus),
    countFitting(free.memoryGb, task.memoryGb),
  );
}
