/** Works out, once a round, which machines would start waiting work sooner than the plan can. */
import { type CapacityPool, capacityPoolKey } from '../machines/capacity_pool.js';
import { pullSeconds } from '../machines/image_cache.js';
import { countFitting, RESOURCE_TOLERANCE } from '../resource_amounts.js';
import type { PlanJob } from '../scheduler/plan_types.js';
import type { RoundResult } from '../scheduler/round_result.js';
import { type GpuDemand, gpuDemand, spareCapacityOfType } from '../scheduler/spare_capacity.js';
import type { Cluster } from '../state/cluster.js';
import type { MachineType, MachineTypeName, ZoneName } from '../types.js';
import type { ScaleOut } from './scale_out.js';

/** Spot machines are interrupted now and then: their price counts so much more. */
const SPOT_PRICE_FACTOR = 1.1;
/** Of equal prices the zone with fewer machines of the type is taken. */
const CROWDED_ZONE_FACTOR = 0.01;
/** A type and zone of which no machine came up lately counts as so much dearer. */
const UNRELIABLE_FACTOR = 1;
/** What a machine takes of tasks that ask for nothing. */
const UNBOUNDED_TASKS = 1000;

/** Waiting tasks for which machines may have to be provisioned. */
interface DelayedTasks {
  readonly job: PlanJob;
  readonly tasks: number;
  /** Some of them fit no machine of the plan at all. */
  readonly unplaced: boolean;
}

/** Machines of one pool that would start waiting work sooner; fractions add up over jobs. */
interface PoolDemand {
  readonly pool: CapacityPool;
  machines: number;
  minimum: number;
}

