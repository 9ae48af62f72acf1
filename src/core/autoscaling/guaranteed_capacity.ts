import type { CapacityPool } from '../machines/capacity_pool.js';
import type { Cluster } from '../state/cluster.js';
import type { MachineType, MonotonicTime } from '../types.js';
import type { ScaleOut } from './scale_out.js';

/** Capacity for guarantees is given back when there has been no work at all for so long. */
const KEEP_WHILE_IDLE_MS = 30_000;
/** Guarantees are met up to a rest that comes of decimal amounts. */
export const CAPACITY_TOLERANCE = 0.5;
/** A guarantee is not left to spot machines while others can be had. */
const SPOT_PENALTY = 1000;

/** Cores and GPUs; changed in place while machines are judged. */
export interface Capacity {
  cpus: number;
  gpus: number;
}

/** Keeps capacity for all teams' guarantees while there is work: guaranteed teams need not wait for machines to boot. */
export class GuaranteedCapacity {
  private lastWorkAt: MonotonicTime;

  constructor(
    private readonly cluster: Cluster,
    private readonly scaleOut: ScaleOut,
  ) {
    this.lastWorkAt = cluster.context.after(-KEEP_WHILE_IDLE_MS);
  }

  noteActiveWork(): void {
    if (this.cluster.jobs.active.size > 0) this.lastWorkAt = this.cluster.context.now.monotonic;
  }

  /** What the guarantees ask for beyond what is there; negative: to spare; minus infinity where none is given. */
  deficit(): Capacity {
    const asked = this.required();
    const missing: Capacity = { ...asked };
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
      cpus: asked.cpus > 0 ? missing.cpus : Number.NEGATIVE_INFINITY,
      gpus: asked.gpus > 0 ? missing.gpus : Number.NEGATIVE_INFINITY,
    };
  }

  private required(): Capacity {
    const asked: Capacity = { cpus: 0, gpus: 0 };
    const { context, quotas } = this.cluster;
    const workMs = context.now.monotonic - this.lastWorkAt;
    if (!context.tuning.machines.keep_guarantees || workMs >= KEEP_WHILE_IDLE_MS) return asked;
    for (const { guaranteedCpus, guaranteedGpus } of quotas.teamsInOrder()) {
      asked.cpus += guaranteedCpus;
      asked.gpus += guaranteedGpus;
    }
    return asked;
  }

  /** Rents what is missing, of the kind that brings most for its price. */
  provisionDeficit(): void {
    const missing = this.deficit();
    const lacksGpus = missing.gpus >= CAPACITY_TOLERANCE;
    if (!lacksGpus && missing.cpus < CAPACITY_TOLERANCE) return;
    if (this.scaleOut.hasPendingRequests()) return;
    const gain = (type: MachineType): number => (lacksGpus ? type.gpus : type.cpus);
    const kind = this.cheapestPool(gain);
    if (!kind) return;
    const missingAmount = lacksGpus ? missing.gpus : missing.cpus;
    this.scaleOut.provision(kind, Math.ceil(missingAmount / gain(kind.type)));
  }

  private cheapestPool(gain: (type: MachineType) => number): CapacityPool | null {
    let cheapest: CapacityPool | null = null;
    let lowestCost = Number.POSITIVE_INFINITY;
    for (const type of this.cluster.machineTypes.values()) {
      if (gain(type) <= 0) continue;
      for (const kind of poolsOf(type)) {
        const cost = type.pricePerHour / gain(type) + (kind.spot ? SPOT_PENALTY : 0);
        if (cost >= lowestCost || this.scaleOut.isBackedOff(kind)) continue;
        cheapest = kind;
        lowestCost = cost;
      }
    }
    return cheapest;
  }
}

const poolsOf = (type: MachineType): CapacityPool[] =>
  type.zones.flatMap((zone) => [false, true].map((spot) => ({ type, zone, spot })));
