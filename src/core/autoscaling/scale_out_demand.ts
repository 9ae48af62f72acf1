/** Computes, once per planning round, which new machines would start waiting work sooner than the plan does. */
import { type CapacityPool, capacityPoolKey } from '../machines/capacity_pool.js';
import { pullSeconds } from '../machines/image_cache.js';
import { countFitting, RESOURCE_TOLERANCE } from '../resource_amounts.js';
import type { PlanJob } from '../scheduler/plan_types.js';
import type { RoundResult } from '../scheduler/round_result.js';
import { type GpuDemand, gpuDemand, spareCapacityOfType } from '../scheduler/spare_capacity.js';
import type { Cluster } from '../state/cluster.js';
import type { MachineType, MachineTypeName, ZoneName } from '../types.js';
import type { ScaleOut } from './scale_out.js';

/** Factor on the price of spot machines in comparisons, because they can be interrupted. */
const SPOT_PRICE_FACTOR = 1.1;
/** Relative cost increase per machine of the type in the zone. At equal prices the zone with fewer machines is used. */
const CROWDED_ZONE_FACTOR = 0.01;
/** Relative cost increase of a type and zone, multiplied by the share of its recent boots that were overdue. */
const OVERDUE_BOOT_FACTOR = 1;
/** Assumed number of tasks per machine for a job whose tasks request no resources. */
const UNBOUNDED_TASKS = 1000;

/** Waiting tasks for which machines may have to be provisioned. */
interface DelayedTasks {
  readonly job: PlanJob;
  readonly tasks: number;
  /** Whether some of the tasks fit no machine of the plan. */
  readonly unplaced: boolean;
}

/** Demand for machines of one pool. `machines` is fractional and summed over jobs. At least `minimum` are needed. */
interface PoolDemand {
  readonly pool: CapacityPool;
  machines: number;
  minimum: number;
}

/** Demand of one planning round for new machines, by capacity pool. */
export class ScaleOutDemand {
  private readonly demandByPool = new Map<string, PoolDemand>();
  private readonly machineCounts: ReadonlyMap<string, number>;
  private readonly gpuDemand: GpuDemand;

  constructor(
    private readonly cluster: Cluster,
    private readonly scaleOut: ScaleOut,
    private readonly round: RoundResult,
  ) {
    this.machineCounts = this.countMachines();
    this.gpuDemand = gpuDemand(cluster);
  }

  /** Requests the machines that are needed and not covered by pending requests. */
  provision(): void {
    for (const delayed of this.delayedTasks()) this.addDelayed(delayed);
    this.addUnplanned();
    const { rent_round_up } = this.cluster.context.tuning.machines;
    const pendingByType = this.countPending();
    for (const { pool, machines, minimum } of this.demandByPool.values()) {
      const needed = Math.max(minimum, Math.floor(machines + rent_round_up));
      const pending = pendingByType.get(pool.type.name) ?? 0;
      const covered = Math.min(needed, pending);
      pendingByType.set(pool.type.name, pending - covered);
      if (needed > covered) this.scaleOut.provision(pool, needed - covered);
    }
  }

  /**
   * Returns the number of machines in pending requests, by type. They are counted before this round makes its own
   * requests, so that a request that it makes for one pool does not cover its demand for another.
   */
  private countPending(): Map<MachineTypeName, number> {
    const counts = new Map<MachineTypeName, number>();
    for (const { pool, count } of this.scaleOut.pendingRequests()) {
      counts.set(pool.type.name, (counts.get(pool.type.name) ?? 0) + count);
    }
    return counts;
  }

  private add(pool: CapacityPool, machines: number, minimum: number): void {
    const key = capacityPoolKey(pool);
    const demand = this.demandByPool.get(key) ?? { pool, machines: 0, minimum: 0 };
    demand.machines += machines;
    demand.minimum = Math.max(demand.minimum, minimum);
    this.demandByPool.set(key, demand);
  }

  /**
   * Adds demand for machines of the cheapest pool for delayed tasks. If the job's zone allowance admits only part of
   * them to that pool's zone, the rest goes to the cheapest pool in another zone.
   */
  private addDelayed({ job, tasks, unplaced }: DelayedTasks): void {
    // Tasks that fit no machine get at least one new machine, because rounding down could starve a small job.
    const minimum = unplaced ? 1 : 0;
    const fullZones = new Set<ZoneName>();
    for (let remaining = tasks; remaining > 0; ) {
      const pool = this.cheapestPool(job, remaining, fullZones);
      if (!pool) return;
      // A job with a zone spread needs machines in several zones at once.
      const tasksInZone = Math.min(remaining, job.zoneAllowance?.get(pool.zone) ?? remaining);
      this.add(pool, this.machinesNeeded(job, pool.type, tasksInZone), minimum);
      fullZones.add(pool.zone);
      remaining -= tasksInZone;
    }
  }

