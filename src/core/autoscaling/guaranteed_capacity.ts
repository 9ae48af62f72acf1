/** Provisions and keeps capacity for the teams' guaranteed quotas while there are active jobs. */
import type { CapacityPool } from '../machines/capacity_pool.js';
import type { Cluster } from '../state/cluster.js';
import type { MachineType, MonotonicTime } from '../types.js';
import type { ScaleOut } from './scale_out.js';

/** Time without any active job after which no capacity is kept for guarantees, in milliseconds. */
const IDLE_RETENTION_MS = 30_000;
/**
 * Deficit, in cores or GPUs, below which guarantees count as met. Amounts are decimal numbers, whose sums are not
 * exact.
 */
export const CAPACITY_TOLERANCE = 0.5;
/** Added to the price per core or GPU of spot pools, so that they are used only if no on-demand pool is available. */
const SPOT_PENALTY = 1000;

/** Amounts of cores and GPUs. Scale-in updates them in place while it evaluates machines. */
export interface Capacity {
  cpus: number;
  gpus: number;
}

/** Capacity for the guarantees of all teams, so that their work does not have to wait for machines to boot. */
export class GuaranteedCapacity {
  private lastWorkAt: MonotonicTime;

  constructor(
    private readonly cluster: Cluster,
    private readonly scaleOut: ScaleOut,
  ) {
    this.lastWorkAt = cluster.context.after(-IDLE_RETENTION_MS);
  }

  /** Records whether there are active jobs now. Capacity for guarantees is kept for a while after the last one. */
  recordActiveWork(): void {
    if (this.cluster.jobs.active.size > 0) this.lastWorkAt = this.cluster.context.now.monotonic;
  }

  /**
   * Returns the guaranteed capacity that neither the usable machines, idle or not, nor pending requests provide.
   * Negative amounts are a surplus, and minus infinity means that nothing is guaranteed.
   */
  deficit(): Capacity {
    const required = this.required();
    const missing: Capacity = { ...required };
    const subtract = (type: MachineType, count: number): void => {
      missing.cpus -= type.cpus * count;
      missing.gpus -= type.gpus * count;
    };
    for (const machine of this.cluster.machines.values()) {
      const isUsable = !machine.cordon.isDraining && !machine.lifecycle.isTerminating;
      if (isUsable && !this.cluster.machines.isBootOverdue(machine)) subtract(machine.type, 1);
    }
    for (const { pool, count } of this.scaleOut.pendingRequests()) subtract(pool.type, count);
    return {
      cpus: required.cpus > 0 ? missing.cpus : Number.NEGATIVE_INFINITY,
      gpus: required.gpus > 0 ? missing.gpus : Number.NEGATIVE_INFINITY,
    };
  }

  /**
   * Returns the capacity that all guarantees require. It is zero if there has been no active job recently, or if the
   * setting `keep_guarantees` is off.
   */
  private required(): Capacity {
    const required: Capacity = { cpus: 0, gpus: 0 };
    const { context, quotas } = this.cluster;
    const msSinceWork = context.now.monotonic - this.lastWorkAt;
    if (!context.tuning.machines.keep_guarantees || msSinceWork >= IDLE_RETENTION_MS) return required;
    for (const { guaranteed } of quotas.teamsInOrder()) {
      required.cpus += guaranteed.cpus;
      required.gpus += guaranteed.gpus;
    }
    return required;
  }

  /**
   * Provisions the deficit from the pool with the lowest price per missing core or GPU. Does nothing while requests are
   * pending.
   */
  provisionDeficit(): void {
    const deficit = this.deficit();
    const lacksGpus = deficit.gpus >= CAPACITY_TOLERANCE;
    if (!lacksGpus && deficit.cpus < CAPACITY_TOLERANCE) return;
    if (this.scaleOut.hasPendingRequests()) return;
    const capacityOf = (type: MachineType): number => (lacksGpus ? type.gpus : type.cpus);
    const pool = this.cheapestPool(capacityOf);
    if (!pool) return;
    const missingAmount = lacksGpus ? deficit.gpus : deficit.cpus;
    this.scaleOut.provision(pool, Math.ceil(missingAmount / capacityOf(pool.type)));
  }

  /** Returns the pool with the lowest price per unit of `capacityOf`, except pools that are backed off. */
  private cheapestPool(capacityOf: (type: MachineType) => number): CapacityPool | null {
    let cheapest: CapacityPool | null = null;
    let lowestCost = Number.POSITIVE_INFINITY;
    for (const type of this.cluster.machineTypes.values()) {
      if (capacityOf(type) <= 0) continue;
      for (const pool of poolsOf(type)) {
        const cost = type.pricePerHour / capacityOf(type) + (pool.spot ? SPOT_PENALTY : 0);
        if (cost >= lowestCost || this.scaleOut.isBackedOff(pool)) continue;
        cheapest = pool;
        lowestCost = cost;
      }
    }
    return cheapest;
  }
}

const poolsOf = (type: MachineType): CapacityPool[] =>
  type.zones.flatMap((zone) => [false, true].map((spot) => ({ type, zone, spot })));