/** The demand of one round for machines, by capacity pool. */
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

  /** Requests what is needed and not pending already. */
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

  /** Machines requested before this round, by type: what it requests itself for one pool doesn't meet the demand of another. */
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

  /** Adds the machines for delayed tasks, from the cheapest pool, and from one in each zone where a zone takes only a part. */
  private addDelayed({ job, tasks, unplaced }: DelayedTasks): void {
    // Work that no machine can take gets one, however little it is: rounding must not starve it.
    const minimum = unplaced ? 1 : 0;
    const fullZones = new Set<ZoneName>();
    for (let left = tasks; left > 0; ) {
      const pool = this.cheapestPool(job, left, fullZones);
      if (!pool) return;
      // What is spread over zones needs machines in several at once.
      const here = Math.min(left, job.zoneAllowance?.get(pool.zone) ?? left);
      this.add(pool, this.machinesNeeded(job, pool.type, here), minimum);
      fullZones.add(pool.zone);
      left -= here;
    }
  }

  /** Jobs beyond those that the round planned in full: machines on their way that the plan leaves free take some. */
  private addUnplanned(): void {
    const unused = this.unusedProvisioning();
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

  /** Booting machines, by type, on which the plan starts nothing. */
  private unusedProvisioning(): Map<MachineTypeName, number> {
    const used = new Set(this.round.capacityPlan.starts.map((start) => start.machineIndex));
    const unused = new Map<MachineTypeName, number>();
    this.round.machines.forEach((machine, index) => {
      if (!this.cluster.machines.isExpected(machine) || used.has(index)) return;
      unused.set(machine.typeName, (unused.get(machine.typeName) ?? 0) + 1);
    });
    return unused;
  }

  /** Tasks that the plan starts later than a new machine could, or not at all. */
  private delayedTasks(): DelayedTasks[] {
    const { capacityPlan, planJobs } = this.round;
    const marginSeconds = this.cluster.context.tuning.machines.rent_margin_s;
    const delayed = new Map<number, number>();
    const add = (jobIndex: number, tasks: number): void => {
      delayed.set(jobIndex, (delayed.get(jobIndex) ?? 0) + tasks);
    };
    for (const start of capacityPlan.starts) {
      const job = planJobs[start.jobIndex] as PlanJob;
      if (start.startAtSeconds > this.soonestOnNewMachineSeconds(job) + marginSeconds) add(start.jobIndex, start.tasks);
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

  /** Jobs that fail wherever they run are tried on what is there. */
  private mayTriggerScaleOut({ index }: PlanJob): boolean {
    const job = this.round.jobs[index];
    return job === undefined || job.failureHistory.mayTriggerScaleOut(this.cluster.context.now.monotonic);
  }

  /** Seconds until a machine provisioned now could start the job; infinite where none can. */
  private soonestOnNewMachineSeconds(job: PlanJob): number {
    const { bootTimeEstimator, context, machineTypes } = this.cluster;
    let soonest = Number.POSITIVE_INFINITY;
    for (const type of machineTypes.values()) {
      if (!this.canRun(job, type)) continue;
      const imagePullSeconds = pullSeconds(job.imageGb, type.imagePullGbPerSecond);
      for (const zone of type.zones) {
        if (!isOpenZone(job, zone)) continue;
        soonest = Math.min(
          soonest,
          bootTimeEstimator.expectedSeconds(type, zone, context.now.monotonic) + imagePullSeconds,
        );
      }
    }
    return soonest;
  }

  /** How many machines work off the tasks within the horizon; of a gang as many as it takes at once. */
  private machinesNeeded(job: PlanJob, type: MachineType, tasks: number): number {
    const perMachine = tasksPerMachine(job, type);
    if (job.isGang) return tasks / perMachine;
    const horizonSeconds = this.cluster.context.tuning.machines.rent_horizon_s;
    const runsInHorizon = Math.max(1, horizonSeconds / Math.max(1, job.durationSeconds));
    return tasks / (perMachine * runsInHorizon);
  }

  /** The pool that takes the job's tasks at the lowest price a task, among those not backed off; null: none. */
  private cheapestPool(job: PlanJob, tasks: number, fullZones?: ReadonlySet<ZoneName>): CapacityPool | null {
    const { bootTimeEstimator, context } = this.cluster;
    let cheapest: CapacityPool | null = null;
    let lowestCost = Number.POSITIVE_INFINITY;
    for (const pool of this.feasiblePools(job)) {
      if (this.scaleOut.isBackedOff(pool) || fullZones?.has(pool.zone)) continue;
      const { type, zone, spot } = pool;
      const price = spot ? type.spotPricePerHour * SPOT_PRICE_FACTOR : type.pricePerHour;
      const crowding = 1 + CROWDED_ZONE_FACTOR * (this.machineCounts.get(countKey(type.name, zone)) ?? 0);
      // Where machines lately came up late or never, others that fit are tried first.
      const unreliable = 1 + UNRELIABLE_FACTOR * bootTimeEstimator.overdueShare(type, zone, context.now.monotonic);
      const cost = (price / Math.min(tasks, tasksPerMachine(job, type))) * crowding * unreliable;
      if (cost >= lowestCost) continue;
      lowestCost = cost;
      cheapest = pool;
    }
    return cheapest;
  }

  /**
   * Whether a machine of the type would take the job. Work without GPUs is held to what GPU work leaves of a machine: one
   * provisioned for more would stand idle, be terminated, and be provisioned again.
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

  /** Pools whose machines may run the job. */
  private *feasiblePools(job: PlanJob): Iterable<CapacityPool> {
    const types = [...this.cluster.machineTypes.values()].filter((type) => this.canRun(job, type));
    // Machines with GPUs are provisioned for work without only where nothing else runs it.
    const avoidGpus = job.gpus === 0 && types.some((type) => type.gpus === 0);
    const spotChoices = job.toleratesSpot ? [true, false] : [false];
    for (const type of types) {
      if (avoidGpus && type.gpus > 0) continue;
      // A machine in another zone would be provisioned, found of no use, terminated, and provisioned again.
      const zones = type.zones.filter((zone) => isOpenZone(job, zone));
      for (const zone of zones) for (const spot of spotChoices) yield { type, zone, spot };
    }
  }

  /** Machines that are there or requested, by type and zone. */
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

/** Whether the job may use a machine in the zone, and has not filled its share of it. */
const isOpenZone = (job: PlanJob, zone: ZoneName): boolean =>
  (job.boundZone === null || job.boundZone === zone) && job.zoneAllowance?.get(zone) !== 0;

const countKey = (type: MachineTypeName, zone: ZoneName): string => `${type}|${zone}`;

/** How many of the job's tasks one machine of the type takes at once. */
function tasksPerMachine(job: PlanJob, type: MachineType): number {
  const { cpus, gpus, memoryGb } = type;
  const tasks = Math.min(
    countFitting(cpus, job.cpus),
    countFitting(gpus, job.gpus),
    countFitting(memoryGb, job.memoryGb),
  );
  return Number.isFinite(tasks) ? tasks : UNBOUNDED_TASKS;
}