  /**
   * Adds demand for jobs beyond those that the round planned in full. Booting machines that the plan does not use cover
   * part of it.
   */
  private addUnplanned(): void {
    const unused = this.unusedExpectedMachines();
    for (const { job, tasks } of this.round.unplannedTasks) {
      const pool = this.mayTriggerScaleOut(job) ? this.cheapestPool(job, tasks) : null;
      if (!pool) continue;
      const machines = this.machinesNeeded(job, pool.type, tasks);
      const free = unused.get(pool.type.name) ?? 0;
      const taken = Math.min(machines, free);
      unused.set(pool.type.name, free - taken);
      this.add(pool, machines - taken, 0);
    }
  }

  /** Returns, by type, the number of expected machines on which the plan starts nothing. */
  private unusedExpectedMachines(): Map<MachineTypeName, number> {
    const used = new Set(this.round.capacityPlan.starts.map((start) => start.machineIndex));
    const unused = new Map<MachineTypeName, number>();
    this.round.machines.forEach((machine, index) => {
      if (!this.cluster.machines.isExpected(machine) || used.has(index)) return;
      unused.set(machine.typeName, (unused.get(machine.typeName) ?? 0) + 1);
    });
    return unused;
  }

  /** Returns the tasks that the plan starts later than a new machine could, or not at all. */
  private delayedTasks(): DelayedTasks[] {
    const { capacityPlan, planJobs } = this.round;
    const marginSeconds = this.cluster.context.tuning.machines.rent_margin_s;
    const delayed = new Map<number, number>();
    const add = (jobIndex: number, tasks: number): void => {
      delayed.set(jobIndex, (delayed.get(jobIndex) ?? 0) + tasks);
    };
    for (const start of capacityPlan.starts) {
      const job = planJobs[start.jobIndex] as PlanJob;
      if (start.startAtSeconds > this.earliestStartOnNewMachineSeconds(job) + marginSeconds)
        add(start.jobIndex, start.tasks);
    }
    for (const [jobIndex, tasks] of capacityPlan.unplacedTasks) add(jobIndex, tasks);
    return [...delayed]
      .map(([jobIndex, tasks]) => ({
        job: planJobs[jobIndex] as PlanJob,
        tasks,
        unplaced: (capacityPlan.unplacedTasks.get(jobIndex) ?? 0) > 0,
      }))
      .filter(({ job }) => this.mayTriggerScaleOut(job));
  }

  /**
   * Returns whether machines may be provisioned for the job. A job that recently failed on several machines is retried
   * on existing machines only.
   */
  private mayTriggerScaleOut({ index }: PlanJob): boolean {
    const job = this.round.jobs[index];
    return job === undefined || job.failureHistory.mayTriggerScaleOut(this.cluster.context.now.monotonic);
  }

  /**
   * Returns the seconds until a machine provisioned now could start the job. Infinite if no type and zone can run it.
   */
  private earliestStartOnNewMachineSeconds(job: PlanJob): number {
    const { bootTimeEstimator, context, machineTypes } = this.cluster;
    let earliest = Number.POSITIVE_INFINITY;
    for (const type of machineTypes.values()) {
      if (!this.canRun(job, type)) continue;
      const imagePullSeconds = pullSeconds(job.imageGb, type.imagePullGbPerSecond);
      for (const zone of type.zones) {
        if (!mayUseZone(job, zone)) continue;
        earliest = Math.min(
          earliest,
          bootTimeEstimator.expectedSeconds(type, zone, context.now.monotonic) + imagePullSeconds,
        );
      }
    }
    return earliest;
  }

  /**
   * Returns how many machines complete the tasks within the horizon `rent_horizon_s`. For a gang, returns how many
   * machines run all of its tasks at once.
   */
  private machinesNeeded(job: PlanJob, type: MachineType, tasks: number): number {
    const perMachine = tasksPerMachine(job, type);
    if (job.isGang) return tasks / perMachine;
    const horizonSeconds = this.cluster.context.tuning.machines.rent_horizon_s;
    const runsInHorizon = Math.max(1, horizonSeconds / Math.max(1, job.durationSeconds));
    return tasks / (perMachine * runsInHorizon);
  }

