/** Keeps capacity for the teams' guaranteed quotas while there is work. */
import type { CapacityPool } from '../machines/capacity_pool.js';
import type { Cluster } from '../state/cluster.js';
import type { MachineType, MonotonicTime } from '../types.js';
import type { ScaleOut } from './scale_out.js';

/** Capacity for guarantees is kept until there has been no work at all for so long. */
const KEEP_WHILE_IDLE_MS = 30_000;
/** Guarantees count as met up to this many cores or GPUs: amounts are decimal, and their sums leave a rest. */
export const CAPACITY_TOLERANCE = 0.5;
/** Added to the price of a core or GPU: a guarantee is not left to spot machines while others can be had. */
const SPOT_PENALTY = 1000;

/** Cores and GPUs; changed in place while machines are judged. */
export interface Capacity {
  cpus: number;
  gpus: number;
}

/** The capacity that all teams' guarantees ask for, so that guaranteed teams need not wait for machines to boot. */
export class GuaranteedCapacity {
  private lastWorkAt: MonotonicTime;

  constructor(
    private readonly cluster: Cluster,
    private readonly scaleOut: ScaleOut,
  ) {
    this.lastWorkAt = cluster.context.after(-KEEP_WHILE_IDLE_MS);
  }

  /** Notes whether there is work now: while there was some lately, guarantees are kept. */
  noteActiveWork(): void {
    if (this.cluster.jobs.active.size > 0) this.lastWorkAt = this.cluster.context.now.monotonic;
  }

  /** What the guarantees ask for beyond what is there; negative: to spare; minus infinity where nothing is guaranteed. */
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

  /** What the guarantees ask for now: nothing while there is no work, or where they are not to be kept. */
  private required(): Capacity {
    const required: Capacity = { cpus: 0, gpus: 0 };
    const { context, quotas } = this.cluster;
    const workMs = context.now.monotonic - this.lastWorkAt;
    if (!context.tuning.machines.keep_guarantees || workMs >= KEEP_WHILE_IDLE_MS) return required;
    for (const { guaranteed } of quotas.teamsInOrder()) {
      required.cpus += guaranteed.cpus;
      required.gpus += guaranteed.gpus;
    }
    return required;
  }

  /** Provisions what is missing, from the pool that gives most for its price. Waits for requests that are pending. */
  provisionDeficit(): void {
    const deficit = this.deficit();
    const lacksGpus = deficit.gpus >= CAPACITY_TOLERANCE;
    if (!lacksGpus && deficit.cpus < CAPACITY_TOLERANCE) return;
    if (this.scaleOut.hasPendingRequests()) return;
    const gain = (type: MachineType): number => (lacksGpus ? type.gpus : type.cpus);
    const pool = this.cheapestPool(gain);
    if (!pool) return;
    const missingAmount = lacksGpus ? deficit.gpus : deficit.cpus;
    this.scaleOut.provision(pool, Math.ceil(missingAmount / gain(pool.type)));
  }

  private cheapestPool(gain: (type: MachineType) => number): CapacityPool | null {
    let cheapest: CapacityPool | null = null;
    let lowestCost = Number.POSITIVE_INFINITY;
    for (const type of this.cluster.machineTypes.values()) {
      if (gain(type) <= 0) continue;
      for (const pool of poolsOf(type)) {
        const cost = type.pricePerHour / gain(type) + (pool.spot ? SPOT_PENALTY : 0);
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
