import type { Cluster } from '../leadership/cluster.js';
import type { MachineType, MonotonicTime } from '../types.js';
import type { MachineKind } from './machine_kind.js';
import type { Rentals } from './rentals.js';

/** Capacity for guarantees is given back when there has been no work at all for so long. */
const KEEP_WITHOUT_WORK_MS = 30_000;
/** Guarantees are met up to a rest that comes of decimal amounts. */
export const GUARANTEE_TOLERANCE = 0.5;
/** A guarantee is not left to spot machines while others can be had. */
const SPOT_PENALTY = 1000;

/** Cores and GPUs; changed in place while machines are judged. */
export interface Capacity {
  cpus: number;
  gpus: number;
}

/** Keeps capacity for all teams' guarantees while there is work: guaranteed teams need not wait for machines to boot. */
export class Guarantees {
  private lastWorkAt: MonotonicTime;

  constructor(
    private readonly cluster: Cluster,
    private readonly rentals: Rentals,
  ) {
    this.lastWorkAt = cluster.context.after(-KEEP_WITHOUT_WORK_MS);
  }

  noteWork(): void {
    if (this.cluster.activeJobs.size > 0) this.lastWorkAt = this.cluster.context.now.monotonic;
  }

  /** What the guarantees ask for beyond what is there; negative: to spare; minus infinity where none is given. */
  missing(): Capacity {
    const asked = this.asked();
    const missing: Capacity = { ...asked };
    const subtract = (type: MachineType, count: number): void => {
      missing.cpus -= type.cpus * count;
      missing.gpus -= type.gpus * count;
    };
    for (const machine of this.cluster.machines.values()) {
      const isUsable = machine.draining === null && !machine.deletionInFlight;
      if (isUsable && !this.cluster.isOverdue(machine)) subtract(machine.type, 1);
    }
    for (const { kind, count } of this.rentals.underWay()) subtract(kind.type, count);
    return {
      cpus: asked.cpus > 0 ? missing.cpus : Number.NEGATIVE_INFINITY,
      gpus: asked.gpus > 0 ? missing.gpus : Number.NEGATIVE_INFINITY,
    };
  }

  private asked(): Capacity {
    const asked: Capacity = { cpus: 0, gpus: 0 };
    const { context, quotas } = this.cluster;
    const workMs = context.now.monotonic - this.lastWorkAt;
    if (!context.tuning.machines.keep_guarantees || workMs >= KEEP_WITHOUT_WORK_MS) return asked;
    for (const { guaranteedCpus, guaranteedGpus } of quotas.teamsInOrder()) {
      asked.cpus += guaranteedCpus;
      asked.gpus += guaranteedGpus;
    }
    return asked;
  }

  /** Rents what is missing, of the kind that brings most for its price. */
  rentMissing(): void {
    const missing = this.missing();
    const lacksGpus = missing.gpus >= GUARANTEE_TOLERANCE;
    if (!lacksGpus && missing.cpus < GUARANTEE_TOLERANCE) return;
    if (this.rentals.anyUnderWay()) return;
    const gain = (type: MachineType): number => (lacksGpus ? type.gpus : type.cpus);
    const kind = this.cheapestKind(gain);
    if (!kind) return;
    const missingAmount = lacksGpus ? missing.gpus : missing.cpus;
    this.rentals.rent(kind, Math.ceil(missingAmount / gain(kind.type)));
  }

  private cheapestKind(gain: (type: MachineType) => number): MachineKind | null {
    let cheapest: MachineKind | null = null;
    let lowestCost = Number.POSITIVE_INFINITY;
    for (const type of this.cluster.types.values()) {
      if (gain(type) <= 0) continue;
      for (const kind of kindsOf(type)) {
        const cost = type.pricePerHour / gain(type) + (kind.spot ? SPOT_PENALTY : 0);
        if (cost >= lowestCost || this.rentals.isRefused(kind)) continue;
        cheapest = kind;
        lowestCost = cost;
      }
    }
    return cheapest;
  }
}

const kindsOf = (type: MachineType): MachineKind[] =>
  type.zones.flatMap((zone) => [false, true].map((spot) => ({ type, zone, spot })));