  /**
   * Returns the pool with the lowest cost per task of the job, or null if there is none. Pools that are backed off or
   * in `fullZones` are excluded.
   */
  private cheapestPool(job: PlanJob, tasks: number, fullZones?: ReadonlySet<ZoneName>): CapacityPool | null {
    const { bootTimeEstimator, context } = this.cluster;
    let cheapest: CapacityPool | null = null;
    let lowestCost = Number.POSITIVE_INFINITY;
    for (const pool of this.feasiblePools(job)) {
      if (this.scaleOut.isBackedOff(pool) || fullZones?.has(pool.zone)) continue;
      const { type, zone, spot } = pool;
      const price = spot ? type.spotPricePerHour * SPOT_PRICE_FACTOR : type.pricePerHour;
      const crowdingFactor = 1 + CROWDED_ZONE_FACTOR * (this.machineCounts.get(countKey(type.name, zone)) ?? 0);
      // If boots of this type and zone were recently overdue, other pools that can run the job are preferred.
      const overdueBootFactor =
        1 + OVERDUE_BOOT_FACTOR * bootTimeEstimator.overdueShare(type, zone, context.now.monotonic);
      const cost = (price / Math.min(tasks, tasksPerMachine(job, type))) * crowdingFactor * overdueBootFactor;
      if (cost >= lowestCost) continue;
      lowestCost = cost;
      cheapest = pool;
    }
    return cheapest;
  }

  /**
   * Returns whether a new machine of the type could run a task of the job. On a type with GPUs, a job without GPUs is
   * limited to the cores and memory that GPU work leaves, unless its placement penalties no longer apply. A machine
   * provisioned for a job beyond that limit would stay idle, be terminated and be provisioned again.
   */
  private canRun(job: PlanJob, type: MachineType): boolean {
    if (
      tasksPerMachine(job, type) < 1 ||
      (job.allowedMachineTypes !== null && !job.allowedMachineTypes.includes(type.name))
    )
      return false;
    if (job.gpus > 0 || type.gpus === 0 || job.penaltyFactor === 0) return true;
    const spare = spareCapacityOfType(type, this.gpuDemand);
    return spare.cpus + RESOURCE_TOLERANCE >= job.cpus && spare.memoryGb + RESOURCE_TOLERANCE >= job.memoryGb;
  }

  /** Yields the pools whose machines may run the job. */
  private *feasiblePools(job: PlanJob): Iterable<CapacityPool> {
    const types = [...this.cluster.machineTypes.values()].filter((type) => this.canRun(job, type));
    // Machines with GPUs are provisioned for a job without GPUs only if no type without GPUs can run it.
    const avoidGpus = job.gpus === 0 && types.some((type) => type.gpus === 0);
    const spotChoices = job.toleratesSpot ? [true, false] : [false];
    for (const type of types) {
      if (avoidGpus && type.gpus > 0) continue;
      // A machine in a zone that the job may not use would stay idle, be terminated and be provisioned again.
      const zones = type.zones.filter((zone) => mayUseZone(job, zone));
      for (const zone of zones) for (const spot of spotChoices) yield { type, zone, spot };
    }
  }

  /** Returns the number of known and requested machines, by type and zone. */
  private countMachines(): Map<string, number> {
    const counts = new Map<string, number>();
    const add = (type: MachineTypeName, zone: ZoneName, count: number): void => {
      const key = countKey(type, zone);
      counts.set(key, (counts.get(key) ?? 0) + count);
    };
    for (const { typeName, zone } of this.cluster.machines.values()) add(typeName, zone, 1);
    for (const { pool, count } of this.scaleOut.pendingRequests()) add(pool.type.name, pool.zone, count);
    return counts;
  }
}

/** Returns whether the job may run in the zone and its zone allowance there is not used up. */
const mayUseZone = (job: PlanJob, zone: ZoneName): boolean =>
  (job.requiredZone === null || job.requiredZone === zone) && job.zoneAllowance?.get(zone) !== 0;

const countKey = (type: MachineTypeName, zone: ZoneName): string => `${type}|${zone}`;

/** Returns how many of the job's tasks an empty machine of the type can run at once. */
function tasksPerMachine(job: PlanJob, type: MachineType): number {
  const { cpus, gpus, memoryGb } = type;
  const tasks = Math.min(
    countFitting(cpus, job.cpus),
    countFitting(gpus, job.gpus),
    countFitting(memoryGb, job.memoryGb),
  );
  return Number.isFinite(tasks) ? tasks : UNBOUNDED_TASKS;
}
